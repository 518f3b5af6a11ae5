#include "skylarkdyke/store/client.hpp"

#include "skylarkdyke/base/base64.hpp"
#include "skylarkdyke/config/document.hpp"
#include "store/detail/kept_connections.hpp"

#include <atomic>
#include <nlohmann/json.hpp>

namespace skylarkdyke::store {

// Base64 makes a value a third larger; the rest is for the JSON around it.
static constexpr std::size_t MaxAnswerBytes =
    config::MaxDocumentBytes * 4 / 3 + std::size_t{64} * 1024;

using write_answer = std::variant<http::response, unavailable, unknown_effect>;

struct client::impl {
  explicit impl(const base::endpoint &Store)
      : Calls(Store), WatchCalls(Store) {}

  read_result read(detail::kept_connections &Connections,
                   const std::string &Target, base::boot_time Deadline,
                   int StopSocket);
  write_answer put(const std::string &Target, const std::string &Body,
                   base::boot_time Deadline);
  write_result putConditional(const std::string &Target,
                              const std::string &Body,
                              base::boot_time Deadline);

  unavailable noEffect(std::string Reason) {
    ++Unavailable;
    return {std::move(Reason)};
  }

  unknown_effect unknown(std::string Reason) {
    ++Unknown;
    return {std::move(Reason)};
  }

  detail::kept_connections Calls;
  detail::kept_connections WatchCalls;
  std::atomic<std::uint64_t> Reads{0};
  std::atomic<std::uint64_t> Writes{0};
  std::atomic<std::uint64_t> Watches{0};
  std::atomic<std::uint64_t> Unavailable{0};
  std::atomic<std::uint64_t> Unknown{0};
};

client::client(const base::endpoint &Store)
    : Impl(std::make_unique<impl>(Store)) {}

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
  if (Bytes == Root[0].end() || !(Bytes->is_string() || Bytes->is_null()) ||
      Index == Root[0].end() || !Index->is_number_unsigned())
    return unavailable{"malformed answer"};
  // The store shows a value without bytes as null.
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

read_result client::impl::read(detail::kept_connections &Connections,
                               const std::string &Target,
                               base::boot_time Deadline, int StopSocket) {
  http::request Request;
  Request.Target = Target;
  const auto Response = Connections.exchange(
      Request, {Deadline, MaxAnswerBytes, StopSocket}, true);
  if (!Response)
    return noEffect(http::toString(Response.error().Fault));
  read_result Result = parseRead(Response.value());
  if (std::holds_alternative<unavailable>(Result))
    ++Unavailable;
  return Result;
}

write_answer client::impl::put(const std::string &Target,
                               const std::string &Body,
                               base::boot_time Deadline) {
  ++Writes;
  http::request Request;
  Request.Method = "PUT";
  Request.Target = Target;
  Request.Body = Body;
  const auto Response =
      Calls.exchange(Request, {Deadline, MaxAnswerBytes, -1}, false);
  if (!Response) {
    const http::exchange_error &Error = Response.error();
    if (Error.NothingSent)
      return noEffect(http::toString(Error.Fault));
    return unknown(http::toString(Error.Fault));
  }
  const int Status = Response.value().Status;
  // A server error may follow a write that has already reached the store's log;
  // a client error is raised before the write.
  if (Status >= 500)
    return unknown("status " + std::to_string(Status));
  if (Status != 200 && Status != 404)
    return noEffect("status " + std::to_string(Status));
  return Response.value();
}

write_result client::impl::putConditional(const std::string &Target,
                                          const std::string &Body,
                                          base::boot_time Deadline) {
  const write_answer Answer = put(Target, Body, Deadline);
  if (const auto *Failure = std::get_if<unavailable>(&Answer))
    return *Failure;
  if (const auto *Failure = std::get_if<unknown_effect>(&Answer))
    return *Failure;
  const auto &Response = std::get<http::response>(Answer);
  if (Response.Status == 404)
    return noEffect("status 404");
  if (Response.Body.rfind("true", 0) == 0)
    return written{};
  if (Response.Body.rfind("false", 0) == 0)
    return refused{};
  return unknown("malformed answer");
}

read_result client::get(const std::string &Key, base::boot_time Deadline) {
  ++Impl->Reads;
  return Impl->read(Impl->Calls, "/v1/kv/" + Key + "?consistent", Deadline, -1);
}

read_result client::watch(const std::string &Key, std::uint64_t Index,
                          std::chrono::seconds Wait, base::boot_time Deadline,
                          const http::stop_source *Stop) {
  ++Impl->Watches;
  return Impl->read(Impl->WatchCalls,
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
      // The holder's own deadline already covers the delay after a lost lock.
      {"LockDelay", "0s"}};
  const write_answer Answer =
      Impl->put("/v1/session/create", Body.dump(), Deadline);
  if (const auto *Failure = std::get_if<unavailable>(&Answer))
    return *Failure;
  if (const auto *Failure = std::get_if<unknown_effect>(&Answer))
    return *Failure;
  const auto &Response = std::get<http::response>(Answer);
  if (Response.Status == 404)
    return Impl->noEffect("status 404");
  const auto Root = nlohmann::json::parse(Response.Body, nullptr, false);
  if (!Root.is_object() || !Root.contains("ID") || !Root["ID"].is_string())
    return Impl->unknown("malformed answer");
  return session{Root["ID"].get<std::string>()};
}

write_result client::renewSession(const session &Session,
                                  base::boot_time Deadline) {
  const write_answer Answer =
      Impl->put("/v1/session/renew/" + Session.Id, "", Deadline);
  if (const auto *Failure = std::get_if<unavailable>(&Answer))
    return *Failure;
  if (const auto *Failure = std::get_if<unknown_effect>(&Answer))
    return *Failure;
  if (std::get<http::response>(Answer).Status == 404)
    return refused{};
  return written{};
}

write_result client::destroySession(const session &Session,
                                    base::boot_time Deadline) {
  return Impl->putConditional("/v1/session/destroy/" + Session.Id, "",
                              Deadline);
}

call_counts client::counts() const {
  return {Impl->Reads,   Impl->Writes,
          Impl->Watches, Impl->Unavailable,
          Impl->Unknown, Impl->Calls.opened() + Impl->WatchCalls.opened()};
}

} // namespace skylarkdyke::store
