#include "skylarkdyke/store/client.hpp"

#include "skylarkdyke/base/base64.hpp"
#include "skylarkdyke/config/document.hpp"
#include "store/detail/connection_pool.hpp"

#include <atomic>
#include <nlohmann/json.hpp>

namespace skylarkdyke::store {

// Base64 makes a value one third larger; 64 KiB are for the surrounding JSON.
static constexpr std::size_t MaxResponseBytes =
    config::MaxDocumentBytes * 4 / 3 + std::size_t{64} * 1024;

using write_response =
    std::variant<http::response, unavailable, unknown_effect>;

struct client::impl {
  explicit impl(const base::endpoint &Store)
      : CallConnections(Store), WatchConnections(Store) {}

  read_result read(detail::connection_pool &Connections,
                   const std::string &Target, base::boot_time Deadline,
                   int StopSocket);
  write_response put(const std::string &Target, const std::string &Body,
                     base::boot_time Deadline);
  write_result putConditional(const std::string &Target,
                              const std::string &Body,
                              base::boot_time Deadline);

  /// Counts a call that changed nothing, and returns its result.
  unavailable makeUnavailable(std::string Reason) {
    ++Unavailable;
    return {std::move(Reason)};
  }

  /// Counts a write whose effect is unknown, and returns its result.
  unknown_effect makeUnknown(std::string Reason) {
    ++Unknown;
    return {std::move(Reason)};
  }

