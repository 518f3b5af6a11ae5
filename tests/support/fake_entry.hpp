#ifndef SKYLARKDYKE_TESTS_SUPPORT_FAKE_ENTRY_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_FAKE_ENTRY_HPP

#include "skylarkdyke/callers/caller_service.hpp"
#include "skylarkdyke/emulators/target_emulator.hpp"
#include "skylarkdyke/http/server.hpp"
#include "support/wait_until.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace test_support {

using namespace skylarkdyke;

/// \brief Emulated targets of services in regions, and the document that names
/// them. Region R has one failure domain "R-a".
class fake_targets {
public:
  fake_targets();

  emulators::target_emulator &add(const std::string &Service,
                                  const std::string &Region,
                                  emulators::target_behaviour Behaviour);
  /// \brief Runs of all targets.
  std::size_t runs() const;

  std::shared_ptr<config::document> Document;
  std::vector<std::unique_ptr<emulators::target_emulator>> Targets;
};

/// \brief A caller service with hand-written dependencies and, after listen(),
/// a port.
class fake_entry {
public:
  fake_entry(const std::string &Name, const std::string &Region,
             std::shared_ptr<const config::document> Document);
  ~fake_entry();

  void listen();
  /// \brief Stops the port, so that other entries cannot reach this one.
  void unlisten();
  /// \brief Replaces the other members.
  void meet(std::vector<entries::member> Members);
  void replaceIncarnation();

  http::response call(const std::string &Method, const std::string &Path,
                      const std::string &Key = "", const std::string &Body = "",
                      http::header_map Headers = {}, int Socket = -1);
  /// \brief A key of this entry's incarnation that expires in 20 s.
  std::string key(const std::string &CallerPart,
                  base::incarnation_id Witness = {}) const;

  entries::member Self;
  std::atomic<bool> CapsLeft{true};
  std::optional<once::record_result> Intent = once::record_result::Recorded;
  std::optional<once::seal_result> Seal;
  std::atomic<unsigned> Seals{0};
  std::atomic<unsigned> CrashReports{0};
  std::vector<base::incarnation_id> SealedHere;
  std::vector<caps::demand> Taken;
  std::vector<caps::demand> GivenBack;
  std::unique_ptr<callers::caller_service> Service;

private:
  callers::dependencies dependencies();

  std::shared_ptr<const config::document> Document;
  mutable std::mutex Mutex;
  std::vector<entries::member> Others;
  std::unique_ptr<http::server> Server;
};

/// \brief Value of a response header, or "".
std::string header(const http::response &Response, const char *Name);
/// \brief Number of the problem in a response, or 0.
int problemCode(const http::response &Response);

} // namespace test_support

#endif
