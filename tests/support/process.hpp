#ifndef SKYLARKDYKE_TESTS_SUPPORT_PROCESS_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_PROCESS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace test_support {

/// \brief A child process of the product's binary. Killed, if still running,
/// when it goes out of scope.
class process {
public:
  /// \param Arguments arguments after the program's name
  /// \param LogFile file that takes standard output and error
  process(const std::vector<std::string> &Arguments,
          const std::string &LogFile);
  ~process();
  process(process &&Other) noexcept;
  process &operator=(process &&Other) noexcept;

  /// \brief Sends a signal; does nothing once the process has ended.
  void signal(int Signal) const;

  /// \brief Waits for the end of the process.
  /// \return the exit code, 128 + signal number if killed, or nothing at the
  /// timeout
  std::optional<int> waitFor(std::chrono::milliseconds Timeout);

  /// \brief SIGKILL, and waits.
  void kill();

  pid_t id() const { return Id; }
  bool running() const { return Id > 0; }

private:
  pid_t Id = -1;
};

} // namespace test_support

#endif
