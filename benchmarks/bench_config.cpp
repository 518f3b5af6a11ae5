// Time to decode, validate, install and encode a configuration document, its
// size, and the lookups that one core answers, by the number of targets.

#include "skylarkdyke/callers/caller_service.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/holder.hpp"
#include "skylarkdyke/config/validate.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <stdexcept>

using namespace skylarkdyke;

/// Processor time of this process; unlike elapsed time it leaves out the time
/// in which other processes had the core.
static std::chrono::duration<double, std::micro> cpuTime() {
  return std::chrono::duration<double>(static_cast<double>(std::clock()) /
                                       CLOCKS_PER_SEC);
}

static constexpr std::size_t Rounds = 9;
static constexpr std::size_t RegionCount = 27;
/// 61 failure domains: 2 in each region and a third one in the first 7.
static constexpr std::size_t RegionsOfThreeDomains = 7;
static constexpr std::size_t TargetsPerService = 12;
static constexpr std::size_t MemberCount = 9;
static constexpr std::size_t LookupCount = 20000;

static base::region_name regionOf(std::size_t Index) {
  return base::region_name("region-" + std::to_string(Index));
}

static base::service_name serviceOf(std::size_t Target) {
  return base::service_name("service-" +
                            std::to_string(Target / TargetsPerService));
}

static void addRegions(config::document &Document) {
  for (std::size_t From = 0; From < RegionCount; ++From) {
    config::region Region{regionOf(From), 100000, {}};
    const std::size_t Domains = From < RegionsOfThreeDomains ? 3 : 2;
    for (std::size_t Index = 0; Index < Domains; ++Index)
      Region.Domains.emplace_back(Region.Name.str() + "-" +
                                  std::to_string(Index));
    Document.Regions.push_back(std::move(Region));
    for (std::size_t To = 0; To < RegionCount; ++To)
      if (To != From)
        Document.Links.push_back({regionOf(From), regionOf(To), 4'000'000'000,
                                  std::chrono::milliseconds(35)});
  }
}

static config::document makeDocument(std::size_t Targets) {
  config::document Document;
  Document.Version = 1;
  Document.SubmissionId = "submission-1";
  Document.SubmittedBy = base::operator_name("benchmark");
  Document.SubmittedAt = std::chrono::system_clock::now();
  addRegions(Document);
  for (std::size_t Index = 0; Index < Targets; ++Index) {
    if (Index % TargetsPerService == 0)
      Document.Services.push_back({serviceOf(Index)});
    const auto &Region = Document.Regions[Index % RegionCount];
    const base::endpoint Address{"10.0." + std::to_string(Index / 250) + "." +
                                     std::to_string(Index % 250 + 1),
                                 9001};
    Document.Targets.push_back(
        {base::target_id("target-" + std::to_string(Index)), serviceOf(Index),
         Region.Domains[Index % 2], Address, 4, 350});
  }
  return Document;
}

/// Median processor time of a call in microseconds.
template <typename Function>
static double medianMicroseconds(std::size_t Calls, const Function &Call) {
  std::array<double, Rounds> Times{};
  for (double &Time : Times) {
    const auto Start = cpuTime();
    for (std::size_t Index = 0; Index < Calls; ++Index)
      Call(Index);
    Time = (cpuTime() - Start).count() / static_cast<double>(Calls);
  }
  std::sort(Times.begin(), Times.end());
  return Times[Rounds / 2];
}

/// Members take turns over the first three regions, as in the deployments.
static std::vector<entries::member> makeMembers() {
  std::vector<entries::member> Members(MemberCount);
  for (std::size_t Index = 0; Index < MemberCount; ++Index) {
    entries::member &Member = Members[Index];
    Member.Name = base::entry_name("entry-" + std::to_string(Index));
    Member.Incarnation.Value = Index + 1;
    Member.Region = regionOf(Index % 3);
    Member.Domain = base::domain_name(Member.Region.str() + "-" +
                                      std::to_string(Index / 3 % 2));
    Member.CallerAddress = {"10.1.0." + std::to_string(Index + 1), 8080};
    Member.Ready = true;
    Member.Reachable = true;
  }
  return Members;
}

static callers::dependencies
makeDependencies(std::shared_ptr<const config::document> Document) {
  auto Members = makeMembers();
  entries::member Self = Members.back();
  Members.pop_back();
  callers::dependencies Functions;
  Functions.Document = [Document = std::move(Document)] { return Document; };
  Functions.Self = [Self] { return Self; };
  Functions.Members = [Members] { return Members; };
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

static void measureDocument(std::size_t Targets) {
  const config::document Document = makeDocument(Targets);
  const std::string Text = config::encode(Document);
  if (!config::validate(Document).empty())
    throw std::runtime_error("the document is not valid");
  constexpr std::size_t Calls = 5;
  std::size_t Checksum = 0;
  const double Decode = medianMicroseconds(Calls, [&](std::size_t) {
    Checksum += config::decode(Text).value().Targets.size();
  });
  const double Validate = medianMicroseconds(Calls, [&](std::size_t) {
    Checksum += config::validate(Document).size();
  });
  config::document_holder Holder;
  callers::caller_service Service({}, [&Holder] {
    auto Functions = makeDependencies(nullptr);
    Functions.Document = [&Holder] { return Holder.current(); };
    return Functions;
  }());
  std::uint64_t Version = 0;
  const double Install = medianMicroseconds(Calls, [&](std::size_t) {
    config::document Next = Document;
    Next.Version = ++Version;
    Checksum +=
        Holder.install(std::move(Next)) == config::install_result::Installed
            ? 1
            : 0;
    Service.refresh();
  });
  const double Refresh =
      medianMicroseconds(Calls, [&](std::size_t) { Service.refresh(); });
  const double Encode = medianMicroseconds(
      Calls, [&](std::size_t) { Checksum += config::encode(Document).size(); });
  std::printf("%8zu %9zu %10.0f %12.0f %11.0f %10.0f %11.0f   %zu\n", Targets,
              Text.size(), Decode, Validate, Install, Refresh, Encode,
              Checksum);
}

static void measureLookups(std::size_t Targets) {
  const auto Document =
      std::make_shared<const config::document>(makeDocument(Targets));
  callers::caller_service Service({}, makeDependencies(Document));
  Service.refresh();
  std::size_t Completed = 0;
  http::server_request Request;
  Request.Message.Method = "GET";
  Request.Path = "/v1/lookup";
  Request.Client = {"10.2.0.1", 40000};
  const double Time = medianMicroseconds(LookupCount, [&](std::size_t Index) {
    Request.Parameters["service"] = serviceOf(Index % Targets).str();
    Completed += Service.handle(Request).Status == 200 ? 1 : 0;
  });
  std::printf("%8zu %12.2f %12.0f %11zu of %zu\n", Targets, Time, 1e6 / Time,
              Completed, LookupCount * Rounds);
}

static void run() {
  std::printf(" targets     bytes  decode us  validate us  install us  "
              "refresh us   encode us  (medians of %zu; checksum)\n",
              Rounds);
  for (const std::size_t Targets : {12U, 120U, 500U, 1500U})
    measureDocument(Targets);
  std::printf(
      "\n targets    lookup us    lookups/s   completed (%zu members)\n",
      MemberCount);
  for (const std::size_t Targets : {12U, 120U, 500U, 1500U})
    measureLookups(Targets);
}

int main() {
  try {
    run();
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "benchmark failed: %s\n", Error.what());
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
