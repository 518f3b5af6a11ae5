#include "skylarkdyke/emulators/target_emulator.hpp"

#include "emulators/detail/connection_server.hpp"
#include "skylarkdyke/http/client.hpp"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace skylarkdyke::emulators {

using detail::reply;

/// Interval at which a running or waiting request looks whether its connection
/// is still open.
static constexpr std::chrono::milliseconds CancelCheck{2};

struct target_emulator::impl {
  impl(base::endpoint Listen, target_behaviour Given)
      : Address(Listen), Behaviour(std::move(Given)), Random(Behaviour.Seed),
        Server(std::move(Listen),
               [this](const http::request &Request, int Socket) {
                 return handle(Request, Socket);
               }) {}

  reply handle(const http::request &Request, int Socket);
  reply run(const http::request &Request, int Socket);
  reply answerRun(const http::request &Request, const target_behaviour &Now);
  bool takeSlot(int Socket, base::boot_time Deadline);
  void freeSlot();
  bool work(std::chrono::microseconds Length, int Socket,
            base::boot_time Deadline);
  std::chrono::microseconds drawWorkTime();
  bool drawError();
  void crash(std::chrono::milliseconds DownTime);
  std::uint64_t recordStart(const http::request &Request);
  void recordEnd(std::uint64_t Number);

  base::endpoint Address;
  mutable std::mutex Mutex;
  std::condition_variable SlotFreed;
  target_behaviour Behaviour;
  std::mt19937_64 Random;
  unsigned InFlight = 0;
  unsigned Waiting = 0;
  unsigned RunsSinceStart = 0;
  std::deque<run_record> Journal;
  /// Number of the first record still held.
  std::uint64_t FirstRecord = 0;
  detail::connection_server Server;
};

static http::response notRun() {
  http::response Response;
  Response.Status = 503;
  Response.Headers["Request-Outcome"] = "not-run";
  return Response;
}

static base::boot_time deadlineOf(const http::request &Request) {
  const auto Text = http::findHeader(Request.Headers, "Request-Deadline");
  if (!Text)
    return base::boot_time::max();
  return base::toBootTime(base::wall_time(
      std::chrono::milliseconds(std::strtoll(Text->c_str(), nullptr, 10))));
}

/// Replaces a reply by the flood of the behaviour, if it has one.
static void applyFlood(const http::request &Request,
                       const target_behaviour &Now, reply &Reply) {
  if (Now.Flood == flood_form::None)
    return;
  Reply.Form = reply::form::Flood;
  Reply.Flood = makeFlood(
      Now.Flood, http::findHeader(Request.Headers, "Request-Id").value_or(""),
      Now.FloodPause);
}

reply target_emulator::impl::handle(const http::request &Request, int Socket) {
  reply Reply;
  if (Request.Target == "/health") {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Reply.Response.Status = Behaviour.Draining ? 503 : 200;
    if (Behaviour.FloodsHealth)
      applyFlood(Request, Behaviour, Reply);
    return Reply;
  }
  if (Request.Target == "/load") {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Reply.Response.Body = nlohmann::json{
        {"in_flight", Behaviour.ReportsIdle ? 0 : InFlight},
        {"slots",
         Behaviour.Slots}}.dump();
    return Reply;
  }
  Reply = run(Request, Socket);
  if (const auto Id = http::findHeader(Request.Headers, "Request-Id"))
    Reply.Response.Headers.emplace("Request-Id", *Id);
  return Reply;
}

reply target_emulator::impl::run(const http::request &Request, int Socket) {
  reply Reply;
  const base::boot_time Deadline = deadlineOf(Request);
  if (drawError()) {
    Reply.Response.Status = 500;
    return Reply;
  }
  if (!takeSlot(Socket, Deadline)) {
    Reply.Response = notRun();
    return Reply;
  }
  const std::uint64_t Number = recordStart(Request);
  if (Request.Target.find("poison") != std::string::npos) {
    freeSlot();
    std::unique_lock<std::mutex> Lock(Mutex);
    const auto DownTime = Behaviour.CrashTime;
    Lock.unlock();
    crash(DownTime);
    Reply.Form = reply::form::CloseWithoutAnswer;
    return Reply;
  }
  const bool Done = work(drawWorkTime(), Socket, Deadline);
  freeSlot();
  if (!Done) {
    Reply.Form = reply::form::CloseWithoutAnswer;
    return Reply;
  }
  recordEnd(Number);
  std::unique_lock<std::mutex> Lock(Mutex);
  const target_behaviour Now = Behaviour;
  Lock.unlock();
  std::this_thread::sleep_for(Now.LateBy);
  return answerRun(Request, Now);
}

