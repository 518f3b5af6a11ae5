#include "skylarkdyke/emulators/store_emulator.hpp"

#include "skylarkdyke/base/base64.hpp"
#include "skylarkdyke/config/document.hpp"
#include "skylarkdyke/http/server.hpp"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>

namespace skylarkdyke::emulators {

namespace {

struct stored {
  std::string Bytes;
  std::uint64_t ModifyIndex = 0;
};

} // namespace

static constexpr std::string_view KeyPath = "/v1/kv/";
static constexpr std::chrono::seconds MaxWait{600};

struct store_emulator::impl {
  explicit impl(base::endpoint Listen)
      : Server(std::move(Listen), limits(),
               [this](const http::server_request &Request) {
                 return handle(Request);
               }) {}

  static http::server_limits limits() {
    http::server_limits Limits;
    Limits.MaxConnections = 1000;
    Limits.MaxBodyBytes = config::MaxDocumentBytes;
    Limits.IdleTimeout = MaxWait;
    return Limits;
  }

  http::response handle(const http::server_request &Request);
  http::response read(const std::string &Key,
                      const http::server_request &Request);
  http::response write(const std::string &Key,
                       const http::server_request &Request);

  http::server Server;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, stored> Values;
  std::uint64_t Index = 1;
  bool Stopping = false;
};

static std::uint64_t numberParameter(const http::server_request &Request,
                                     const char *Name, std::uint64_t Default) {
  const auto Found = Request.Parameters.find(Name);
  return Found == Request.Parameters.end()
             ? Default
             : std::strtoull(Found->second.c_str(), nullptr, 10);
}

static http::response json(int Status, const std::string &Body) {
  http::response Response;
  Response.Status = Status;
  Response.Headers["Content-Type"] = "application/json";
  Response.Body = Body;
  return Response;
}

http::response
store_emulator::impl::handle(const http::server_request &Request) {
  if (Request.Path.rfind(KeyPath, 0) != 0)
    return json(404, "");
  const std::string Key = Request.Path.substr(KeyPath.size());
  if (Request.Message.Method == "GET")
    return read(Key, Request);
  if (Request.Message.Method == "PUT")
    return write(Key, Request);
  return json(405, "");
}

http::response store_emulator::impl::read(const std::string &Key,
                                          const http::server_request &Request) {
  const std::uint64_t Seen = numberParameter(Request, "index", 0);
  const std::chrono::seconds Wait(numberParameter(Request, "wait", 300));
  std::unique_lock<std::mutex> Lock(Mutex);
  const auto KeyIndex = [&] {
    const auto Found = Values.find(Key);
    return Found == Values.end() ? Index : Found->second.ModifyIndex;
  };
  if (Seen > 0)
    Changed.wait_for(Lock, std::min(Wait, MaxWait),
                     [&] { return Stopping || KeyIndex() != Seen; });
  const auto Found = Values.find(Key);
  http::response Response =
      Found == Values.end()
          ? json(404, "")
          : json(200, nlohmann::json::array(
                          {{{"Key", Key},
                            {"Value", base::encodeBase64(Found->second.Bytes)},
                            {"ModifyIndex", Found->second.ModifyIndex}}})
                          .dump());
  Response.Headers["X-Consul-Index"] = std::to_string(KeyIndex());
  return Response;
}

http::response
store_emulator::impl::write(const std::string &Key,
                            const http::server_request &Request) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Values.find(Key);
    const std::uint64_t Current =
        Found == Values.end() ? 0 : Found->second.ModifyIndex;
    if (Request.Parameters.count("cas") != 0 &&
        numberParameter(Request, "cas", 0) != Current)
      return json(200, "false");
    Values[Key] = {Request.Message.Body, ++Index};
  }
  Changed.notify_all();
  return json(200, "true");
}

store_emulator::store_emulator(base::endpoint Listen)
    : Impl(std::make_unique<impl>(std::move(Listen))) {}

store_emulator::~store_emulator() { stop(); }

bool store_emulator::start() { return Impl->Server.start(); }

void store_emulator::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Impl->Mutex);
    Impl->Stopping = true;
  }
  Impl->Changed.notify_all();
  Impl->Server.stop();
}

} // namespace skylarkdyke::emulators
