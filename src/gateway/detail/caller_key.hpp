#ifndef SKYLARKDYKE_GATEWAY_DETAIL_CALLER_KEY_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_CALLER_KEY_HPP

#include "skylarkdyke/net/http_channel.hpp"
#include "skylarkdyke/routing/team.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace skylarkdyke::gateway::detail {

/// \brief Returns the key that a request carries as "Authorization: Bearer
/// KEY".
/// \return the key, valid as long as the request; nothing if there is none. If
/// the header is repeated it is not clear which key holds: the result is the
/// empty key, which no team holds
std::optional<std::string_view> callerKey(const net::http_request &Request);

/// \brief Removes the key of the caller from a request to a target, and states
/// the team of the caller in place of what the caller may have stated.
/// \param Header name of the header that states the team
/// \param Team the team, or null if the request is of none
void replaceCredentials(net::http_request &Request, const std::string &Header,
                        const routing::team *Team);

} // namespace skylarkdyke::gateway::detail

#endif
