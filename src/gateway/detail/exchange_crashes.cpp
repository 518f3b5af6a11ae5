#include "gateway/detail/exchange.hpp"

#include <string_view>

namespace skylarkdyke::gateway::detail {

namespace bhttp = boost::beast::http;

static std::string_view toView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

const poison::request_identity &exchange::identity() {
  if (Identity)
    return *Identity;
  const net::http_request &Request = Caller->request();
  const auto Method = toView(Request.method_string());
  const auto Host = toView(Request[bhttp::field::host]);
  const auto Target = toView(Request.target());
  const std::string &Body = Request.body();
  return Identity.emplace(poison::request_identity{
      poison::fingerprintOf(
          {Method, Host, Target, Body, Caller->callerAddress()}),
      poison::fingerprintOf({Method, Host, Target, Body})});
}

} // namespace skylarkdyke::gateway::detail
