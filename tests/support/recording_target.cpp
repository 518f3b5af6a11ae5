#include "support/recording_target.hpp"

#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/net/http_server.hpp"
#include "support/free_port.hpp"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace test_support {

using namespace skylarkdyke;
using pending = std::shared_ptr<net::pending_request>;

static constexpr const char *HealthPath = "/healthz";
static constexpr std::size_t MaxConnections = 2000;

struct recording_target::impl {
  impl(std::string Id, base::wall_time ColdUntil);
  ~impl();

  std::chrono::milliseconds remainingColdTime() const;
  void handle(const pending &Request);
  void record(const std::string &RequestId);

  const std::string Id;
  const base::wall_time ColdUntil;
  const base::endpoint Address{"127.0.0.1", freePort()};
  mutable std::mutex Mutex;
  std::vector<recorded_arrival> ColdArrivals;
  boost::asio::io_context Loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard{Loop.get_executor()};
  net::http_server Server;
  std::thread Thread;
};

recording_target::impl::impl(std::string Id, base::wall_time ColdUntil)
    : Id(std::move(Id)), ColdUntil(ColdUntil),
      Server(
          Loop, MaxConnections, [] { return base::message_limits(); },
          [this](const pending &Request) { handle(Request); }) {
  Server.listen(Address);
  Thread = std::thread([this] { Loop.run(); });
}

recording_target::impl::~impl() {
  boost::asio::post(Loop, [this] {
    Server.stopAccepting();
    Loop.stop();
  });
  Thread.join();
}

std::chrono::milliseconds recording_target::impl::remainingColdTime() const {
  return std::max(std::chrono::milliseconds(0),
                  std::chrono::ceil<std::chrono::milliseconds>(
                      ColdUntil - std::chrono::system_clock::now()));
}

void recording_target::impl::record(const std::string &RequestId) {
  const auto Now = std::chrono::system_clock::now();
  if (Now >= ColdUntil)
    return;
  const std::lock_guard<std::mutex> Lock(Mutex);
  ColdArrivals.push_back({Now, RequestId});
}

void recording_target::impl::handle(const pending &Request) {
  const auto &Message = Request->request();
  if (Message["Skylarkdyke-Expected-Instance"] != Id)
    return Request->answer(net::makeResponse(421));
  const std::string RequestId(Message["Skylarkdyke-Request-Id"]);
  auto Response = net::makeResponse(200, "answer to " + RequestId);
  Response.set("Skylarkdyke-Request-Id", RequestId);
  Response.set("Skylarkdyke-Response-Signature", "signed");
  Response.set("Skylarkdyke-Server-Load", "1,0,4");
  if (Message.target() == HealthPath) {
    Response.set("Skylarkdyke-Instance-Id", Id);
    Response.set("Skylarkdyke-Cold-Remaining-Ms",
                 std::to_string(remainingColdTime().count()));
  } else {
    record(RequestId);
  }
  Request->answer(std::move(Response));
}

recording_target::recording_target(std::string Id, base::wall_time ColdUntil)
    : Impl(std::make_unique<impl>(std::move(Id), ColdUntil)) {}
recording_target::~recording_target() = default;

const std::string &recording_target::id() const { return Impl->Id; }

std::string recording_target::registration() const {
  const std::chrono::duration<double> ColdTime = Impl->remainingColdTime();
  return nlohmann::json{{"address", base::toString(Impl->Address)},
                        {"born", 1},
                        {"info",
                         {{"service", "orders"},
                          {"version", "v1"},
                          {"zone", "z"},
                          {"capacity", 4}}},
                        {"status",
                         {{"state", "ready"},
                          {"sequence", 1},
                          {"cold_remaining_s", ColdTime.count()}}}}
      .dump();
}

std::vector<recorded_arrival> recording_target::coldArrivals() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->ColdArrivals;
}

} // namespace test_support
