#ifndef SKYLARKDYKE_OPERATORS_DETAIL_CONFIG_API_HPP
#define SKYLARKDYKE_OPERATORS_DETAIL_CONFIG_API_HPP

#include "skylarkdyke/http/server.hpp"
#include "skylarkdyke/operators/dependencies.hpp"

namespace skylarkdyke::operators::detail {

/// \brief GET /admin/v1/config.
http::response getConfig(const dependencies &Entry);

/// \brief PUT /admin/v1/config.
http::response putConfig(const dependencies &Entry,
                         const http::server_request &Request,
                         const base::operator_name &Operator);

/// \brief POST /admin/v1/config/preview.
http::response previewConfig(const dependencies &Entry,
                             const http::server_request &Request,
                             const base::operator_name &Operator);

/// \brief POST /admin/v1/drains. Without If-Match the drain is put into the
/// version in force.
http::response postDrain(const dependencies &Entry,
                         const http::server_request &Request,
                         const base::operator_name &Operator);

} // namespace skylarkdyke::operators::detail

#endif
