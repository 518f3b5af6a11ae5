#include "skylarkdyke/emulators/target_group.hpp"

#include "skylarkdyke/http/server.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace skylarkdyke::emulators {

using nlohmann::json;

struct target_group::impl {
  http::response handle(const http::server_request &Request);
  json journals() const;
  json behaviours() const;
  http::response changeBehaviour(const json &Change);
  http::response crash(const json &Order);

  std::optional<base::endpoint> Control;
  std::vector<std::unique_ptr<target_emulator>> Targets;
  std::unique_ptr<http::server> Server;
};

static std::int64_t microseconds(base::wall_time Time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Time.time_since_epoch())
      .count();
}

static json toJson(const run_record &Run) {
  return {{"key", Run.Key},
          {"request_id", Run.RequestId},
          {"service", Run.Service},
          {"method", Run.Method},
          {"path", Run.Path},
          {"start_us", microseconds(Run.Start)},
          {"end_us", microseconds(Run.End)},
          {"finished", Run.Finished}};
}

static json toJson(const target_behaviour &Behaviour) {
  return {{"service", Behaviour.Service},
          {"slots", Behaviour.Slots},
          {"queue", Behaviour.Queue},
          {"work_us", Behaviour.WorkTime.count()},
          {"exponential", Behaviour.Exponential},
          {"seed", Behaviour.Seed},
          {"cold_runs", Behaviour.ColdRuns},
          {"cold_factor", Behaviour.ColdFactor},
          {"draining", Behaviour.Draining},
          {"reports_idle", Behaviour.ReportsIdle},
          {"error_share", Behaviour.ErrorShare},
          {"late_us", Behaviour.LateBy.count()},
          {"truncates_answers", Behaviour.TruncatesAnswers},
          {"closes_without_answer", Behaviour.ClosesWithoutAnswer},
          {"answers_wrong_id", Behaviour.AnswersWrongId},
          {"flood", toString(Behaviour.Flood)},
          {"floods_health", Behaviour.FloodsHealth},
          {"flood_pause_us", Behaviour.FloodPause.count()},
          {"crash_ms", Behaviour.CrashTime.count()}};
}

/// Reads a complete object as toJson() makes it; throws on a wrong type.
static target_behaviour toBehaviour(const json &Text) {
  target_behaviour Behaviour;
  Behaviour.Service = Text.at("service").get<std::string>();
  Behaviour.Slots = Text.at("slots").get<unsigned>();
  Behaviour.Queue = Text.at("queue").get<unsigned>();
  Behaviour.WorkTime =
      std::chrono::microseconds(Text.at("work_us").get<std::int64_t>());
  Behaviour.Exponential = Text.at("exponential").get<bool>();
  Behaviour.Seed = Text.at("seed").get<std::uint64_t>();
  Behaviour.ColdRuns = Text.at("cold_runs").get<unsigned>();
  Behaviour.ColdFactor = Text.at("cold_factor").get<double>();
  Behaviour.Draining = Text.at("draining").get<bool>();
  Behaviour.ReportsIdle = Text.at("reports_idle").get<bool>();
  Behaviour.ErrorShare = Text.at("error_share").get<double>();
  Behaviour.LateBy =
      std::chrono::microseconds(Text.at("late_us").get<std::int64_t>());
  Behaviour.TruncatesAnswers = Text.at("truncates_answers").get<bool>();
  Behaviour.ClosesWithoutAnswer = Text.at("closes_without_answer").get<bool>();
  Behaviour.AnswersWrongId = Text.at("answers_wrong_id").get<bool>();
  const auto Flood = parseFloodForm(Text.at("flood").get<std::string>());
  if (!Flood)
    throw std::invalid_argument("unknown form of flood");
  Behaviour.Flood = *Flood;
  Behaviour.FloodsHealth = Text.at("floods_health").get<bool>();
  Behaviour.FloodPause =
      std::chrono::microseconds(Text.at("flood_pause_us").get<std::int64_t>());
  Behaviour.CrashTime =
      std::chrono::milliseconds(Text.at("crash_ms").get<std::int64_t>());
  return Behaviour;
}

