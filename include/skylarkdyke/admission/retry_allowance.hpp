#ifndef SKYLARKDYKE_ADMISSION_RETRY_ALLOWANCE_HPP
#define SKYLARKDYKE_ADMISSION_RETRY_ALLOWANCE_HPP

#include "skylarkdyke/admission/sliding_window_counter.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <unordered_map>

namespace skylarkdyke::admission {

/// \brief Bound on second sends, which applies to all entries together.
///
/// A second send is a further send of a request, to another target.
struct retry_bound {
  /// Second sends per request.
  double Ratio = 0.1;
  /// Second sends per window that are allowed in addition, regardless of the
  /// load.
  double Slack = 0;
  std::chrono::milliseconds Window{10000};
};

/// \brief Limits how often requests of a service are sent to a second target.
///
/// Retries must not multiply the load on failing targets. Each entry may use
/// the ratio of its own requests and an equal share of the slack, so that all
/// entries together stay within the bound without coordination.
///
/// Not thread-safe.
class retry_allowance {
public:
  explicit retry_allowance(const retry_bound &Bound) : Bound(Bound) {}

  /// \brief Counts the first send of a request.
  void countRequest(const base::service_name &Service, base::boot_time Now) {
    usageOf(Service).Requests.add(Now);
  }

  /// \brief Consumes one second send from the allowance, if any is left.
  /// \param Entries number of entries that share the slack
  /// \return false if the allowance is exhausted and the request must not be
  /// sent again
  bool tryRetry(const base::service_name &Service, unsigned Entries,
                base::boot_time Now) {
    usage &Usage = usageOf(Service);
    const double Allowed =
        UsableFraction *
        (Bound.Ratio * static_cast<double>(Usage.Requests.count(Now)) +
         Bound.Slack / (Entries == 0 ? 1 : Entries));
    if (static_cast<double>(Usage.Retries.count(Now)) + 1 > Allowed)
      return false;
    Usage.Retries.add(Now);
    return true;
  }

private:
  /// Fraction of the bound that is used. The remainder is a margin for entries
  /// that the others do not count yet: until they do, the shares of the slack
  /// add up to more than the slack.
  static constexpr double UsableFraction = 0.8;
  struct usage {
    sliding_window_counter Requests;
    sliding_window_counter Retries;
  };

  usage &usageOf(const base::service_name &Service) {
    const auto Found = UsageByService.find(Service);
    if (Found != UsageByService.end())
      return Found->second;
    return UsageByService
        .emplace(Service, usage{sliding_window_counter(Bound.Window),
                                sliding_window_counter(Bound.Window)})
        .first->second;
  }

  retry_bound Bound;
  std::unordered_map<base::service_name, usage> UsageByService;
};

} // namespace skylarkdyke::admission

#endif
