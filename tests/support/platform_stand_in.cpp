#include "support/platform_stand_in.hpp"

#include "skylarkdyke/base/base64.hpp"
#include "skylarkdyke/net/http_server.hpp"
#include "support/free_port.hpp"
#include "support/query_field.hpp"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <utility>

namespace test_support {

using namespace skylarkdyke;
using namespace std::chrono_literals;
using nlohmann::json;
using pending = std::shared_ptr<net::pending_request>;

namespace {

constexpr const char *HealthPath = "/healthz";

struct stored_item {
  std::string Value;
  std::uint64_t Revision = 0;
  bool Deleted = false;
  /// 0: none.
  std::uint64_t Lease = 0;
};

/// What a store loses when it comes back from an earlier copy.
struct store_content {
  std::map<std::string, stored_item> Items;
  std::uint64_t Revision = 10;
  std::set<std::uint64_t> Leases;
  std::uint64_t NextLease = 7;
};

struct waiting_watch {
  pending Request;
  std::uint64_t After;
  std::shared_ptr<boost::asio::steady_timer> Timer;
};

/// A connection on which a target sends without end.
struct flood : std::enable_shared_from_this<flood> {
  flood(boost::asio::io_context &Loop, std::string Bytes)
      : Socket(Loop), Piece(std::move(Bytes)) {}

  void send(const std::string &Bytes) {
    boost::asio::async_write(
        Socket, boost::asio::buffer(Bytes),
        [Self = shared_from_this()](auto Failure, std::size_t) {
          if (!Failure)
            Self->send(Self->Piece);
        });
  }

  boost::asio::ip::tcp::socket Socket;
  boost::asio::streambuf Request;
  std::string Start;
  std::string Piece;
};

struct stand_in_target {
  std::string Id;
  std::string Service;
  std::string Zone;
  std::chrono::milliseconds Work{0};
  base::endpoint Address;
  bool LosesAnswers = false;
  bool Leaves = false;
  /// Retry-After of the refusals; empty while the target refuses nothing.
  std::string RefusalRetryAfter;
  int Runs = 0;
  /// Requests that have arrived, refused ones included.
  int Arrivals = 0;
  /// Arrivals that are no health checks.
  int CallerRequests = 0;
  std::unique_ptr<net::http_server> Server;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> FloodAcceptor;
  std::string FloodStart;
  std::string FloodPiece;
};

} // namespace

struct platform_stand_in::impl {
  impl();
  ~impl();

  /// Runs a function on the loop's thread and waits for it.
  template <class Function> auto onLoop(Function Body) {
    std::promise<decltype(Body())> Done;
    boost::asio::post(Loop, [&] { Done.set_value(Body()); });
    return Done.get_future().get();
  }

  void openStore();
  void handleStore(const pending &Request);
  void reply(const pending &Request, net::http_response Response) const;
  void createLease(const pending &Request);
  void renewLease(const pending &Request, const std::string &Target) const;
  void list(const pending &Request, const std::string &Target);
  void watch(const pending &Request, const std::string &Target);
  void answerJson(const pending &Request, const json &Answer) const;
  bool answerEvents(const pending &Request, std::uint64_t After);
  void write(const pending &Request);
  int put(const std::string &Key, const std::string &Value, bool Deleted,
          std::uint64_t Lease = 0);
  int goAway();
  int returnFromCopy();
  void handleTarget(stand_in_target &Target, const pending &Request);
  static void answer(const stand_in_target &Target, const pending &Request,
                     net::http_response Response);
  void acceptFlood(stand_in_target &Target);
  int publish(stand_in_target &Target, const std::string &State);

