#ifndef SKYLARKDYKE_ADMISSION_ACTIVE_PRIORITIES_HPP
#define SKYLARKDYKE_ADMISSION_ACTIVE_PRIORITIES_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <map>
#include <unordered_map>

namespace skylarkdyke::admission {

/// \brief The priorities of the requests that each service has got lately.
///
/// Reads no clock: the time is passed as an argument. Not thread-safe.
class active_priorities {
public:
  /// Time for which a priority counts after its latest request.
  static constexpr std::chrono::seconds Retention{5};
  /// Maximum number of priorities that are kept for a service, the highest
  /// ones.
  static constexpr std::size_t MaxPriorities = 16;

  /// \brief Records a request.
  /// \param Priority 0 is the highest
  void record(const base::service_name &Service, unsigned Priority,
              base::boot_time Now);

  /// \return whether the service has lately got requests of a higher priority
  bool hasHigher(const base::service_name &Service, unsigned Priority,
                 base::boot_time Now) const;

private:
  std::unordered_map<base::service_name, std::map<unsigned, base::boot_time>>
      LatestRequest;
};

} // namespace skylarkdyke::admission

#endif