static http::response answer(int Status, const json &Body) {
  http::response Response;
  Response.Status = Status;
  Response.Headers["Content-Type"] = "application/json";
  Response.Body = Body.dump();
  return Response;
}

json target_group::impl::journals() const {
  json List = json::array();
  for (const auto &Target : Targets) {
    json Runs = json::array();
    for (const run_record &Run : Target->journal())
      Runs.push_back(toJson(Run));
    List.push_back({{"target", base::toString(Target->address())},
                    {"runs", std::move(Runs)}});
  }
  return {{"targets", std::move(List)}};
}

json target_group::impl::behaviours() const {
  json List = json::object();
  for (const auto &Target : Targets)
    List[base::toString(Target->address())] = toJson(Target->behaviour());
  return List;
}

http::response target_group::impl::changeBehaviour(const json &Change) {
  const std::string Only = Change.value("target", "");
  unsigned Changed = 0;
  for (const auto &Target : Targets) {
    if (!Only.empty() && Only != base::toString(Target->address()))
      continue;
    json Merged = toJson(Target->behaviour());
    for (const auto &[Name, Value] : Change.items()) {
      if (Name == "target")
        continue;
      if (!Merged.contains(Name))
        return answer(400, {{"detail", "unknown field '" + Name + "'"}});
      Merged[Name] = Value;
    }
    Target->configure(toBehaviour(Merged));
    ++Changed;
  }
  return answer(Changed > 0 ? 200 : 404, {{"changed", Changed}});
}

http::response target_group::impl::crash(const json &Order) {
  const std::string Only = Order.value("target", "");
  unsigned Crashed = 0;
  for (const auto &Target : Targets) {
    if (!Only.empty() && Only != base::toString(Target->address()))
      continue;
    Target->crash(std::chrono::milliseconds(Order.value("down_ms", 2000)));
    ++Crashed;
  }
  return answer(Crashed > 0 ? 200 : 404, {{"crashed", Crashed}});
}

http::response target_group::impl::handle(const http::server_request &Request) {
  const std::string &Method = Request.Message.Method;
  if (Method == "GET" && Request.Path == "/journal")
    return answer(200, journals());
  if (Method == "GET" && Request.Path == "/behaviour")
    return answer(200, behaviours());
  const bool IsBehaviour = Request.Path == "/behaviour";
  if (Method != "POST" || (!IsBehaviour && Request.Path != "/crash"))
    return answer(404, {{"detail", "no such resource"}});
  try {
    const json Body = json::parse(Request.Message.Body);
    return IsBehaviour ? changeBehaviour(Body) : crash(Body);
  } catch (const std::exception &Failure) {
    return answer(400, {{"detail", Failure.what()}});
  }
}

target_group::target_group(std::optional<base::endpoint> Control)
    : Impl(std::make_unique<impl>()) {
  Impl->Control = std::move(Control);
}

target_group::~target_group() { stop(); }

target_emulator &target_group::add(base::endpoint Listen,
                                   target_behaviour Behaviour) {
  return *Impl->Targets.emplace_back(std::make_unique<target_emulator>(
      std::move(Listen), std::move(Behaviour)));
}

std::optional<base::endpoint> target_group::start() {
  for (const auto &Target : Impl->Targets)
    if (!Target->start())
      return Target->address();
  if (!Impl->Control)
    return std::nullopt;
  Impl->Server = std::make_unique<http::server>(
      *Impl->Control, http::server_limits(),
      [this](const http::server_request &Request) {
        return Impl->handle(Request);
      });
  return Impl->Server->start() ? std::nullopt : Impl->Control;
}

void target_group::stop() {
  if (Impl->Server)
    Impl->Server->stop();
  for (const auto &Target : Impl->Targets)
    Target->stop();
}

} // namespace skylarkdyke::emulators
