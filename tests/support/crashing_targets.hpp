#ifndef SKYLARKDYKE_TESTS_SUPPORT_CRASHING_TARGETS_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_CRASHING_TARGETS_HPP

#include "skylarkdyke/base/clock.hpp"
#include "support/platform_stand_in.hpp"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace test_support {

/// \brief Targets of the service orders, each of which ends when a request for
/// one of certain paths begins to run: it resets the connection, refuses
/// further ones, and its record is removed. Another target starts in its place.
class crashing_targets {
public:
  /// \param CrashPaths paths that contain this text end a target
  explicit crashing_targets(platform_stand_in &Platform, std::size_t Count,
                            std::string CrashPaths);
  ~crashing_targets();
  crashing_targets(const crashing_targets &) = delete;
  crashing_targets &operator=(const crashing_targets &) = delete;

  /// \brief Times at which requests that end targets have arrived, in order.
  std::vector<skylarkdyke::base::boot_time> crashes() const;

  /// \brief Number of requests that arrived later than a time after the third
  /// target had ended.
  std::size_t sendsAfterThirdCrash(std::chrono::milliseconds Later) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace test_support

#endif
