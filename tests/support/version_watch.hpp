#ifndef SKYLARKDYKE_TESTS_SUPPORT_VERSION_WATCH_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_VERSION_WATCH_HPP

#include "support/cluster.hpp"
#include "support/trace.hpp"

#include <atomic>
#include <set>
#include <thread>

namespace test_support {

/// \brief Writes a version and the number of the submission into a document
/// such that an entry's metrics show them: as caps of two links, far above what
/// the load needs.
void mark(skylarkdyke::config::document &Document, std::uint64_t Version,
          std::uint64_t Submission);

/// \brief What mark() wrote into the document in force at an entry.
struct seen_version {
  std::uint64_t Version = 0;
  std::uint64_t Submission = 0;
};

/// \brief Reads the metrics of an entry.
/// \return nothing if the entry does not answer or has no document
std::optional<seen_version> readVersion(const cluster &Cluster,
                                        std::size_t Entry);

/// \brief Reads the version in force at all entries again and again until
/// stop(), and reports each that went down.
class version_watch {
public:
  explicit version_watch(const cluster &Cluster);
  ~version_watch();
  version_watch(const version_watch &) = delete;
  version_watch &operator=(const version_watch &) = delete;

  /// \brief To be called before an entry's process ends and after another was
  /// started, so that no observation mixes the two.
  void processChanges(std::size_t Entry);

  void stop();

  /// \brief Versions that went down. A process must not go back, and neither
  /// must an entry that says it is ready, also after a restart.
  std::vector<timed_line> violations() const;
  /// \brief Submissions seen in force, by version.
  std::map<std::uint64_t, std::map<std::uint64_t, skylarkdyke::base::wall_time>>
  seen() const;

private:
  void watch(std::size_t Entry);

  const cluster &Cluster;
  std::vector<std::atomic<unsigned>> Processes;
  std::atomic<bool> Stopping{false};
  mutable std::mutex Mutex;
  std::vector<timed_line> Violations;
  std::map<std::uint64_t, std::map<std::uint64_t, skylarkdyke::base::wall_time>>
      Seen;
  std::vector<std::thread> Threads;
};

} // namespace test_support

#endif
