#include "skylarkdyke/store/config_watcher.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/config/codec.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace skylarkdyke::store {

using namespace std::chrono_literals;

// Short, so that a stop is not held up and a half-open connection is noticed
// soon.
static constexpr std::chrono::seconds WatchWait = 2s;
static constexpr std::chrono::seconds WatchSlack = 1s;
static constexpr std::chrono::milliseconds RetryPause = 250ms;

struct config_watcher::impl {
  impl(client &Store, config::holder &Config) : Store(Store), Config(Config) {}

  void run();
  void accept(const value &Value);
  bool stopped();

  client &Store;
  config::holder &Config;
  std::uint64_t Index = 0;
  bool Available = true;
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::thread Thread;
};

/// Waits for RetryPause; returns true when the watcher is to stop.
bool config_watcher::impl::stopped() {
  std::unique_lock<std::mutex> Lock(Mutex);
  return Wake.wait_for(Lock, RetryPause, [this] { return Stopping; });
}

void config_watcher::impl::accept(const value &Value) {
  auto Document = config::decode(Value.Bytes);
  if (!Document) {
    SKYLARKDYKE_LOG(ERROR, ConfigInvalid)
        << "store index " << Value.ModifyIndex << ": "
        << base::toString(Document.error());
    return;
  }
  const std::uint64_t Version = Document.value().Version;
  switch (Config.install(std::move(Document).value())) {
  case config::install_result::Installed:
    SKYLARKDYKE_LOG(INFO, ConfigInstalled) << "version " << Version;
    break;
  case config::install_result::SameVersion:
    break;
  case config::install_result::Older:
    SKYLARKDYKE_LOG(WARNING, ConfigStaleIgnored) << "version " << Version;
    break;
  case config::install_result::Conflicting:
    SKYLARKDYKE_LOG(ERROR, ConfigConflictingContent) << "version " << Version;
    break;
  }
}

void config_watcher::impl::run() {
  for (;;) {
    const read_result Result =
        Store.watch(ConfigKey, Index, WatchWait,
                    base::boot_clock::now() + WatchWait + WatchSlack);
    if (const auto *Value = std::get_if<value>(&Result)) {
      if (Value->ModifyIndex != Index)
        accept(*Value);
      Index = Value->ModifyIndex;
    } else if (const auto *Missing = std::get_if<not_found>(&Result)) {
      Index = Missing->Index;
    }
    const auto *Failure = std::get_if<unavailable>(&Result);
    if ((Failure == nullptr) != Available) {
      Available = Failure == nullptr;
      if (Available)
        SKYLARKDYKE_LOG(INFO, StoreAvailable) << "configuration watch resumed";
      else
        SKYLARKDYKE_LOG(WARNING, StoreUnavailable) << Failure->Reason;
    }
    if (Failure != nullptr && stopped())
      return;
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Stopping)
      return;
  }
}

config_watcher::config_watcher(client &Store, config::holder &Config)
    : Impl(std::make_unique<impl>(Store, Config)) {}

config_watcher::~config_watcher() { stop(); }

void config_watcher::start() {
  Impl->Thread = std::thread([this] { Impl->run(); });
}

void config_watcher::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Impl->Mutex);
    Impl->Stopping = true;
  }
  Impl->Wake.notify_all();
  if (Impl->Thread.joinable())
    Impl->Thread.join();
}

} // namespace skylarkdyke::store
