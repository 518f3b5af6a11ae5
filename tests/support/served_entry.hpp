#ifndef SKYLARKDYKE_TESTS_SUPPORT_SERVED_ENTRY_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_SERVED_ENTRY_HPP

#include "skylarkdyke/base/endpoint.hpp"
#include "support/process.hpp"

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>

namespace test_support {

/// \brief Limits of the machine in the settings of a process.
struct served_limits {
  unsigned MemoryMb = 160;
  unsigned MaxDescriptors = 1000;
};

/// \brief One process of `skylarkdyke serve` on a platform stand-in.
class served_entry {
public:
  /// \param Store address of the stand-in's store
  /// \param Grace time from a stop signal until the platform ends the process
  /// \param Seed mesh address of another entry; its own by default
  explicit served_entry(
      const skylarkdyke::base::endpoint &Store,
      std::chrono::seconds Grace = std::chrono::seconds(4),
      const std::optional<skylarkdyke::base::endpoint> &Seed = std::nullopt,
      const served_limits &Limits = {});
  ~served_entry();
  served_entry(const served_entry &) = delete;
  served_entry &operator=(const served_entry &) = delete;

  /// \brief Changes the name in the settings, for the next start.
  /// \param Name without characters that TOML escapes
  void rename(const std::string &Name);

  /// \brief Starts the process, again if it has ended, without waiting.
  void launch();

  /// \brief Starts the process, again if it has ended.
  /// \return whether it has become ready
  bool start();

  /// \brief Whether the process answers that it is ready.
  bool isReady() const;

  const skylarkdyke::base::endpoint &front() const { return Front; }
  const skylarkdyke::base::endpoint &readiness() const { return Readiness; }
  const skylarkdyke::base::endpoint &mesh() const { return Mesh; }

  /// \brief What the process has logged since its first start.
  std::string log() const;

  /// \brief Most memory that the running process has held, in bytes; 0 if that
  /// is unknown.
  std::size_t peakMemoryBytes() const;

  /// \brief Value of a metric of the process, 0 if it has none.
  /// \param Name name with its labels, as in the text format
  double metric(const std::string &Name) const;

  const std::filesystem::path &folder() const { return Folder; }
  process &program() { return *Process; }

private:
  skylarkdyke::base::endpoint Front;
  skylarkdyke::base::endpoint Readiness;
  skylarkdyke::base::endpoint Mesh;
  skylarkdyke::base::endpoint Metrics;
  std::filesystem::path Folder;
  std::optional<process> Process;
};

/// \brief Configuration of the stand-in with the routes /safe/ and /once/ of
/// the host h.example to the service orders.
/// \param Timeout timeout of both routes
/// \param MaxAttempts targets to which a request may be sent
std::string servedRoutes(int Version,
                         std::chrono::seconds Timeout = std::chrono::seconds(3),
                         int MaxAttempts = 2);

/// \brief Record of a ready target of the service orders.
std::string servedTarget(const skylarkdyke::base::endpoint &Address);

/// \brief Sends a request without a body for the host h.example on a connection
/// of its own.
/// \param Id request id; without one if empty
/// \param Limit deadline that the request states
/// \return all bytes of the response
std::string
askServed(const skylarkdyke::base::endpoint &Front, const std::string &Method,
          const std::string &Path, const std::string &Id,
          std::chrono::milliseconds Limit = std::chrono::seconds(2));

/// \brief Status of a response, or nothing if it has none.
std::string statusOf(const std::string &Response);

} // namespace test_support

#endif
