#include "skylarkdyke/cli/commands.hpp"
#include "skylarkdyke/emulators/load_generator.hpp"
#include "skylarkdyke/http/client.hpp"

#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <thread>

DECLARE_uint64(seed);
DEFINE_string(streams, "",
              "load: SERVICE[@CLIENT]:RATE,... requests per second of each "
              "service, with a client address of the region");
DEFINE_double(seconds, 10, "load: duration");
DEFINE_uint32(deadline_ms, 2000, "load: deadline of each request");
DEFINE_double(keyed_share, 0, "load: share of POSTs with a key, 0 to 1");
DEFINE_bool(repeat_unknown, false,
            "load: repeat a key whose outcome is unknown");
DEFINE_uint32(callers, 16, "load: threads of each stream");
DEFINE_string(source_address, "",
              "load: IP address that the callers connect from");
DEFINE_string(json, "", "load: file for the summary");
DEFINE_string(verify, "",
              "load: IP:PORT,... control ports of emulated targets, whose "
              "journals are compared with the answers");

namespace skylarkdyke::cli {

/// Time for runs that outlast their callers to end before the journals are
/// read.
static constexpr std::chrono::milliseconds JournalDelay{500};
static constexpr std::chrono::seconds JournalLimit{30};
static constexpr std::size_t MaxJournalBytes = std::size_t{1} << 30U;
/// Paths that are printed for each kind of finding.
static constexpr std::size_t PrintedPaths = 10;

static std::vector<std::string> splitCommas(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

/// Parses "SERVICE[@CLIENT]:RATE".
static std::optional<emulators::load_stream>
parseStream(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  emulators::load_stream Stream;
  const std::string Name = Text.substr(0, Colon);
  const std::size_t At = Name.find('@');
  Stream.Service = base::service_name(Name.substr(0, At));
  if (At != std::string::npos)
    Stream.Client = Name.substr(At + 1);
  Stream.RatePerSecond = std::strtod(Text.c_str() + Colon + 1, nullptr);
  if (Stream.Service.empty() || Stream.RatePerSecond <= 0)
    return std::nullopt;
  return Stream;
}

static std::optional<emulators::load_options>
optionsFromFlags(const arguments &Arguments) {
  emulators::load_options Options;
  for (const std::string &Argument : Arguments) {
    const auto Entry = base::parseEndpoint(Argument);
    if (!Entry) {
      std::cerr << Argument << ": is not an IPv4 address and port\n";
      return std::nullopt;
    }
    Options.Entries.push_back(*Entry);
  }
  for (const std::string &Text : splitCommas(FLAGS_streams)) {
    auto Stream = parseStream(Text);
    if (!Stream) {
      std::cerr << Text << ": is not SERVICE[@CLIENT]:RATE\n";
      return std::nullopt;
    }
    Options.Streams.push_back(std::move(*Stream));
  }
  if (Options.Entries.empty() || Options.Streams.empty()) {
    std::cerr << "usage: skylarkdyke load IP:PORT... "
                 "--streams=SERVICE[@CLIENT]:RATE,...\n";
    return std::nullopt;
  }
  Options.Duration = std::chrono::milliseconds(
      static_cast<std::int64_t>(FLAGS_seconds * 1000));
  Options.Deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
  Options.KeyedShare = FLAGS_keyed_share;
  Options.RepeatsUnknown = FLAGS_repeat_unknown;
  Options.Callers = FLAGS_callers;
  Options.Seed = FLAGS_seed;
  return Options;
}

/// Reads the journals of all control ports, or nothing if one cannot be
/// reached.
static std::optional<std::vector<std::string>> readJournals() {
  std::vector<std::string> Journals;
  for (const std::string &Text : splitCommas(FLAGS_verify)) {
    const auto Control = base::parseEndpoint(Text);
    http::request Request;
    Request.Target = "/journal";
    if (!Control) {
      std::cerr << Text << ": is not an IPv4 address and port\n";
      return std::nullopt;
    }
    const auto Answer =
        http::fetch(*Control, Request,
                    {base::boot_clock::now() + JournalLimit, MaxJournalBytes});
    if (!Answer || Answer.value().Status != 200) {
      std::cerr << Text << ": no journal\n";
      return std::nullopt;
    }
    Journals.push_back(Answer.value().Body);
  }
  return Journals;
}

static void print(const char *Kind, const std::vector<std::string> &Paths) {
  std::cout << Kind << ": " << Paths.size() << "\n";
  for (std::size_t Index = 0; Index < Paths.size() && Index < PrintedPaths;
       ++Index)
    std::cout << "  " << Paths[Index] << "\n";
}

static int verify(const emulators::load_result &Result) {
  std::this_thread::sleep_for(JournalDelay);
  const auto Journals = readJournals();
  if (!Journals)
    return ExitUnreachable;
  const auto Findings = emulators::verifyLoad(Result, *Journals);
  if (!Findings) {
    std::cerr << "a journal cannot be read\n";
    return ExitRefused;
  }
  print("lost", Findings->Lost);
  print("doubled", Findings->Doubled);
  print("wrong", Findings->Wrong);
  print("told not-run though run", Findings->FalseNotRun);
  return Findings->empty() ? ExitDone : ExitRefused;
}

int generateLoad(const arguments &Arguments) {
  const auto Options = optionsFromFlags(Arguments);
  if (!Options)
    return ExitUsage;
  std::signal(SIGPIPE, SIG_IGN);
  http::setSourceAddress(FLAGS_source_address);
  const emulators::load_result Result = emulators::runLoad(*Options);
  const std::string Summary = emulators::summarize(Result);
  std::cout << Summary << "\n";
  if (!FLAGS_json.empty() && !(std::ofstream(FLAGS_json) << Summary << "\n")) {
    std::cerr << FLAGS_json << ": cannot be written\n";
    return ExitRefused;
  }
  return FLAGS_verify.empty() ? ExitDone : verify(Result);
}

} // namespace skylarkdyke::cli
