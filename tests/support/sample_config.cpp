#include "support/sample_config.hpp"

namespace test_support {

using namespace skylarkdyke;

config::document sampleConfig() {
  config::document Document;
  Document.Version = 7;
  Document.SubmissionId = "s-7";
  Document.SubmittedBy = base::operator_name("ana");
  Document.RecentSubmissions = {"s-6", "s-7"};
  const base::service_name Service("stock-view");
  Document.Services.push_back({Service});
  std::uint16_t Port = 9001;
  for (const std::string Region : {"north", "south"}) {
    config::region &Added = Document.Regions.emplace_back();
    Added.Name = base::region_name(Region);
    Added.CapPerSecond = 1000;
    for (const std::string Suffix : {"-a", "-b"}) {
      const base::domain_name Domain(Region + Suffix);
      Added.Domains.push_back(Domain);
      Document.Targets.push_back({base::target_id("t-" + Domain.str()),
                                  Service,
                                  Domain,
                                  {"127.0.0.1", Port++},
                                  4,
                                  350});
    }
  }
  const std::chrono::microseconds RoundTrip(35000);
  const base::region_name North("north");
  const base::region_name South("south");
  Document.Links = {{North, South, 1000000, RoundTrip},
                    {South, North, 1000000, RoundTrip}};
  Document.ClientBlocks = {{"10.1.0.0/16", North}};
  return Document;
}

} // namespace test_support
