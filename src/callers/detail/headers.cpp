#include "callers/detail/headers.hpp"

#include <array>
#include <string_view>

namespace skylarkdyke::callers::detail {

static constexpr std::array<const char *, 11> HopByHop = {"Connection",
                                                          "Keep-Alive",
                                                          "Proxy-Connection",
                                                          "TE",
                                                          "Trailer",
                                                          "Transfer-Encoding",
                                                          "Upgrade",
                                                          "Proxy-Authorization",
                                                          "Proxy-Authenticate",
                                                          "Expect",
                                                          "Content-Length"};

static void erase(http::header_map &Headers, std::string_view Name) {
  const auto Found = Headers.find(Name);
  if (Found != Headers.end())
    Headers.erase(Found);
}

static std::string_view trim(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

void removeHopByHop(http::header_map &Headers) {
  const std::string ConnectionOptions =
      http::findHeader(Headers, "Connection").value_or("");
  std::string_view Remaining = ConnectionOptions;
  while (!Remaining.empty()) {
    const std::size_t Comma = Remaining.find(',');
    erase(Headers, trim(Remaining.substr(0, Comma)));
    Remaining = Comma == std::string_view::npos ? std::string_view()
                                                : Remaining.substr(Comma + 1);
  }
  for (const char *Name : HopByHop)
    erase(Headers, Name);
}

/// Allowance for the start line and the fields that the HTTP client adds.
static constexpr std::size_t FixedBytes = 256;
/// ": " and CRLF of each field.
static constexpr std::size_t FieldBytes = 4;

static std::size_t headerBytes(const http::header_map &Headers) {
  std::size_t Sum = FixedBytes;
  for (const auto &[Name, Value] : Headers)
    Sum += Name.size() + Value.size() + FieldBytes;
  return Sum;
}

std::size_t wireBytes(const http::request &Request) {
  return headerBytes(Request.Headers) + Request.Method.size() +
         Request.Target.size() + Request.Body.size();
}

std::size_t wireBytes(const http::response &Response) {
  return headerBytes(Response.Headers) + Response.Body.size();
}

} // namespace skylarkdyke::callers::detail
