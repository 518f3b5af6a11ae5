#include "skylarkdyke/instances/instance_poller.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/http/stop_source.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace skylarkdyke::instances {

using namespace std::chrono_literals;

// Time limit of one call. Connecting cannot be interrupted, so this also bounds
// the duration of stop().
static constexpr auto CallTimeout = 900ms;

struct instance_poller::impl {
  impl(const base::endpoint &Platform, list_callback OnList,
       std::chrono::milliseconds Period)
      : Client(Platform), OnList(std::move(OnList)), Period(Period) {}

  void run();
  void poll();
  bool waitOrStop(std::chrono::milliseconds Duration);

  client Client;
  list_callback OnList;
  std::chrono::milliseconds Period;
  /// Whether the last call succeeded; true before the first one.
  bool Available = true;
  http::stop_source Stop;
  mutable std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::shared_ptr<const instance_snapshot> Latest;
  std::thread Thread;
};

/// Waits for a duration, or until stop() is called.
/// \return true if the poller must stop
bool instance_poller::impl::waitOrStop(std::chrono::milliseconds Duration) {
  std::unique_lock<std::mutex> Lock(Mutex);
  return Wake.wait_for(Lock, Duration, [this] { return Stopping; });
}

void instance_poller::impl::poll() {
  const base::boot_time Start = base::boot_clock::now();
  list_result Result = Client.list(Start + CallTimeout, Stop.socket());
  if (waitOrStop(0ms))
    return;
  const auto *Failure = std::get_if<unavailable>(&Result);
  if ((Failure == nullptr) != Available) {
    Available = Failure == nullptr;
    if (Available)
      SKYLARKDYKE_LOG(INFO, PlatformAvailable)
          << "instance list is available again";
    else
      SKYLARKDYKE_LOG(WARNING, PlatformUnavailable) << Failure->Reason;
  }
  if (Failure != nullptr)
    return;
  auto Snapshot = std::make_shared<const instance_snapshot>(
      instance_snapshot{std::get<instance_list>(std::move(Result)), Start});
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Latest = Snapshot;
  }
  if (OnList)
    OnList(Snapshot->List);
}

void instance_poller::impl::run() {
  do
    poll();
  while (!waitOrStop(Period));
}

instance_poller::instance_poller(const base::endpoint &Platform,
                                 list_callback OnList,
                                 std::chrono::milliseconds Period)
    : Impl(std::make_unique<impl>(Platform, std::move(OnList), Period)) {}

instance_poller::~instance_poller() { stop(); }

void instance_poller::start() {
  Impl->Thread = std::thread([this] { Impl->run(); });
}

void instance_poller::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Impl->Mutex);
    Impl->Stopping = true;
  }
  Impl->Stop.stop();
  Impl->Wake.notify_all();
  if (Impl->Thread.joinable())
    Impl->Thread.join();
}

std::shared_ptr<const instance_snapshot> instance_poller::latest() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->Latest;
}

} // namespace skylarkdyke::instances
