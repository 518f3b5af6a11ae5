#include "skylarkdyke/store/config_watcher.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/validate.hpp"
#include "store/detail/backoff.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace skylarkdyke::store {

using namespace std::chrono_literals;

// A change must be in force on all entries within 5 s, so a connection that was
// lost without a reset must be detected in less time.
static constexpr std::chrono::seconds WatchWait = 3s;
// Time after the end of the wait in which the response must arrive.
static constexpr std::chrono::seconds WatchMargin = 1s;
static constexpr auto InitialBackoff = 100ms;
static constexpr auto MaxBackoff = 2s;
// Minimum time between watches whose responses contain no change, so that a
// store that responds without waiting is not called in a tight loop.
static constexpr auto MinWatchInterval = 50ms;

struct config_watcher::impl {
  impl(client &Store, config::document_holder &Config,
       installed_callback OnInstalled)
      : Store(Store), Config(Config), OnInstalled(std::move(OnInstalled)) {}

  void run();
  void watchOnce();
  void processValue(const value &Value);
  void install(config::document Document);
  void updateAvailability(const unavailable *Failure);
  bool waitOrStop(std::chrono::milliseconds Duration);

  client &Store;
  config::document_holder &Config;
  installed_callback OnInstalled;
  /// Store index of the last response, from which the next watch waits.
  std::uint64_t Index = 0;
  /// Guarded by Mutex.
  std::optional<base::wall_time> DownSince;
  detail::backoff Backoff{InitialBackoff, MaxBackoff};
  http::stop_source Stop;
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::atomic<bool> HasResponse{false};
  std::atomic<std::uint64_t> Installed{0};
  std::atomic<std::uint64_t> Stale{0};
  std::atomic<std::uint64_t> Invalid{0};
  std::atomic<std::uint64_t> Conflicting{0};
  std::atomic<std::uint64_t> Failed{0};
  std::thread Thread;
};

/// Waits for a duration, or until stop() is called.
/// \return true if the watcher must stop
bool config_watcher::impl::waitOrStop(std::chrono::milliseconds Duration) {
  std::unique_lock<std::mutex> Lock(Mutex);
  return Wake.wait_for(Lock, Duration, [this] { return Stopping; });
}

void config_watcher::impl::processValue(const value &Value) {
  auto Document = config::decode(Value.Bytes);
  const base::findings Findings =
      Document ? config::validate(Document.value()) : Document.error();
  if (Findings.empty()) {
    install(std::move(Document).value());
    return;
  }
  ++Invalid;
  SKYLARKDYKE_LOG(ERROR, ConfigInvalid) << "store index " << Value.ModifyIndex
                                        << ": " << base::toString(Findings);
}

void config_watcher::impl::install(config::document Document) {
  const std::uint64_t Version = Document.Version;
  switch (Config.install(std::move(Document))) {
  case config::install_result::Installed:
    ++Installed;
    SKYLARKDYKE_LOG(INFO, ConfigInstalled) << "version " << Version;
    if (OnInstalled)
      OnInstalled(Config.current());
    break;
  case config::install_result::SameVersion:
    break;
  case config::install_result::Older:
    ++Stale;
    SKYLARKDYKE_LOG(WARNING, ConfigStaleIgnored) << "version " << Version;
    break;
  case config::install_result::Conflicting:
    ++Conflicting;
    SKYLARKDYKE_LOG(ERROR, ConfigConflictingContent) << "version " << Version;
    break;
  }
}

void config_watcher::impl::updateAvailability(const unavailable *Failure) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if ((Failure == nullptr) == !DownSince)
      return;
    if (Failure != nullptr)
      DownSince = std::chrono::system_clock::now();
    else
      DownSince.reset();
  }
  if (Failure == nullptr)
    SKYLARKDYKE_LOG(INFO, StoreAvailable) << "configuration watch resumed";
  else
    SKYLARKDYKE_LOG(WARNING, StoreUnavailable) << Failure->Reason;
}

/// Makes one watch call, processes its result, and waits before the next call
/// if the result requires it.
void config_watcher::impl::watchOnce() {
  const base::boot_time Start = base::boot_clock::now();
  const read_result Result = Store.watch(
      ConfigKey, Index, WatchWait, Start + WatchWait + WatchMargin, &Stop);
  if (const auto *Failure = std::get_if<unavailable>(&Result)) {
    // A watch that stop() cancelled does not mean that the store is
    // unavailable.
    if (waitOrStop(0ms))
      return;
    ++Failed;
    updateAvailability(Failure);
    waitOrStop(Backoff.next());
    return;
  }
  updateAvailability(nullptr);
  Backoff.reset();
  const std::uint64_t PreviousIndex = Index;
  if (const auto *Value = std::get_if<value>(&Result)) {
    if (Value->ModifyIndex != Index)
      processValue(*Value);
    Index = Value->ModifyIndex;
  } else {
    Index = std::get<not_found>(Result).Index;
  }
  HasResponse = true;
  if (Index == PreviousIndex &&
      base::boot_clock::now() - Start < MinWatchInterval)
    waitOrStop(MinWatchInterval);
}

void config_watcher::impl::run() {
  while (!waitOrStop(0ms))
    watchOnce();
}

config_watcher::config_watcher(client &Store, config::document_holder &Config,
                               installed_callback OnInstalled)
    : Impl(std::make_unique<impl>(Store, Config, std::move(OnInstalled))) {}

config_watcher::~config_watcher() { stop(); }

void config_watcher::start() {
  Impl->Thread = std::thread([this] { Impl->run(); });
}

void config_watcher::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Impl->Mutex);
    Impl->Stopping = true;
  }
  Impl->Stop.stop();
  Impl->Wake.notify_all();
  if (Impl->Thread.joinable())
    Impl->Thread.join();
}

bool config_watcher::hasResponse() const { return Impl->HasResponse; }

std::optional<base::wall_time> config_watcher::downSince() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->DownSince;
}

watch_counts config_watcher::counts() const {
  return {Impl->Installed, Impl->Stale, Impl->Invalid, Impl->Conflicting,
          Impl->Failed};
}

} // namespace skylarkdyke::store
