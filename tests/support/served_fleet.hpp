#ifndef SKYLARKDYKE_TESTS_SUPPORT_SERVED_FLEET_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_SERVED_FLEET_HPP

#include "support/served_entry.hpp"

#include <cstddef>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace test_support {

/// \brief Processes of `skylarkdyke serve` in one region. The first one is the
/// seed of the others.
class served_fleet {
public:
  /// \param Store address of the stand-in's store
  served_fleet(const skylarkdyke::base::endpoint &Store, std::size_t Size);

  /// \brief Starts all processes at the same time.
  /// \return whether all have become ready and count each other as live
  bool start();

  /// \brief Kills entries other than the seed with SIGKILL, and starts them
  /// again without waiting until they are ready.
  /// \return the indexes of these entries
  std::set<std::size_t> restartSome(std::size_t Count, std::mt19937_64 &Random);

  std::vector<skylarkdyke::base::endpoint> fronts() const;

  /// \brief Sum of the most memory that each running process has held.
  std::size_t peakMemoryBytes() const;

private:
  std::vector<std::unique_ptr<served_entry>> Entries;
};

} // namespace test_support

#endif