  detail::connection_pool CallConnections;
  detail::connection_pool WatchConnections;
  std::atomic<std::uint64_t> Reads{0};
  std::atomic<std::uint64_t> Writes{0};
  std::atomic<std::uint64_t> Watches{0};
  std::atomic<std::uint64_t> Unavailable{0};
  std::atomic<std::uint64_t> Unknown{0};
};

client::client(const base::endpoint &Store)
    : Impl(std::make_unique<impl>(Store)) {}

client::~client() = default;

static std::uint64_t consulIndex(const http::response &Response) {
  const auto Header = http::findHeader(Response.Headers, "X-Consul-Index");
  return Header ? std::strtoull(Header->c_str(), nullptr, 10) : 0;
}

static read_result parseKeyValue(const http::response &Response) {
  if (Response.Status == 404)
    return not_found{consulIndex(Response)};
  if (Response.Status != 200)
    return unavailable{"status " + std::to_string(Response.Status)};
  const auto Root = nlohmann::json::parse(Response.Body, nullptr, false);
  if (!Root.is_array() || Root.empty() || !Root[0].is_object())
    return unavailable{"malformed response"};
  const auto Bytes = Root[0].find("Value");
  const auto Index = Root[0].find("ModifyIndex");
  if (Bytes == Root[0].end() || !(Bytes->is_string() || Bytes->is_null()) ||
      Index == Root[0].end() || !Index->is_number_unsigned())
    return unavailable{"malformed response"};
  // The store encodes an empty value as null.
  auto Decoded =
      Bytes->is_null()
          ? std::string()
          : base::decodeBase64(Bytes->get_ref<const std::string &>());
  if (!Decoded)
    return unavailable{"malformed base64"};
  value Value{std::move(*Decoded), Index->get<std::uint64_t>(), {}};
  const auto Session = Root[0].find("Session");
  if (Session != Root[0].end() && Session->is_string())
    Value.Session = Session->get<std::string>();
  return Value;
}

read_result client::impl::read(detail::connection_pool &Connections,
                               const std::string &Target,
                               base::boot_time Deadline, int StopSocket) {
  http::request Request;
  Request.Target = Target;
  const auto Response = Connections.exchange(
      Request, {Deadline, MaxResponseBytes, StopSocket}, true);
  if (!Response)
    return makeUnavailable(http::toString(Response.error().Fault));
  read_result Result = parseKeyValue(Response.value());
  if (std::holds_alternative<unavailable>(Result))
    ++Unavailable;
  return Result;
}

write_response client::impl::put(const std::string &Target,
                                 const std::string &Body,
                                 base::boot_time Deadline) {
  ++Writes;
  http::request Request;
  Request.Method = "PUT";
  Request.Target = Target;
  Request.Body = Body;
  const auto Response = CallConnections.exchange(
      Request, {Deadline, MaxResponseBytes, -1}, false);
  if (!Response) {
    const http::exchange_error &Error = Response.error();
    if (Error.NothingSent)
      return makeUnavailable(http::toString(Error.Fault));
    return makeUnknown(http::toString(Error.Fault));
  }
  const int Status = Response.value().Status;
  // The store may return a 5xx status after the write has reached its log; it
  // returns a 4xx status before the write.
  if (Status >= 500)
    return makeUnknown("status " + std::to_string(Status));
  if (Status != 200 && Status != 404)
    return makeUnavailable("status " + std::to_string(Status));
  return Response.value();
}

write_result client::impl::putConditional(const std::string &Target,
                                          const std::string &Body,
                                          base::boot_time Deadline) {
  const write_response Outcome = put(Target, Body, Deadline);
  if (const auto *Failure = std::get_if<unavailable>(&Outcome))
    return *Failure;
  if (const auto *Failure = std::get_if<unknown_effect>(&Outcome))
    return *Failure;
  const auto &Response = std::get<http::response>(Outcome);
  if (Response.Status == 404)
    return makeUnavailable("status 404");
  if (Response.Body.rfind("true", 0) == 0)
    return written{};
  if (Response.Body.rfind("false", 0) == 0)
    return refused{};
  return makeUnknown("malformed response");
}

read_result client::get(const std::string &Key, base::boot_time Deadline) {
  ++Impl->Reads;
  return Impl->read(Impl->CallConnections, "/v1/kv/" + Key + "?consistent",
                    Deadline, -1);
}

read_result client::watch(const std::string &Key, std::uint64_t Index,
                          std::chrono::seconds Wait, base::boot_time Deadline,
                          const http::stop_source *Stop) {
  ++Impl->Watches;
  return Impl->read(Impl->WatchConnections,
                    "/v1/kv/" + Key + "?index=" + std::to_string(Index) +
                        "&wait=" + std::to_string(Wait.count()) + "s",
                    Deadline, Stop == nullptr ? -1 : Stop->socket());
}

write_result client::compareAndSwap(const std::string &Key,
                                    const std::string &Bytes,
                                    std::uint64_t Index,
                                    base::boot_time Deadline) {
  return Impl->putConditional("/v1/kv/" + Key + "?cas=" + std::to_string(Index),
                              Bytes, Deadline);
}

write_result client::acquire(const std::string &Key, const std::string &Bytes,
                             const session &Session, base::boot_time Deadline) {
  return Impl->putConditional("/v1/kv/" + Key + "?acquire=" + Session.Id, Bytes,
                              Deadline);
}

write_result client::release(const std::string &Key, const std::string &Bytes,
                             const session &Session, base::boot_time Deadline) {
  return Impl->putConditional("/v1/kv/" + Key + "?release=" + Session.Id, Bytes,
                              Deadline);
}

session_result client::createSession(std::chrono::milliseconds TimeToLive,
                                     base::boot_time Deadline) {
  const nlohmann::json Body = {
      {"TTL", std::to_string(TimeToLive.count()) + "ms"},
      {"Behavior", "release"},
      // Lock holders stop by their own deadline, so the store need not delay
      // the next acquisition.
      {"LockDelay", "0s"}};
  const write_response Outcome =
      Impl->put("/v1/session/create", Body.dump(), Deadline);
  if (const auto *Failure = std::get_if<unavailable>(&Outcome))
    return *Failure;
  if (const auto *Failure = std::get_if<unknown_effect>(&Outcome))
    return *Failure;
  const auto &Response = std::get<http::response>(Outcome);
  if (Response.Status == 404)
    return Impl->makeUnavailable("status 404");
  const auto Root = nlohmann::json::parse(Response.Body, nullptr, false);
  if (!Root.is_object() || !Root.contains("ID") || !Root["ID"].is_string())
    return Impl->makeUnknown("malformed response");
  return session{Root["ID"].get<std::string>()};
}

write_result client::renewSession(const session &Session,
                                  base::boot_time Deadline) {
  const write_response Outcome =
      Impl->put("/v1/session/renew/" + Session.Id, "", Deadline);
  if (const auto *Failure = std::get_if<unavailable>(&Outcome))
    return *Failure;
  if (const auto *Failure = std::get_if<unknown_effect>(&Outcome))
    return *Failure;
  if (std::get<http::response>(Outcome).Status == 404)
    return refused{};
  return written{};
}

write_result client::destroySession(const session &Session,
                                    base::boot_time Deadline) {
  return Impl->putConditional("/v1/session/destroy/" + Session.Id, "",
                              Deadline);
}

call_counts client::counts() const {
  return {Impl->Reads,
          Impl->Writes,
          Impl->Watches,
          Impl->Unavailable,
          Impl->Unknown,
          Impl->CallConnections.opened() + Impl->WatchConnections.opened()};
}

} // namespace skylarkdyke::store
