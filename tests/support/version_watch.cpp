#include "support/version_watch.hpp"

#include "skylarkdyke/base/base64.hpp"

namespace test_support {

using namespace skylarkdyke;
using namespace std::chrono_literals;

static constexpr std::uint64_t MarkBase = 4'000'000'000;

void mark(config::document &Document, std::uint64_t Version,
          std::uint64_t Submission) {
  Document.Links.at(0).CapBitsPerSecond = MarkBase + Version;
  Document.Links.at(1).CapBitsPerSecond = MarkBase + Submission;
}

static std::optional<std::uint64_t> markOf(const std::string &Metrics,
                                           const config::link &Link) {
  const std::string Name = "skylarkdyke_cap_whole{cap=\"link " +
                           Link.From.str() + " " + Link.To.str() + "\"} ";
  const std::size_t At = Metrics.find(Name);
  if (At == std::string::npos)
    return std::nullopt;
  return static_cast<std::uint64_t>(
             std::strtod(Metrics.c_str() + At + Name.size(), nullptr)) -
         MarkBase;
}

std::optional<seen_version> readVersion(const cluster &Cluster,
                                        std::size_t Entry) {
  http::request Request;
  Request.Target = "/metrics";
  // The operator of emulated deployments.
  Request.Headers["Authorization"] = "Basic " + base::encodeBase64("demo:demo");
  const answer Answer =
      Cluster.ask(Cluster.Plan.Entries.at(Entry).AdminAddress, Request, 1s);
  const auto &Links = Cluster.Plan.Document.Links;
  const auto Version = markOf(Answer.Body, Links.at(0));
  const auto Submission = markOf(Answer.Body, Links.at(1));
  if (!Version || !Submission)
    return std::nullopt;
  return seen_version{*Version, *Submission};
}

version_watch::version_watch(const cluster &Cluster)
    : Cluster(Cluster), Processes(Cluster.Plan.Entries.size()) {
  for (std::size_t Entry = 0; Entry < Processes.size(); ++Entry)
    Threads.emplace_back([this, Entry] { watch(Entry); });
}

version_watch::~version_watch() { stop(); }

void version_watch::processChanges(std::size_t Entry) { ++Processes[Entry]; }

void version_watch::stop() {
  Stopping = true;
  for (std::thread &Thread : Threads)
    if (Thread.joinable())
      Thread.join();
}

std::vector<timed_line> version_watch::violations() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Violations;
}

std::map<std::uint64_t, std::map<std::uint64_t, base::wall_time>>
version_watch::seen() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Seen;
}

void version_watch::watch(std::size_t Entry) {
  unsigned LastProcess = 0;
  std::uint64_t HighestInProcess = 0;
  std::uint64_t HighestReady = 0;
  for (; !Stopping; std::this_thread::sleep_for(50ms)) {
    const unsigned Process = Processes[Entry];
    const bool IsReady = Cluster.isReady(Entry);
    const auto Now = readVersion(Cluster, Entry);
    if (!Now || Processes[Entry] != Process)
      continue;
    if (Process != LastProcess)
      HighestInProcess = 0;
    LastProcess = Process;
    const std::uint64_t Least =
        IsReady ? std::max(HighestReady, HighestInProcess) : HighestInProcess;
    HighestInProcess = std::max(HighestInProcess, Now->Version);
    if (IsReady)
      HighestReady = std::max(HighestReady, Now->Version);
    const auto Time = std::chrono::system_clock::now();
    const std::lock_guard<std::mutex> Lock(Mutex);
    Seen[Now->Version].emplace(Now->Submission, Time);
    if (Now->Version < Least)
      Violations.push_back({Time, Cluster.Plan.Entries.at(Entry).Name +
                                      " went from version " +
                                      std::to_string(Least) + " to " +
                                      std::to_string(Now->Version)});
  }
}

} // namespace test_support
