#include "gateway/detail/crash_update.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace skylarkdyke::gateway::detail {

using nlohmann::json;
using std::chrono::milliseconds;

encoded_crash toEncoded(const poison::target_crash &Crash,
                        base::boot_time Now) {
  return {Crash, std::chrono::duration_cast<milliseconds>(Now - Crash.At)};
}

encoded_block toEncoded(const poison::blocked_request &Request,
                        base::boot_time Now) {
  return {Request,
          std::chrono::duration_cast<milliseconds>(Request.BlockedUntil - Now)};
}

json toJson(const crash_update &Update) {
  json Crashes = json::array();
  for (const auto &[Crash, Age] : Update.Crashes)
    Crashes.push_back({Crash.Id, Crash.Fingerprint, Crash.Service.str(),
                       Crash.Target.str(), Crash.Summary, Age.count()});
  json Blocks = json::array();
  for (const auto &[Request, EndsIn] : Update.Blocks)
    Blocks.push_back({Request.Fingerprint, Request.Service.str(),
                      Request.Summary, Request.Crashes, EndsIn.count()});
  return {std::move(Crashes), std::move(Blocks), Update.Cleared};
}

/// Reads a time of at most the length of a block.
static milliseconds timeFromJson(const json &Count) {
  return std::clamp<milliseconds>(milliseconds(Count.get<std::int64_t>()),
                                  milliseconds(0), poison::BlockDuration);
}

static encoded_crash crashFromJson(const json &Row) {
  encoded_crash Encoded;
  Encoded.Crash.Id = Row.at(0);
  Encoded.Crash.Fingerprint = Row.at(1);
  Encoded.Crash.Service = base::service_name(Row.at(2).get<std::string>());
  Encoded.Crash.Target = base::target_id(Row.at(3).get<std::string>());
  Encoded.Crash.Summary = Row.at(4);
  Encoded.Age = timeFromJson(Row.at(5));
  return Encoded;
}

static encoded_block blockFromJson(const json &Row) {
  encoded_block Encoded;
  Encoded.Request.Fingerprint = Row.at(0);
  Encoded.Request.Service = base::service_name(Row.at(1).get<std::string>());
  Encoded.Request.Summary = Row.at(2);
  Encoded.Request.Crashes = Row.at(3);
  Encoded.EndsIn = timeFromJson(Row.at(4));
  return Encoded;
}

crash_update crashUpdateFromJson(const json &Fields) {
  crash_update Update;
  for (const json &Row : Fields.at(0))
    Update.Crashes.push_back(crashFromJson(Row));
  for (const json &Row : Fields.at(1))
    Update.Blocks.push_back(blockFromJson(Row));
  Update.Cleared = Fields.at(2).get<std::vector<std::uint64_t>>();
  return Update;
}

} // namespace skylarkdyke::gateway::detail
