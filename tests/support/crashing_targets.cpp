#include "support/crashing_targets.hpp"

#include "support/scripted_target.hpp"
#include "support/served_entry.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace test_support {

using namespace skylarkdyke;
using namespace std::chrono_literals;

/// Time from the end of a target until another one is registered.
static constexpr std::chrono::milliseconds RestartTime{1000};

namespace {

struct running_target {
  std::string Id;
  std::atomic<bool> Crashed{false};
  std::unique_ptr<scripted_target> Server;
};

} // namespace

struct crashing_targets::impl {
  impl(platform_stand_in &Platform, std::string CrashPaths)
      : Platform(Platform), CrashPaths(std::move(CrashPaths)) {}

  void addTarget();
  void respond(running_target &Target, const scripted_request &Request);
  void replaceCrashed();

  platform_stand_in &Platform;
  std::string CrashPaths;
  mutable std::mutex Mutex;
  std::vector<base::boot_time> Crashes;
  // The members below are used by one thread at a time.
  std::vector<std::unique_ptr<running_target>> Targets;
  std::vector<base::boot_time> RestartsAt;
  int TargetCount = 0;
  std::atomic<bool> Stopping{false};
  std::thread Keeper;
};

void crashing_targets::impl::respond(running_target &Target,
                                     const scripted_request &Request) {
  if (Request.path().find(CrashPaths) != std::string::npos) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Crashes.push_back(base::boot_clock::now());
    }
    Target.Crashed = true;
    return Request.reset();
  }
  Request.send("HTTP/1.1 200 OK\r\nSkylarkdyke-Response-Signature: signed\r\n"
               "Skylarkdyke-Request-Id: " +
               Request.requestId() + "\r\nContent-Length: 2\r\n\r\nok");
}

void crashing_targets::impl::addTarget() {
  auto &Target =
      *Targets.emplace_back(std::make_unique<running_target>()).get();
  Target.Id = "c" + std::to_string(++TargetCount);
  Target.Server = std::make_unique<scripted_target>(
      [this, &Target](const scripted_request &Request) {
        respond(Target, Request);
      });
  Platform.put("servers/" + Target.Id, servedTarget(Target.Server->address()));
}

void crashing_targets::impl::replaceCrashed() {
  for (auto &Target : Targets)
    if (Target->Crashed) {
      Target->Server.reset();
      Platform.remove("servers/" + Target->Id);
      RestartsAt.push_back(base::boot_clock::now() + RestartTime);
    }
  Targets.erase(
      std::remove_if(Targets.begin(), Targets.end(),
                     [](const auto &Target) { return !Target->Server; }),
      Targets.end());
  while (!RestartsAt.empty() && RestartsAt.front() <= base::boot_clock::now()) {
    RestartsAt.erase(RestartsAt.begin());
    addTarget();
  }
}

crashing_targets::crashing_targets(platform_stand_in &Platform,
                                   std::size_t Count, std::string CrashPaths)
    : Impl(std::make_unique<impl>(Platform, std::move(CrashPaths))) {
  for (std::size_t I = 0; I < Count; ++I)
    Impl->addTarget();
  Impl->Keeper = std::thread([this] {
    while (!Impl->Stopping) {
      Impl->replaceCrashed();
      std::this_thread::sleep_for(5ms);
    }
  });
}

crashing_targets::~crashing_targets() {
  Impl->Stopping = true;
  Impl->Keeper.join();
}

std::vector<base::boot_time> crashing_targets::crashes() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->Crashes;
}

std::size_t
crashing_targets::sendsAfterThirdCrash(std::chrono::milliseconds Later) const {
  const auto Times = crashes();
  if (Times.size() < 3)
    return 0;
  return static_cast<std::size_t>(
      std::count_if(Times.begin(), Times.end(), [&](base::boot_time Time) {
        return Time > Times[2] + Later;
      }));
}

} // namespace test_support