reply target_emulator::impl::answerRun(const http::request &Request,
                                       const target_behaviour &Now) {
  reply Reply;
  Reply.Response.Headers["Content-Type"] = "application/json";
  Reply.Response.Body = nlohmann::json{
      {"path", Request.Target},
      {"key",
       http::findHeader(Request.Headers, "Idempotency-Key").value_or("")},
      {"bytes",
       Request.Body.size()}}.dump();
  if (Now.AnswersWrongId)
    Reply.Response.Headers["Request-Id"] = "of-another-request";
  if (Now.TruncatesAnswers)
    Reply.Form = reply::form::Truncated;
  if (Now.ClosesWithoutAnswer)
    Reply.Form = reply::form::CloseWithoutAnswer;
  applyFlood(Request, Now, Reply);
  return Reply;
}

bool target_emulator::impl::takeSlot(int Socket, base::boot_time Deadline) {
  std::unique_lock<std::mutex> Lock(Mutex);
  if (Behaviour.Draining ||
      (InFlight >= Behaviour.Slots && Waiting >= Behaviour.Queue))
    return false;
  ++Waiting;
  while (InFlight >= Behaviour.Slots && base::boot_clock::now() < Deadline &&
         !http::isClosedByPeer(Socket))
    SlotFreed.wait_for(Lock, CancelCheck);
  --Waiting;
  if (InFlight >= Behaviour.Slots || base::boot_clock::now() >= Deadline)
    return false;
  ++InFlight;
  return true;
}

void target_emulator::impl::freeSlot() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  --InFlight;
  SlotFreed.notify_one();
}

/// Holds the slot. Returns false if the connection was closed or the deadline
/// passed before the work was done.
bool target_emulator::impl::work(std::chrono::microseconds Length, int Socket,
                                 base::boot_time Deadline) {
  const base::boot_time End = base::boot_clock::now() + Length;
  base::boot_time Now = base::boot_clock::now();
  while (Now < End) {
    if (Now >= Deadline || http::isClosedByPeer(Socket))
      return false;
    std::this_thread::sleep_for(
        std::min<std::chrono::nanoseconds>(End - Now, CancelCheck));
    Now = base::boot_clock::now();
  }
  return true;
}

std::chrono::microseconds target_emulator::impl::drawWorkTime() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  auto Mean = static_cast<double>(Behaviour.WorkTime.count());
  if (RunsSinceStart++ < Behaviour.ColdRuns)
    Mean *= Behaviour.ColdFactor;
  if (Behaviour.Exponential && Mean > 0)
    Mean = std::exponential_distribution<double>(1 / Mean)(Random);
  return std::chrono::microseconds(static_cast<std::int64_t>(Mean));
}

bool target_emulator::impl::drawError() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Behaviour.ErrorShare > 0 && std::bernoulli_distribution(std::min(
                                         1.0, Behaviour.ErrorShare))(Random);
}

void target_emulator::impl::crash(std::chrono::milliseconds DownTime) {
  Server.crash(DownTime);
  const std::lock_guard<std::mutex> Lock(Mutex);
  RunsSinceStart = 0;
}

std::uint64_t target_emulator::impl::recordStart(const http::request &Request) {
  run_record Record;
  Record.Key =
      http::findHeader(Request.Headers, "Idempotency-Key").value_or("");
  Record.RequestId =
      http::findHeader(Request.Headers, "Request-Id").value_or("");
  Record.Method = Request.Method;
  Record.Path = Request.Target;
  Record.Start = std::chrono::system_clock::now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  Record.Service = Behaviour.Service;
  if (Journal.size() == MaxJournalRecords) {
    Journal.pop_front();
    ++FirstRecord;
  }
  Journal.push_back(std::move(Record));
  return FirstRecord + Journal.size() - 1;
}

void target_emulator::impl::recordEnd(std::uint64_t Number) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Number < FirstRecord)
    return;
  run_record &Record = Journal[Number - FirstRecord];
  Record.End = std::chrono::system_clock::now();
  Record.Finished = true;
}

target_emulator::target_emulator(base::endpoint Listen,
                                 target_behaviour Behaviour)
    : Impl(std::make_unique<impl>(std::move(Listen), std::move(Behaviour))) {}

target_emulator::~target_emulator() { stop(); }

bool target_emulator::start() { return Impl->Server.start(); }

void target_emulator::stop() { Impl->Server.stop(); }

void target_emulator::configure(target_behaviour Behaviour) {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  if (Behaviour.Seed != Impl->Behaviour.Seed)
    Impl->Random.seed(Behaviour.Seed);
  Impl->Behaviour = std::move(Behaviour);
  Impl->SlotFreed.notify_all();
}

void target_emulator::crash(std::chrono::milliseconds DownTime) {
  Impl->crash(DownTime);
}

const base::endpoint &target_emulator::address() const { return Impl->Address; }

target_behaviour target_emulator::behaviour() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->Behaviour;
}

std::vector<run_record> target_emulator::journal() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return {Impl->Journal.begin(), Impl->Journal.end()};
}

unsigned target_emulator::inFlight() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->InFlight;
}

} // namespace skylarkdyke::emulators
