#include "skylarkdyke/emulators/target_emulator.hpp"

#include "skylarkdyke/http/server.hpp"

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

namespace skylarkdyke::emulators {

struct target_emulator::impl {
  impl(base::endpoint Listen, target_behaviour Behaviour)
      : Behaviour(Behaviour),
        Server(std::move(Listen), http::server_limits(),
               [this](const http::server_request &Request) {
                 return handle(Request);
               }) {}

  http::response handle(const http::server_request &Request);
  http::response run(const http::server_request &Request);

  target_behaviour Behaviour;
  http::server Server;
  std::atomic<unsigned> InFlight{0};
  std::atomic<std::uint64_t> Runs{0};
};

http::response
target_emulator::impl::handle(const http::server_request &Request) {
  http::response Response;
  if (Request.Path == "/health")
    return Response;
  if (Request.Path == "/load") {
    Response.Body = nlohmann::json{{"in_flight", InFlight.load()},
                                   {"slots", Behaviour.Slots}}
                        .dump();
    return Response;
  }
  Response = run(Request);
  if (const auto Id = http::findHeader(Request.Message.Headers, "Request-Id"))
    Response.Headers["Request-Id"] = *Id;
  return Response;
}

http::response target_emulator::impl::run(const http::server_request &Request) {
  http::response Response;
  if (++InFlight > Behaviour.Slots) {
    --InFlight;
    Response.Status = 503;
    Response.Headers["Request-Outcome"] = "not-run";
    return Response;
  }
  std::this_thread::sleep_for(Behaviour.WorkTime);
  --InFlight;
  Response.Body = nlohmann::json{{"path", Request.Path},
                                 {"run", ++Runs},
                                 {"bytes", Request.Message.Body.size()}}
                      .dump();
  return Response;
}

target_emulator::target_emulator(base::endpoint Listen,
                                 target_behaviour Behaviour)
    : Impl(std::make_unique<impl>(std::move(Listen), Behaviour)) {}

target_emulator::~target_emulator() { stop(); }

bool target_emulator::start() { return Impl->Server.start(); }

void target_emulator::stop() { Impl->Server.stop(); }

} // namespace skylarkdyke::emulators
