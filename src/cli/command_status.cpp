#include "skylarkdyke/base/base64.hpp"
#include "skylarkdyke/cli/commands.hpp"
#include "skylarkdyke/http/client.hpp"
#include "skylarkdyke/operators/token.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

DEFINE_string(admin, "", "status: IP:PORT of an entry's administration port");
DECLARE_string(operator);

namespace skylarkdyke::cli {

using nlohmann::json;

static constexpr auto StatusTimeout = std::chrono::seconds(5);
static constexpr std::size_t MaxStatusBytes = std::size_t{16} * 1024 * 1024;

/// Text without control characters, which could command the terminal.
static std::string printable(std::string Text) {
  for (char &Character : Text)
    if (static_cast<unsigned char>(Character) < 0x20 || Character == 0x7f)
      Character = '?';
  return Text;
}

static std::string textOf(const json &Item, const char *Key) {
  return printable(Item.at(Key).get<std::string>());
}

static std::string percentOf(const json &Part) {
  return std::to_string(std::lround(Part.get<double>() * 100)) + "%";
}

static std::string wholeOf(const json &Number) {
  return std::to_string(std::llround(Number.get<double>()));
}

namespace {

/// Text table whose columns are as wide as their widest cell.
class text_table {
public:
  explicit text_table(std::vector<std::string> Titles) {
    add(std::move(Titles));
  }

  void add(std::vector<std::string> Row) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
    Rows.push_back(std::move(Row));
  }

  std::string str() const {
    std::ostringstream Text;
    for (const auto &Row : Rows) {
      for (std::size_t I = 0; I + 1 < Row.size(); ++I)
        Text << std::left << std::setw(static_cast<int>(Widths[I]) + 2)
             << Row[I];
      Text << Row.back() << "\n";
    }
    return Text.str() + "\n";
  }

private:
  std::vector<std::vector<std::string>> Rows;
  std::vector<std::size_t> Widths;
};

} // namespace

static std::string stateOf(const json &Entry) {
  if (Entry.at("leaving").get<bool>())
    return "leaving";
  if (!Entry.at("reachable").get<bool>())
    return "not reachable";
  return Entry.at("ready").get<bool>() ? "ready" : "not ready";
}

static std::string formatParsed(const json &Status) {
  std::ostringstream Text;
  Text << "version " << Status.at("version") << " at " << textOf(Status, "at")
       << "\n\n";
  for (const json &Alarm : Status.at("alarms"))
    Text << "ALARM " << textOf(Alarm, "name") << ": " << textOf(Alarm, "what")
         << "\n  " << textOf(Alarm, "action") << "\n\n";
  text_table Entries({"ENTRY", "REGION", "DOMAIN", "STATE", "VERSION"});
  for (const json &Entry : Status.at("entries"))
    Entries.add({textOf(Entry, "name"), textOf(Entry, "region"),
                 textOf(Entry, "domain"), stateOf(Entry),
                 wholeOf(Entry.at("version"))});
  text_table Headroom({"CAP", "USED", "OF", "REMAINING", "UNIT"});
  for (const json &Cap : Status.at("headroom"))
    Headroom.add({textOf(Cap, "name"), wholeOf(Cap.at("used")),
                  wholeOf(Cap.at("cap")), wholeOf(Cap.at("remaining")),
                  textOf(Cap, "unit")});
  text_table Drains(
      {"DRAIN", "ACTION", "PROGRESS", "WEIGHT", "REQUESTS", "AGE"});
  for (const json &Drain : Status.at("drains"))
    Drains.add({textOf(Drain, "scope") + " " + textOf(Drain, "name"),
                textOf(Drain, "action"), percentOf(Drain.at("progress")),
                percentOf(Drain.at("weight")),
                wholeOf(Drain.at("remaining_requests")),
                wholeOf(Drain.at("age_seconds")) + " s"});
  return Text.str() + Entries.str() + Headroom.str() + Drains.str();
}

std::string formatStatus(const std::string &Body) {
  const json Status = json::parse(Body, nullptr, false);
  try {
    return formatParsed(Status);
  } catch (const json::exception &) {
    return {};
  }
}

static http::request statusRequest(const std::string &Token) {
  http::request Request;
  Request.Target = "/admin/v1/status";
  Request.Headers["Authorization"] =
      "Basic " + base::encodeBase64(FLAGS_operator + ":" + Token);
  return Request;
}

int printStatus(const arguments &Arguments) {
  const auto Admin = base::parseEndpoint(FLAGS_admin);
  const char *Token = std::getenv("SKYLARKDYKE_TOKEN");
  if (!Arguments.empty() || !Admin || FLAGS_operator.empty() ||
      Token == nullptr) {
    std::cerr << "usage: SKYLARKDYKE_TOKEN=TOKEN skylarkdyke status "
                 "--admin=IP:PORT --operator=NAME\n";
    return ExitUsage;
  }
  const auto Response =
      http::fetch(*Admin, statusRequest(Token),
                  {base::boot_clock::now() + StatusTimeout, MaxStatusBytes});
  if (!Response) {
    std::cerr << FLAGS_admin << ": " << http::toString(Response.error().Fault)
              << "\n";
    return ExitUnreachable;
  }
  const std::string Table =
      Response.value().Status == 200 ? formatStatus(Response.value().Body) : "";
  if (Table.empty()) {
    std::cerr << FLAGS_admin << " answered with status "
              << Response.value().Status << ": "
              << printable(Response.value().Body.substr(0, 1000)) << "\n";
    return ExitRefused;
  }
  std::cout << Table;
  return ExitDone;
}

int printTokenHash(const arguments &Arguments) {
  std::string Token;
  if (!Arguments.empty() || !std::getline(std::cin, Token) || Token.empty()) {
    std::cerr << "usage: skylarkdyke token-hash < FILE_WITH_TOKEN\n";
    return ExitUsage;
  }
  std::cout << operators::hashToken(Token) << "\n";
  return ExitDone;
}

} // namespace skylarkdyke::cli