  boost::asio::io_context Loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard{Loop.get_executor()};
  base::endpoint Address{"127.0.0.1", freePort()};
  std::unique_ptr<net::http_server> Store;
  store_content Content;
  store_content Copy;
  std::uint64_t Era = 1;
  /// A watch from an earlier revision gets 410.
  std::uint64_t OldestWatchable = 0;
  bool IsAway = false;
  std::vector<waiting_watch> Watches;
  /// Kept so that their connections stay open.
  std::vector<pending> SilencedRequests;
  bool TurnsAllAway = false;
  bool IsSilent = false;
  std::size_t SilencedWatchCount = 0;
  std::size_t PageSize = std::numeric_limits<std::size_t>::max();
  store_fault Fault = store_fault::None;
  store_calls Calls;
  std::string ReplacedText;
  std::string ReplacedBy;
  std::map<std::string, std::unique_ptr<stand_in_target>> Targets;
  std::map<std::string, int> Runs;
  std::thread Thread;
};

platform_stand_in::impl::impl() {
  openStore();
  Thread = std::thread([this] { Loop.run(); });
}

platform_stand_in::impl::~impl() {
  onLoop([this] {
    Watches.clear();
    SilencedRequests.clear();
    for (const auto &[Id, Target] : Targets)
      if (Target->Server)
        Target->Server->stopAccepting();
    Store->stopAccepting();
    return 0;
  });
  Guard.reset();
  Loop.stop();
  Thread.join();
}

void platform_stand_in::impl::openStore() {
  Store = std::make_unique<net::http_server>(
      Loop, 1000, [] { return base::message_limits(); },
      [this](const pending &Request) { handleStore(Request); });
  Store->listen(Address);
  IsAway = false;
}

void platform_stand_in::impl::reply(const pending &Request,
                                    net::http_response Response) const {
  Response.set("Store-Era", std::to_string(Era));
  Request->answer(std::move(Response));
}

void platform_stand_in::impl::handleStore(const pending &Request) {
  if (IsAway)
    return Request->abandon();
  const std::string Target(Request->request().target());
  if (IsSilent) {
    SilencedWatchCount += Target.find("/api/kv-watch") == 0 ? 1 : 0;
    return SilencedRequests.push_back(Request);
  }
  if (TurnsAllAway)
    return reply(Request, net::makeResponse(503));
  if (Target.find("/api/kv-range") == 0)
    return list(Request, Target);
  if (Target.find("/api/kv-watch") == 0)
    return watch(Request, Target);
  if (Target.find("/api/kv-lease") == 0)
    return createLease(Request);
  if (Target.find("/api/kv-keep/") == 0)
    return renewLease(Request, Target);
  if (Target.find("/api/kv-txn") == 0)
    return write(Request);
  reply(Request, net::makeResponse(404));
}

void platform_stand_in::impl::createLease(const pending &Request) {
  const std::uint64_t Lease = Content.NextLease++;
  Content.Leases.insert(Lease);
  reply(Request, net::makeResponse(
                     200, json{{"lease", Lease}, {"ttl_s_time", 600}}.dump()));
}

void platform_stand_in::impl::renewLease(const pending &Request,
                                         const std::string &Target) const {
  const std::uint64_t Lease =
      std::stoull(Target.substr(std::string("/api/kv-keep/").size()));
  reply(Request, net::makeResponse(Content.Leases.count(Lease) ? 200 : 404));
}

void platform_stand_in::impl::answerJson(const pending &Request,
                                         const json &Answer) const {
  std::string Text = Answer.dump();
  for (std::size_t At = Text.find(ReplacedText);
       !ReplacedText.empty() && At != std::string::npos;
       At = Text.find(ReplacedText, At + ReplacedBy.size()))
    Text.replace(At, ReplacedText.size(), ReplacedBy);
  reply(Request, net::makeResponse(200, Text));
}

void platform_stand_in::impl::list(const pending &Request,
                                   const std::string &Target) {
  ++Calls.Lists;
  const std::string Prefix = queryField(Target, "path_prefix");
  const std::string After = Fault == store_fault::RepeatsPages
                                ? std::string()
                                : queryField(Target, "after");
  json Found = json::array();
  for (const auto &[Key, Item] : Content.Items)
    if (!Item.Deleted && Key > After &&
        Key.compare(0, Prefix.size(), Prefix) == 0)
      Found.push_back({{"key", Key},
                       {"value", base::encodeBase64(Item.Value)},
                       {"revision", Item.Revision}});
  const bool HasMore = Found.size() > PageSize;
  while (Found.size() > PageSize)
    Found.erase(Found.size() - 1);
  if (HasMore && Fault == store_fault::HidesKeys)
    Found.back()["key"] = 7;
  answerJson(
      Request,
      {{"items", Found}, {"has_more", HasMore}, {"as_of", Content.Revision}});
}

bool platform_stand_in::impl::answerEvents(const pending &Request,
                                           std::uint64_t After) {
  json Events = json::array();
  for (const auto &[Key, Item] : Content.Items) {
    if (Item.Revision <= After)
      continue;
    json Event = {{"key", Key}, {"revision", Item.Revision}};
    if (Item.Deleted)
      Event["deleted"] = true;
    else
      Event["value"] = base::encodeBase64(Item.Value);
    Events.push_back(Event);
  }
  if (Events.empty())
    return false;
  answerJson(Request, {{"events", Events}, {"as_of", Content.Revision}});
  return true;
}

void platform_stand_in::impl::watch(const pending &Request,
                                    const std::string &Target) {
  ++Calls.Watches;
  if (Fault == store_fault::ForgetsHistory)
    return reply(Request, net::makeResponse(410));
  const std::uint64_t After = std::stoull(queryField(Target, "after"));
  if (After > Content.Revision || After < OldestWatchable)
    return reply(Request, net::makeResponse(410));
  if (answerEvents(Request, After))
    return;
  if (Fault == store_fault::EndsWatches)
    return answerJson(Request,
                      {{"events", json::array()}, {"as_of", Content.Revision}});
  const auto Timer = std::make_shared<boost::asio::steady_timer>(
      Loop,
      std::chrono::milliseconds(std::stoul(queryField(Target, "wait_ms"))));
  Timer->async_wait([this, Request](auto Failure) {
    if (!Failure)
      answerJson(Request,
                 {{"events", json::array()}, {"as_of", Content.Revision}});
  });
  Watches.push_back({Request, After, Timer});
}

void platform_stand_in::impl::write(const pending &Request) {
  const json Body = json::parse(Request->request().body());
  const std::uint64_t NoLease = 0;
  for (const json &Write : Body["writes"]) {
    const std::uint64_t Lease = Write.value("lease", NoLease);
    if (Lease != NoLease && Content.Leases.count(Lease) == 0)
      return reply(Request, net::makeResponse(404));
  }
  for (const json &Write : Body["writes"])
    put(Write["key"], *base::decodeBase64(Write["value"].get<std::string>()),
        false, Write.value("lease", NoLease));
  reply(Request,
        net::makeResponse(200, json{{"revision", Content.Revision}}.dump()));
}

int platform_stand_in::impl::put(const std::string &Key,
                                 const std::string &Value, bool Deleted,
                                 std::uint64_t Lease) {
  Content.Items[Key] = {Value, ++Content.Revision, Deleted, Lease};
  const auto Waiting = std::move(Watches);
  Watches.clear();
  for (const waiting_watch &Watch : Waiting)
    if (TurnsAllAway)
      reply(Watch.Request, net::makeResponse(503));
    else
      answerEvents(Watch.Request, Watch.After);
  return 0;
}

int platform_stand_in::impl::goAway() {
  IsAway = true;
  for (const waiting_watch &Watch : std::exchange(Watches, {})) {
    Watch.Timer->cancel();
    Watch.Request->abandon();
  }
  Store->stopAccepting();
  return 0;
}

int platform_stand_in::impl::returnFromCopy() {
  Content = Copy;
  OldestWatchable = Copy.Revision;
  ++Era;
  return 0;
}

void platform_stand_in::impl::handleTarget(stand_in_target &Target,
                                           const pending &Request) {
  const auto &Message = Request->request();
  if (Message["Skylarkdyke-Expected-Instance"] != Target.Id)
    return Request->answer(net::makeResponse(421));
  const std::string RequestId(Message["Skylarkdyke-Request-Id"]);
  ++Target.Arrivals;
  if (Message.target() != HealthPath)
    ++Target.CallerRequests;
  if (!Target.RefusalRetryAfter.empty()) {
    auto Refusal = net::makeResponse(503);
    Refusal.set("Skylarkdyke-Not-Executed", "1");
    Refusal.set("Retry-After", Target.RefusalRetryAfter);
    return answer(Target, Request, std::move(Refusal));
  }
  ++Target.Runs;
  ++Runs[RequestId];
  if (Target.LosesAnswers)
    return Request->abandon();
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(Loop, Target.Work);
  Timer->async_wait([Timer, Request, RequestId, &Target](auto) {
    auto Response = net::makeResponse(200, "answer to " + RequestId);
    Response.set("Skylarkdyke-Response-Signature", "signed");
    Response.set("Skylarkdyke-Server-Load", "1,0,4");
    answer(Target, Request, std::move(Response));
  });
}

void platform_stand_in::impl::answer(const stand_in_target &Target,
                                     const pending &Request,
                                     net::http_response Response) {
  Response.set("Skylarkdyke-Request-Id",
               Request->request()["Skylarkdyke-Request-Id"]);
  if (Target.Leaves)
    Response.set("Server-Leaving", "1");
  Request->answer(std::move(Response));
}

void platform_stand_in::impl::acceptFlood(stand_in_target &Target) {
  const auto Flood = std::make_shared<flood>(Loop, Target.FloodPiece);
  Flood->Start = Target.FloodStart;
  Target.FloodAcceptor->async_accept(
      Flood->Socket, [this, &Target, Flood](auto AcceptFailure) {
        if (AcceptFailure)
          return;
        boost::asio::async_read_until(
            Flood->Socket, Flood->Request, "\r\n\r\n",
            [this, &Target, Flood](auto Failure, std::size_t) {
              if (Failure)
                return;
              const std::string Head(
                  boost::asio::buffers_begin(Flood->Request.data()),
                  boost::asio::buffers_end(Flood->Request.data()));
              const std::string Name = "Skylarkdyke-Request-Id: ";
              const std::size_t From = Head.find(Name) + Name.size();
              ++Target.Runs;
              ++Runs[Head.substr(From, Head.find('\r', From) - From)];
              Flood->send(Flood->Start);
            });
        acceptFlood(Target);
      });
}

int platform_stand_in::impl::publish(stand_in_target &Target,
                                     const std::string &State) {
  return put(
      "servers/" + Target.Id,
      json{{"address", base::toString(Target.Address)},
           {"born", 1},
           {"info",
            {{"service", Target.Service},
             {"version", "v1"},
             {"zone", Target.Zone},
             {"capacity", 4}}},
           {"status",
            {{"state", State}, {"sequence", 1}, {"cold_remaining_s", 0}}}}
          .dump(),
      false);
}

platform_stand_in::platform_stand_in() : Impl(std::make_unique<impl>()) {}
platform_stand_in::~platform_stand_in() = default;

base::endpoint platform_stand_in::storeAddress() const { return Impl->Address; }

void platform_stand_in::put(const std::string &Key, const std::string &Value) {
  Impl->onLoop([&] { return Impl->put(Key, Value, false); });
}

void platform_stand_in::remove(const std::string &Key) {
  Impl->onLoop([&] { return Impl->put(Key, "", true); });
}

std::string platform_stand_in::valueOf(const std::string &Key) const {
  return Impl->onLoop([&] {
    const auto Found = Impl->Content.Items.find(Key);
    return Found == Impl->Content.Items.end() ? std::string()
                                              : Found->second.Value;
  });
}

std::uint64_t platform_stand_in::leaseOf(const std::string &Key) const {
  return Impl->onLoop([&] {
    const auto Found = Impl->Content.Items.find(Key);
    return Found == Impl->Content.Items.end() ? 0 : Found->second.Lease;
  });
}

std::uint64_t platform_stand_in::revision() const {
  return Impl->onLoop([this] { return Impl->Content.Revision; });
}

void platform_stand_in::takeCopy() {
  Impl->onLoop([this] {
    Impl->Copy = Impl->Content;
    return 0;
  });
}

void platform_stand_in::goAway() {
  Impl->onLoop([this] { return Impl->goAway(); });
}

void platform_stand_in::returnFromCopy(
    const std::function<void()> &BeforeFirstCall) {
  Impl->onLoop([this] { return Impl->returnFromCopy(); });
  if (BeforeFirstCall)
    BeforeFirstCall();
  returnWithAll();
}

void platform_stand_in::returnWithAll() {
  Impl->onLoop([this] {
    Impl->openStore();
    return 0;
  });
}

void platform_stand_in::silenceWaitingWatches() {
  Impl->onLoop([this] {
    for (const waiting_watch &Watch : Impl->Watches) {
      Watch.Timer->cancel();
      Impl->SilencedRequests.push_back(Watch.Request);
    }
    Impl->Watches.clear();
    return 0;
  });
}

void platform_stand_in::fallSilent() {
  silenceWaitingWatches();
  Impl->onLoop([this] { return Impl->IsSilent = true; });
}

void platform_stand_in::answerAgain() {
  Impl->onLoop([this] { return Impl->IsSilent = false; });
}

std::size_t platform_stand_in::silencedWatches() const {
  return Impl->onLoop([this] { return Impl->SilencedWatchCount; });
}

void platform_stand_in::setPageSize(std::size_t ItemCount) {
  Impl->onLoop([&] { return Impl->PageSize = ItemCount; });
}

void platform_stand_in::setFault(store_fault Fault) {
  Impl->onLoop([&] { return Impl->Fault = Fault; });
}

void platform_stand_in::replaceInAnswers(const std::string &Text,
                                         const std::string &Bytes) {
  Impl->onLoop([&] {
    Impl->ReplacedText = Text;
    Impl->ReplacedBy = Bytes;
    return 0;
  });
}

store_calls platform_stand_in::calls() const {
  return Impl->onLoop([this] { return Impl->Calls; });
}

void platform_stand_in::turnAllAway() {
  Impl->onLoop([&] { return Impl->TurnsAllAway = true; });
}

void platform_stand_in::addTarget(const std::string &Id,
                                  const std::string &Service,
                                  const std::string &Zone,
                                  std::chrono::milliseconds Work) {
  Impl->onLoop([&] {
    auto &Target = Impl->Targets[Id];
    Target = std::make_unique<stand_in_target>();
    Target->Id = Id;
    Target->Service = Service;
    Target->Zone = Zone;
    Target->Work = Work;
    Target->Address = {"127.0.0.1", freePort()};
    stand_in_target *Raw = Target.get();
    Target->Server = std::make_unique<net::http_server>(
        Impl->Loop, 1000, [] { return base::message_limits(); },
        [this, Raw](const pending &Request) {
          Impl->handleTarget(*Raw, Request);
        });
    Target->Server->listen(Target->Address);
    return Impl->publish(*Target, "ready");
  });
}

void platform_stand_in::addFloodingTarget(const std::string &Id,
                                          const std::string &Service,
                                          const std::string &Zone,
                                          const std::string &Start,
                                          const std::string &Piece) {
  using boost::asio::ip::tcp;
  Impl->onLoop([&] {
    auto &Target = Impl->Targets[Id];
    Target = std::make_unique<stand_in_target>();
    Target->Id = Id;
    Target->Service = Service;
    Target->Zone = Zone;
    Target->Address = {"127.0.0.1", freePort()};
    Target->FloodStart = Start;
    while (Target->FloodPiece.size() < 8192)
      Target->FloodPiece += Piece;
    Target->FloodAcceptor = std::make_unique<tcp::acceptor>(
        Impl->Loop,
        tcp::endpoint(boost::asio::ip::make_address(Target->Address.Address),
                      Target->Address.Port));
    Impl->acceptFlood(*Target);
    return Impl->publish(*Target, "ready");
  });
}

void platform_stand_in::loseAnswers(const std::string &Id) {
  Impl->onLoop([&] { return Impl->Targets.at(Id)->LosesAnswers = true; });
}

void platform_stand_in::startLeaving(const std::string &Id) {
  Impl->onLoop([&] { return Impl->Targets.at(Id)->Leaves = true; });
}

void platform_stand_in::refuseRequests(const std::string &Id,
                                       const std::string &RetryAfter) {
  Impl->onLoop(
      [&] { return Impl->Targets.at(Id)->RefusalRetryAfter = RetryAfter; });
}

void platform_stand_in::addUnreachableTarget(const std::string &Id,
                                             const std::string &Service,
                                             const std::string &Zone) {
  Impl->onLoop([&] {
    stand_in_target Target;
    Target.Id = Id;
    Target.Service = Service;
    Target.Zone = Zone;
    Target.Address = {"127.0.0.1", freePort()};
    return Impl->publish(Target, "ready");
  });
}

void platform_stand_in::setState(const std::string &Id,
                                 const std::string &State) {
  Impl->onLoop([&] { return Impl->publish(*Impl->Targets.at(Id), State); });
}

std::map<std::string, int> platform_stand_in::runs() const {
  return Impl->onLoop([&] { return Impl->Runs; });
}

int platform_stand_in::runsAt(const std::string &Id) const {
  return Impl->onLoop([&] { return Impl->Targets.at(Id)->Runs; });
}

int platform_stand_in::arrivalsAt(const std::string &Id) const {
  return Impl->onLoop([&] { return Impl->Targets.at(Id)->Arrivals; });
}

int platform_stand_in::callerRequestsAt(const std::string &Id) const {
  return Impl->onLoop([&] { return Impl->Targets.at(Id)->CallerRequests; });
}

} // namespace test_support
