#ifndef SKYLARKDYKE_TESTS_SUPPORT_CLUSTER_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_CLUSTER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/emulators/deployment.hpp"
#include "skylarkdyke/http/client.hpp"
#include "support/process.hpp"
#include "support/wait_until.hpp"

#include <filesystem>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace test_support {

/// \brief One run of a request as a target recorded it.
struct run {
  std::string Target;
  std::string Service;
  std::string Key;
  std::string Path;
  skylarkdyke::base::wall_time Start;
  bool Finished = false;
};

/// \brief What a caller was told.
struct answer {
  /// 0 if there was no whole answer.
  int Status = 0;
  /// Value of Request-Outcome; "none" without an answer.
  std::string Outcome = "none";
  std::string Body;
  skylarkdyke::http::header_map Headers;
};

/// \brief All processes of an emulated deployment, with helpers to ask, disturb
/// and observe them from outside. Everything is stopped by process id when it
/// goes out of scope.
class cluster {
public:
  /// \param Name rozpalka or mallas
  /// \param Entries number of entries
  explicit cluster(const std::string &Name, unsigned Entries = 9);
  ~cluster();
  cluster(const cluster &) = delete;
  cluster &operator=(const cluster &) = delete;

  /// \brief Starts store, targets, fault proxy and all entries with the
  /// document of Plan, and waits until each entry is ready. \return true if all
  /// became ready in time
  bool start();

  void startStore();
  void startTargets(const std::string &Service);
  void startEntry(std::size_t Index);
  void killEntry(std::size_t Index);
  /// \brief SIGSTOP and SIGCONT.
  void freezeEntry(std::size_t Index);
  void resumeEntry(std::size_t Index);
  /// \brief SIGTERM; waits for the end.
  std::optional<int> stopEntry(std::size_t Index,
                               std::chrono::milliseconds Timeout);

  /// \brief Makes one exchange with any address.
  answer ask(const skylarkdyke::base::endpoint &Peer,
             const skylarkdyke::http::request &Request,
             std::chrono::milliseconds Timeout = std::chrono::seconds(5)) const;
  /// \brief GET /s/<service><path> at an entry.
  answer get(std::size_t Entry, const std::string &Service,
             const std::string &Path) const;
  /// \brief POST /s/<service><path> at an entry with an idempotency key.
  answer
  post(std::size_t Entry, const std::string &Service, const std::string &Path,
       const std::string &Key,
       std::chrono::milliseconds Timeout = std::chrono::seconds(5)) const;
  /// \brief Key prefix that an entry's lookup hands out for itself; empty if
  /// there is none.
  std::string keyPrefix(std::size_t Entry, const std::string &Service) const;
  bool isReady(std::size_t Entry) const;
  /// \brief Largest resident memory of an entry since its start, in bytes; 0 if
  /// it does not run.
  std::size_t peakMemory(std::size_t Entry) const;

  /// \brief Writes a document over the store's API, as an operator's accepted
  /// form would.
  bool submit(const skylarkdyke::config::document &Document) const;

  /// \brief Sets the faults of the proxy; see emulators::parseFaults.
  void setFaults(const nlohmann::json &Faults) const;
  /// \brief Sets the faults of the store emulator.
  void setStoreFaults(const nlohmann::json &Faults) const;
  /// \brief Changes the behaviour of a service's targets.
  void setBehaviour(const std::string &Service,
                    const nlohmann::json &Behaviour) const;
  /// \brief Closes all connections of one target and refuses new ones for some
  /// time.
  void crashTarget(const skylarkdyke::emulators::target_plan &Target,
                   std::chrono::milliseconds DownTime) const;
  /// \brief All runs that the targets of all services recorded.
  std::vector<run> journal() const;
  /// \brief Number of runs for each idempotency key.
  std::map<std::string, unsigned> runsByKey() const;

  /// \brief Where settings and logs are kept while the cluster exists, and
  /// longer if SKYLARKDYKE_KEEP_LOGS is set.
  const std::filesystem::path &directory() const { return Directory; }

  skylarkdyke::emulators::deployment Plan;

private:
  std::filesystem::path Directory;
  std::map<std::string, process> Processes;
};

} // namespace test_support

#endif
