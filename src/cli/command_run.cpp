#include "skylarkdyke/base/text_file.hpp"
#include "skylarkdyke/cli/commands.hpp"
#include "skylarkdyke/entry/entry.hpp"
#include "skylarkdyke/http/client.hpp"
#include "skylarkdyke/settings/settings.hpp"

#include <iostream>

namespace skylarkdyke::cli {

/// Reads and checks a settings file; prints all findings.
static std::optional<settings::entry_settings>
loadSettings(const std::string &FileName) {
  const auto Text = base::readTextFile(FileName);
  if (!Text) {
    std::cerr << base::toString(Text.error());
    return std::nullopt;
  }
  auto Settings = settings::parseEntrySettings(Text.value(), FileName);
  if (!Settings) {
    std::cerr << base::toString(Settings.error());
    return std::nullopt;
  }
  return Settings.value();
}

int checkSettings(const arguments &Arguments) {
  if (Arguments.size() != 1) {
    std::cerr << "usage: skylarkdyke check SETTINGS.toml\n";
    return ExitUsage;
  }
  return loadSettings(Arguments[0]) ? ExitDone : ExitRefused;
}

int runEntry(const arguments &Arguments) {
  if (Arguments.size() != 1) {
    std::cerr << "usage: skylarkdyke run SETTINGS.toml\n";
    return ExitUsage;
  }
  const auto Settings = loadSettings(Arguments[0]);
  if (!Settings)
    return ExitRefused;
  blockStopSignals();
  http::setSourceAddress(Settings->CallerListen.Address);
  entry::entry Entry(*Settings);
  if (!Entry.start()) {
    std::cerr << "cannot listen on " << base::toString(Settings->CallerAddress)
              << "\n";
    return ExitRefused;
  }
  waitForStopSignal();
  Entry.stop();
  return ExitDone;
}

} // namespace skylarkdyke::cli
