#ifndef SKYLARKDYKE_ADMISSION_RETRY_ALLOWANCE_HPP
#define SKYLARKDYKE_ADMISSION_RETRY_ALLOWANCE_HPP

#include "skylarkdyke/admission/sliding_count.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <unordered_map>

namespace skylarkdyke::admission {

/// \brief The bound on second sends that all entries keep together.
struct retry_bound {
  /// Second sends per request.
  double Ratio = 0.1;
  /// Second sends per window that are allowed whatever the load.
  double Slack = 0;
  std::chrono::milliseconds Window{10000};
};

/// \brief Limits how often requests of a service are sent to a second target.
///
/// Each entry spends its ratio of its own requests and an equal part of the
/// slack, so that the sum over all entries keeps the bound without messages.
/// Answers the load of failing targets: retries must not multiply it.
class retry_allowance {
public:
  explicit retry_allowance(const retry_bound &Bound) : Bound(Bound) {}

  /// \brief Counts a request's first send.
  void countRequest(const base::service_name &Service, base::boot_time Now) {
    of(Service).Requests.add(Now);
  }

  /// \brief Takes one second send.
  /// \param Entries number of entries that share the slack
  /// \return false if the request must not be sent again
  bool tryRetry(const base::service_name &Service, unsigned Entries,
                base::boot_time Now) {
    usage &Usage = of(Service);
    const double Allowed =
        UsedShare *
        (Bound.Ratio * static_cast<double>(Usage.Requests.count(Now)) +
         Bound.Slack / (Entries == 0 ? 1 : Entries));
    if (static_cast<double>(Usage.Retries.count(Now)) + 1 > Allowed)
      return false;
    Usage.Retries.add(Now);
    return true;
  }

private:
  /// The rest covers entries that are counted late.
  static constexpr double UsedShare = 0.8;
  struct usage {
    sliding_count Requests;
    sliding_count Retries;
  };

  usage &of(const base::service_name &Service) {
    const auto Found = Usages.find(Service);
    if (Found != Usages.end())
      return Found->second;
    return Usages
        .emplace(Service, usage{sliding_count(Bound.Window),
                                sliding_count(Bound.Window)})
        .first->second;
  }

  retry_bound Bound;
  std::unordered_map<base::service_name, usage> Usages;
};

} // namespace skylarkdyke::admission

#endif
