#include "skylarkdyke/emulators/load_generator.hpp"

#include "emulators/detail/load_caller.hpp"
#include "skylarkdyke/base/bounded_queue.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <unistd.h>

namespace skylarkdyke::emulators {

using nlohmann::json;

/// Arrivals that may wait for a free caller of their stream.
static constexpr std::size_t MaxWaitingArrivals = 10'000;

namespace {

struct arrival {
  std::string Path;
  bool IsSafe = true;
  base::boot_time At;
};

/// One stream: a thread that schedules arrivals and the callers that send them.
class stream_runner {
public:
  stream_runner(const load_options &Options, const load_stream &Stream,
                std::size_t Number)
      : Options(Options), Stream(Stream), Number(Number),
        Arrivals(MaxWaitingArrivals) {}

  void start() {
    PerCaller.resize(Options.Callers);
    Threads.emplace_back([this] { schedule(); });
    for (std::vector<load_record> &Records : PerCaller)
      Threads.emplace_back([this, &Records] { sendArrivals(Records); });
  }

  void finish(load_result &Result) {
    for (std::thread &Thread : Threads)
      Thread.join();
    for (std::vector<load_record> &Records : PerCaller)
      std::move(Records.begin(), Records.end(),
                std::back_inserter(Result.Records));
    Result.Dropped += Dropped;
  }

private:
  void schedule() {
    std::mt19937_64 Random(Options.Seed * 1'000'003 + Number);
    std::exponential_distribution<double> Gap(Stream.RatePerSecond);
    std::bernoulli_distribution IsKeyed(Options.KeyedShare);
    // The process id keeps the paths of two loads apart in one journal.
    const std::string Prefix = "/" + std::to_string(getpid()) + "-" +
                               std::to_string(Options.Seed) + "-" +
                               std::to_string(Number) + "-";
    const base::boot_time Start = base::boot_clock::now();
    std::chrono::duration<double> Offset(Gap(Random));
    for (std::uint64_t Count = 0; Offset < Options.Duration; ++Count) {
      const base::boot_time At =
          Start +
          std::chrono::duration_cast<base::boot_clock::duration>(Offset);
      std::this_thread::sleep_for(At - base::boot_clock::now());
      if (!Arrivals.tryPush(
              {Prefix + std::to_string(Count), !IsKeyed(Random), At}))
        ++Dropped;
      Offset += std::chrono::duration<double>(Gap(Random));
    }
    Arrivals.close();
  }

  void sendArrivals(std::vector<load_record> &Records) {
    detail::load_caller Caller(Options, Stream);
    while (true) {
      const auto Next =
          Arrivals.popUntil(base::boot_clock::now() + std::chrono::seconds(1));
      if (Next)
        Records.push_back(Caller.run(Next->Path, Next->IsSafe, Next->At));
      else if (Arrivals.isClosed())
        return;
    }
  }

  const load_options &Options;
  const load_stream &Stream;
  std::size_t Number;
  base::bounded_queue<arrival> Arrivals;
  std::vector<std::vector<load_record>> PerCaller;
  std::uint64_t Dropped = 0;
  std::vector<std::thread> Threads;
};

} // namespace

load_result runLoad(const load_options &Options) {
  std::vector<std::unique_ptr<stream_runner>> Runners;
  for (std::size_t Number = 0; Number < Options.Streams.size(); ++Number)
    Runners.push_back(std::make_unique<stream_runner>(
        Options, Options.Streams[Number], Number));
  for (const auto &Runner : Runners)
    Runner->start();
  load_result Result;
  for (const auto &Runner : Runners)
    Runner->finish(Result);
  return Result;
}

static const char *outcomeOf(const load_record &Record) {
  return Record.Outcome ? once::toString(*Record.Outcome) : "no-answer";
}

/// Nearest-rank quantile in microseconds of sorted latencies.
static std::int64_t
quantile(const std::vector<std::chrono::nanoseconds> &Sorted, double Rank) {
  if (Sorted.empty())
    return 0;
  const auto Index =
      static_cast<std::size_t>(Rank * static_cast<double>(Sorted.size()));
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Sorted[std::min(Index, Sorted.size() - 1)])
      .count();
}

std::string summarize(const load_result &Result) {
  std::map<std::string, std::vector<std::chrono::nanoseconds>> Latencies;
  json Services = json::object();
  for (const load_record &Record : Result.Records) {
    json &Service = Services[Record.Service.str()];
    if (Service.is_null())
      Service = {{"requests", 0},      {"completed", 0}, {"not-run", 0},
                 {"unknown", 0},       {"no-answer", 0}, {"errors", 0},
                 {"extra_attempts", 0}};
    const auto Add = [&Service](const char *Name, unsigned Amount) {
      Service[Name] = Service[Name].get<std::uint64_t>() + Amount;
    };
    Add("requests", 1);
    Add(outcomeOf(Record), 1);
    Add("extra_attempts", Record.Attempts > 0 ? Record.Attempts - 1 : 0);
    if (Record.Outcome == once::outcome::Completed) {
      Add("errors", Record.Status >= 500 ? 1 : 0);
      Latencies[Record.Service.str()].push_back(Record.Latency);
    }
  }
  for (auto &[Name, Values] : Latencies) {
    std::sort(Values.begin(), Values.end());
    Services[Name]["p50_us"] = quantile(Values, 0.5);
    Services[Name]["p99_us"] = quantile(Values, 0.99);
    Services[Name]["p999_us"] = quantile(Values, 0.999);
  }
  return json{{"services", std::move(Services)}, {"dropped", Result.Dropped}}
      .dump(2);
}

} // namespace skylarkdyke::emulators
