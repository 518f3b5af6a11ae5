#ifndef SKYLARKDYKE_CALLERS_CALLER_SERVICE_HPP
#define SKYLARKDYKE_CALLERS_CALLER_SERVICE_HPP

#include "skylarkdyke/config/holder.hpp"
#include "skylarkdyke/http/server.hpp"
#include "skylarkdyke/settings/settings.hpp"

#include <memory>

namespace skylarkdyke::callers {

/// \brief Answers callers: lookups and forwarded requests. Thread-safe.
class caller_service {
public:
  /// \param Settings settings of this entry
  /// \param Config document in force; outlives the service
  caller_service(settings::entry_settings Settings,
                 const config::holder &Config);
  ~caller_service();

  /// \brief Handles one request of the caller port.
  http::response handle(const http::server_request &Request);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::callers

#endif
