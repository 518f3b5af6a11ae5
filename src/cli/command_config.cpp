#include "skylarkdyke/base/text_file.hpp"
#include "skylarkdyke/cli/commands.hpp"
#include "skylarkdyke/config/codec.hpp"
#include "skylarkdyke/config/validate.hpp"
#include "skylarkdyke/store/config_store.hpp"

#include <gflags/gflags.h>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>

DEFINE_string(store, "", "config: address of the store");
DEFINE_string(operator, "", "config submit and status: name of the operator");
DEFINE_uint64(expect, std::numeric_limits<std::uint64_t>::max(),
              "config submit: version that was edited, 0 for the first one");
DEFINE_uint32(timeout_ms, 5000, "config: time to wait for the store");

namespace skylarkdyke::cli {

namespace {

/// Prints the result of a submission and gives its exit code.
struct submit_printer {
  int operator()(const store::accepted &Result) const {
    std::cout << "accepted as version " << Result.Version << "\n";
    return ExitDone;
  }

  int operator()(const store::refused_document &Result) const {
    std::cerr << base::toString(Result.Findings);
    return ExitRefused;
  }

  int operator()(const store::conflict &Result) const {
    if (Result.Version == 0) {
      std::cerr << "another submission came first; the store cannot be read\n";
      return ExitRefused;
    }
    std::cerr << "version " << Result.Version << " by "
              << Result.SubmittedBy.str() << " is in force; "
              << (Result.IsBaseKnown ? "changed since:"
                                     : "it differs from the file in:")
              << "\n";
    for (const config::field_change &Change : Result.Changes)
      std::cerr << "  " << config::toString(Change) << "\n";
    return ExitRefused;
  }

  int operator()(const store::unknown_submission &Result) const {
    std::cerr << "unknown whether submission " << Result.SubmissionId
              << " takes effect: " << Result.Reason
              << "; read the configuration before another attempt\n";
    return ExitUnreachable;
  }

  int operator()(const store::unavailable &Result) const {
    std::cerr << "the store is not available, nothing was changed: "
              << Result.Reason << "\n";
    return ExitUnreachable;
  }
};

} // namespace

/// Reads and checks a document; prints all findings.
static std::optional<config::document> loadFile(const std::string &FileName) {
  const auto Text = base::readTextFile(FileName);
  if (!Text) {
    std::cerr << base::toString(Text.error());
    return std::nullopt;
  }
  auto Document = config::decode(Text.value());
  const base::findings Findings =
      Document ? config::validate(Document.value()) : Document.error();
  if (Findings.empty())
    return std::move(Document).value();
  std::cerr << base::toString(Findings);
  return std::nullopt;
}

static base::boot_time deadline() {
  return base::boot_clock::now() + std::chrono::milliseconds(FLAGS_timeout_ms);
}

static int show(const base::endpoint &Address) {
  store::client Store(Address);
  const store::load_result Result = store::config_store(Store).load(deadline());
  if (const auto *Document = std::get_if<config::document>(&Result)) {
    std::cout << nlohmann::json::parse(config::encode(*Document)).dump(2)
              << "\n";
    return ExitDone;
  }
  if (const auto *Failure = std::get_if<store::unavailable>(&Result)) {
    std::cerr << "the store is not available: " << Failure->Reason << "\n";
    return ExitUnreachable;
  }
  if (const auto *Invalid = std::get_if<store::invalid_document>(&Result))
    std::cerr << "the document in the store is not valid:\n"
              << base::toString(Invalid->Findings);
  else
    std::cerr << "the store holds no configuration\n";
  return ExitRefused;
}

static int submit(const std::string &FileName, const base::endpoint &Address) {
  const auto Document = loadFile(FileName);
  if (!Document)
    return ExitRefused;
  store::client Store(Address);
  return std::visit(submit_printer(),
                    store::config_store(Store).submit(
                        *Document, FLAGS_expect,
                        base::operator_name(FLAGS_operator), deadline()));
}

static int printUsage() {
  std::cerr << "usage: skylarkdyke config show --store=IP:PORT\n"
               "       skylarkdyke config check FILE\n"
               "       skylarkdyke config submit FILE --store=IP:PORT "
               "--operator=NAME --expect=VERSION\n";
  return ExitUsage;
}

int manageConfig(const arguments &Arguments) {
  const std::string Action = Arguments.empty() ? "" : Arguments[0];
  const auto Store = base::parseEndpoint(FLAGS_store);
  if (Action == "check" && Arguments.size() == 2)
    return loadFile(Arguments[1]) ? ExitDone : ExitRefused;
  if (Action == "show" && Arguments.size() == 1 && Store)
    return show(*Store);
  const bool HasExpected =
      FLAGS_expect != std::numeric_limits<std::uint64_t>::max();
  if (Action == "submit" && Arguments.size() == 2 && Store && HasExpected &&
      !FLAGS_operator.empty())
    return submit(Arguments[1], *Store);
  return printUsage();
}

} // namespace skylarkdyke::cli
