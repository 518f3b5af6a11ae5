#ifndef SKYLARKDYKE_OPERATORS_ADMIN_SERVICE_HPP
#define SKYLARKDYKE_OPERATORS_ADMIN_SERVICE_HPP

#include "skylarkdyke/http/server.hpp"
#include "skylarkdyke/operators/dependencies.hpp"
#include "skylarkdyke/settings/settings.hpp"

#include <memory>
#include <vector>

namespace skylarkdyke::operators {

/// \brief Bounds for the server of the administration port. Bodies may be large
/// enough for a form with the largest document, whose quotes take three bytes
/// each in a form.
http::server_limits adminServerLimits();

/// \brief The administration port: API under /admin/v1, console under /console
/// and /metrics. Thread-safe.
///
/// Every request needs the name and token of an operator (HTTP Basic). Requests
/// of the API that change something need the content type application/json,
/// which a page of another site cannot send on an operator's behalf. Errors are
/// problem details, see docs/errors.md.
class admin_service {
public:
  /// \param Entry functions of the entry
  /// \param Operators who may use the port; without any, all is refused
  admin_service(dependencies Entry,
                std::vector<settings::operator_settings> Operators);
  ~admin_service();

  /// \brief Answers one request.
  http::response handle(const http::server_request &Request);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::operators

#endif
