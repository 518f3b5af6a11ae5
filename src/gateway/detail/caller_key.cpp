#include "gateway/detail/caller_key.hpp"

#include <boost/beast/core/string.hpp>

namespace skylarkdyke::gateway::detail {

namespace beast = boost::beast;
using beast::http::field;

/// Name of the authentication scheme; its case does not matter.
static constexpr std::string_view Scheme = "Bearer";

std::optional<std::string_view> callerKey(const net::http_request &Request) {
  if (Request.count(field::authorization) > 1)
    return std::string_view();
  const beast::string_view Value = Request[field::authorization];
  std::string_view Text(Value.data(), Value.size());
  const std::string_view Name = Text.substr(0, Scheme.size());
  if (!beast::iequals({Name.data(), Name.size()},
                      {Scheme.data(), Scheme.size()}))
    return std::nullopt;
  Text.remove_prefix(Scheme.size());
  const std::size_t Start = Text.find_first_not_of(' ');
  if (Start == 0 || Start == std::string_view::npos)
    return std::nullopt;
  return Text.substr(Start);
}

void replaceCredentials(net::http_request &Request, const std::string &Header,
                        const routing::team *Team) {
  Request.erase(field::authorization);
  Request.erase(Header);
  if (Team != nullptr)
    Request.set(Header, Team->Name.str());
}

} // namespace skylarkdyke::gateway::detail
