#include "skylarkdyke/store/client.hpp"

#include "skylarkdyke/base/base64.hpp"
#include "skylarkdyke/config/document.hpp"
#include "skylarkdyke/http/client.hpp"

#include <atomic>
#include <nlohmann/json.hpp>

namespace skylarkdyke::store {

// Base64 makes a value a third larger; the rest is for the JSON around it.
static constexpr std::size_t MaxAnswerBytes =
    config::MaxDocumentBytes * 4 / 3 + std::size_t{64} * 1024;

struct client::impl {
  base::endpoint Store;
  std::atomic<std::uint64_t> Reads{0};
  std::atomic<std::uint64_t> Writes{0};
  std::atomic<std::uint64_t> Watches{0};
};

client::client(base::endpoint Store) : Impl(std::make_unique<impl>()) {
  Impl->Store = std::move(Store);
}

client::~client() = default;

static std::uint64_t indexOf(const http::response &Response) {
  const auto Header = http::findHeader(Response.Headers, "X-Consul-Index");
  return Header ? std::strtoull(Header->c_str(), nullptr, 10) : 0;
}

static read_result parseRead(const http::response &Response) {
  if (Response.Status == 404)
    return not_found{indexOf(Response)};
  if (Response.Status != 200)
    return unavailable{"status " + std::to_string(Response.Status)};
  const auto Root = nlohmann::json::parse(Response.Body, nullptr, false);
  if (!Root.is_array() || Root.empty() || !Root[0].is_object())
    return unavailable{"malformed answer"};
  const auto Bytes = Root[0].find("Value");
  const auto Index = Root[0].find("ModifyIndex");
  if (Bytes == Root[0].end() || !Bytes->is_string() || Index == Root[0].end() ||
      !Index->is_number_unsigned())
    return unavailable{"malformed answer"};
  auto Decoded = base::decodeBase64(Bytes->get_ref<const std::string &>());
  if (!Decoded)
    return unavailable{"malformed base64"};
  return value{std::move(*Decoded), Index->get<std::uint64_t>()};
}

static read_result fetchValue(const base::endpoint &Store,
                              const std::string &Target,
                              base::boot_time Deadline) {
  http::request Request;
  Request.Target = Target;
  const auto Response =
      http::fetch(Store, Request, {Deadline, MaxAnswerBytes, -1});
  if (!Response)
    return unavailable{http::toString(Response.error().Fault)};
  return parseRead(Response.value());
}

read_result client::get(const std::string &Key, base::boot_time Deadline) {
  ++Impl->Reads;
  return fetchValue(Impl->Store, "/v1/kv/" + Key + "?consistent", Deadline);
}

read_result client::watch(const std::string &Key, std::uint64_t Index,
                          std::chrono::seconds Wait, base::boot_time Deadline) {
  ++Impl->Watches;
  return fetchValue(Impl->Store,
                    "/v1/kv/" + Key + "?index=" + std::to_string(Index) +
                        "&wait=" + std::to_string(Wait.count()) + "s",
                    Deadline);
}

write_result client::compareAndSwap(const std::string &Key,
                                    const std::string &Bytes,
                                    std::uint64_t Index,
                                    base::boot_time Deadline) {
  ++Impl->Writes;
  http::request Request;
  Request.Method = "PUT";
  Request.Target = "/v1/kv/" + Key + "?cas=" + std::to_string(Index);
  Request.Body = Bytes;
  const auto Response =
      http::fetch(Impl->Store, Request, {Deadline, MaxAnswerBytes, -1});
  if (!Response) {
    const http::exchange_error &Error = Response.error();
    if (Error.NothingSent)
      return unavailable{http::toString(Error.Fault)};
    return unknown_effect{http::toString(Error.Fault)};
  }
  if (Response.value().Status != 200)
    return unknown_effect{"status " + std::to_string(Response.value().Status)};
  if (Response.value().Body.rfind("true", 0) == 0)
    return written{};
  return refused{};
}

call_counts client::counts() const {
  return {Impl->Reads, Impl->Writes, Impl->Watches};
}

} // namespace skylarkdyke::store
