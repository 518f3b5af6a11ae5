#ifndef SKYLARKDYKE_CLI_COMMANDS_HPP
#define SKYLARKDYKE_CLI_COMMANDS_HPP

#include <string>
#include <vector>

namespace skylarkdyke::cli {

/// Exit codes of all commands.
inline constexpr int ExitDone = 0;
inline constexpr int ExitRefused = 1;
inline constexpr int ExitUsage = 2;
inline constexpr int ExitUnreachable = 3;

/// Positional arguments after the command's name.
using arguments = std::vector<std::string>;

/// \brief Runs an entry until SIGTERM or SIGINT.
int runEntry(const arguments &Arguments);
/// \brief Checks a settings file and prints all findings.
int checkSettings(const arguments &Arguments);
/// \brief Shows, checks or submits a configuration document.
int manageConfig(const arguments &Arguments);
/// \brief Runs the store emulator until SIGTERM or SIGINT.
int emulateStore(const arguments &Arguments);
/// \brief Runs emulated targets until SIGTERM or SIGINT.
int emulateTargets(const arguments &Arguments);
/// \brief Sends load to entries, prints a summary and compares the answers with
/// the journals of emulated targets.
int generateLoad(const arguments &Arguments);

/// \brief Writes settings, configuration and proxy plan of an emulated
/// deployment.
int makeDeploymentFiles(const arguments &Arguments);
/// \brief Runs the fault-injecting proxy until SIGTERM or SIGINT.
int runFaultProxy(const arguments &Arguments);

/// \brief Prints the status of a deployment as one entry sees it.
int printStatus(const arguments &Arguments);
/// \brief Formats the body of GET /admin/v1/status as tables.
/// \return an empty text if the body is not a status
std::string formatStatus(const std::string &Body);
/// \brief Reads a token from standard input and prints its SHA-256, for the
/// settings.
int printTokenHash(const arguments &Arguments);

/// \brief Blocks SIGTERM and SIGINT in the calling thread and those it starts
/// later, and ignores SIGPIPE.
void blockStopSignals();
/// \brief Waits for SIGTERM or SIGINT; blockStopSignals() must have been called
/// before.
void waitForStopSignal();

/// \brief Prints what the structured logs of one or more entries say of a
/// request, in time order.
/// \param Arguments the request's id, then log files; none: standard input
/// \return ExitRefused if no line names the request, ExitUnreachable if a file
/// cannot be read
int explainRequest(const arguments &Arguments);

} // namespace skylarkdyke::cli

#endif
