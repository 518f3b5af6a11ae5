// Measures the latency that an entry adds over calling a target directly, at
// low load and with half of the slots in use. Entry and targets run in this
// process, so the figures hold the cost of their threads, but no network.

#include "skylarkdyke/callers/caller_service.hpp"
#include "skylarkdyke/emulators/target_emulator.hpp"
#include "skylarkdyke/targets/connection_pool.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <thread>

using namespace skylarkdyke;
using namespace std::chrono_literals;

static constexpr unsigned TargetCount = 12;
static constexpr unsigned SlotsPerTarget = 4;
static constexpr std::chrono::milliseconds WorkTime{5};
static constexpr std::uint16_t FirstPort = 22100;

static base::endpoint targetAddress(unsigned Index) {
  return {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + Index)};
}

static base::endpoint entryAddress() { return {"127.0.0.1", FirstPort - 1}; }

static std::shared_ptr<config::document> makeDocument() {
  auto Document = std::make_shared<config::document>();
  const base::domain_name Domain("a");
  Document->EntrySeats = 1;
  Document->Regions.push_back({base::region_name("r"), 1000000, {Domain}});
  Document->Services.push_back({base::service_name("s")});
  for (unsigned Index = 0; Index < TargetCount; ++Index)
    Document->Targets.push_back({base::target_id("t" + std::to_string(Index)),
                                 base::service_name("s"), Domain,
                                 targetAddress(Index), SlotsPerTarget, 350});
  return Document;
}

static entries::member makeSelf() {
  entries::member Self;
  Self.Name = base::entry_name("e");
  Self.Incarnation = base::generateIncarnation();
  Self.Region = base::region_name("r");
  Self.CallerAddress = entryAddress();
  Self.Ready = true;
  Self.Reachable = true;
  return Self;
}

static callers::dependencies makeDependencies() {
  callers::dependencies Functions;
  Functions.Document = [Document = makeDocument()] { return Document; };
  Functions.Self = [Self = makeSelf()] { return Self; };
  Functions.Members = [] { return std::vector<entries::member>(); };
  Functions.TryTakeCaps = [](const std::vector<caps::demand> &) {
    return true;
  };
  Functions.RefundCap = [](const caps::demand &, base::boot_time) {};
  Functions.RecordIntent = [](const once::idempotency_key &, base::boot_time) {
    return std::optional<once::record_result>();
  };
  Functions.SealOwner = [](const once::idempotency_key &, base::boot_time) {
    return std::optional<once::seal_result>();
  };
  Functions.IncarnationSealed = [](base::incarnation_id) {};
  Functions.ReportCrash = [](const poison::crash_report &) {};
  return Functions;
}

using latencies = std::vector<std::chrono::nanoseconds>;

/// One client that sends its next request when it has its answer.
static latencies runClient(const base::endpoint &Peer, const char *Path,
                           std::chrono::seconds Length) {
  targets::connection_pool Pool;
  http::request Request;
  Request.Target = Path;
  Request.Headers["Request-Id"] = "r";
  latencies Latencies;
  const base::boot_time End = base::boot_clock::now() + Length;
  for (base::boot_time Start = base::boot_clock::now(); Start < End;) {
    auto Lease = Pool.acquire(Peer, Start + 1s);
    const bool Ok =
        Lease && Lease.value().exchange(Request, {Start + 1s, 4096, -1});
    const base::boot_time Now = base::boot_clock::now();
    if (Ok)
      Latencies.push_back(Now - Start);
    Start = Now;
  }
  return Latencies;
}

/// Runs clients at the entry, or each at a target of its own in turn.
static latencies runClients(bool Direct, unsigned Clients,
                            std::chrono::seconds Length) {
  std::vector<latencies> PerClient(Clients);
  std::vector<std::thread> Threads;
  Threads.reserve(Clients);
  for (unsigned Index = 0; Index < Clients; ++Index)
    Threads.emplace_back([=, &PerClient] {
      PerClient[Index] =
          Direct ? runClient(targetAddress(Index % TargetCount), "/x", Length)
                 : runClient(entryAddress(), "/s/s/x", Length);
    });
  latencies All;
  for (unsigned Index = 0; Index < Clients; ++Index) {
    Threads[Index].join();
    All.insert(All.end(), PerClient[Index].begin(), PerClient[Index].end());
  }
  std::sort(All.begin(), All.end());
  return All;
}

static long quantile(const latencies &Sorted, double Rank) {
  if (Sorted.empty())
    return 0;
  const auto Index =
      static_cast<std::size_t>(Rank * static_cast<double>(Sorted.size() - 1));
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::microseconds>(Sorted[Index])
          .count());
}

static void compare(const char *Name, unsigned Clients,
                    std::chrono::seconds Length) {
  const latencies Direct = runClients(true, Clients, Length);
  const latencies Entry = runClients(false, Clients, Length);
  for (const double Rank : {0.5, 0.99})
    std::printf("%-10s %3u clients p%-2.0f direct %6ld us, entry %6ld us, "
                "added %5ld us (%zu and %zu requests)\n",
                Name, Clients, Rank * 100, quantile(Direct, Rank),
                quantile(Entry, Rank),
                quantile(Entry, Rank) - quantile(Direct, Rank), Direct.size(),
                Entry.size());
}

int main(int ArgCount, char **Args) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::chrono::seconds Length(
      ArgCount > 1 ? std::strtol(Args[1], nullptr, 10) : 5);
  emulators::target_behaviour Behaviour;
  Behaviour.Slots = SlotsPerTarget;
  Behaviour.WorkTime = WorkTime;
  std::vector<std::unique_ptr<emulators::target_emulator>> Targets;
  for (unsigned Index = 0; Index < TargetCount; ++Index) {
    Targets.push_back(std::make_unique<emulators::target_emulator>(
        targetAddress(Index), Behaviour));
    if (!Targets.back()->start())
      return EXIT_FAILURE;
  }
  callers::caller_service Service({}, makeDependencies());
  Service.refresh();
  http::server Server(entryAddress(), http::server_limits(),
                      [&Service](const http::server_request &Request) {
                        return Service.handle(Request);
                      });
  if (!Server.start())
    return EXIT_FAILURE;
  compare("low load", 1, Length);
  compare("half", TargetCount * SlotsPerTarget / 2, Length);
  Server.stop();
  return EXIT_SUCCESS;
}
