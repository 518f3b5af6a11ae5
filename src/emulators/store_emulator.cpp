#include "skylarkdyke/emulators/store_emulator.hpp"

#include "emulators/detail/store_state.hpp"
#include "skylarkdyke/base/base64.hpp"
#include "skylarkdyke/config/document.hpp"
#include "skylarkdyke/http/server.hpp"

#include <condition_variable>
#include <mutex>
#include <sys/socket.h>

namespace skylarkdyke::emulators {

using nlohmann::json;

static constexpr std::chrono::seconds MaxWait{600};

struct store_emulator::impl {
  explicit impl(const store_options &Options)
      : Keys(Options.Seed), Instances(Options.InstanceLag),
        Random(Options.Seed),
        Server(Options.Listen, limits(),
               [this](const http::server_request &Request) {
                 return handle(Request);
               }) {
    if (Options.Control)
      ControlServer.emplace(*Options.Control, http::server_limits(),
                            [this](const http::server_request &Request) {
                              return control(Request);
                            });
  }

  static http::server_limits limits() {
    http::server_limits Limits;
    Limits.MaxConnections = 1000;
    Limits.MaxBodyBytes = config::MaxDocumentBytes;
    Limits.IdleTimeout = MaxWait;
    return Limits;
  }

  using lock = std::unique_lock<std::mutex>;
  using boot_clock = base::boot_clock;

  http::response handle(const http::server_request &Request);
  http::response dispatch(const http::server_request &Request, lock &Lock);
  http::response read(const std::string &Key,
                      const http::server_request &Request, lock &Lock);
  http::response write(const std::string &Key,
                       const http::server_request &Request);
  http::response session(const std::string &Call,
                         const http::server_request &Request);
  http::response agent(const std::string &Call,
                       const http::server_request &Request);
  http::response control(const http::server_request &Request);
  bool losesAnswer();
  void setFaults(const store_faults &New);
  void interrupt(bool IsInterrupted);

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  detail::key_state Keys;
  detail::instance_state Instances;
  std::mt19937_64 Random;
  store_faults Faults;
  store_counters Counters;
  /// True while the server stops; no request waits then.
  bool Interrupted = false;
  /// Held while the server is started or stopped.
  std::mutex ServerMutex;
  bool Running = false;
  http::server Server;
  std::optional<http::server> ControlServer;
};

static std::string parameter(const http::server_request &Request,
                             const char *Name) {
  const auto Found = Request.Parameters.find(Name);
  return Found == Request.Parameters.end() ? std::string() : Found->second;
}

static std::uint64_t number(const std::string &Text) {
  return std::strtoull(Text.c_str(), nullptr, 10);
}

/// Parses a duration in whole ms, s or m; without a unit it is in seconds.
static std::chrono::milliseconds parseDuration(const std::string &Text) {
  char *Unit = nullptr;
  const std::uint64_t Count =
      std::min<std::uint64_t>(std::strtoull(Text.c_str(), &Unit, 10), 86400000);
  if (std::string_view(Unit) == "ms")
    return std::chrono::milliseconds(Count);
  if (std::string_view(Unit) == "m")
    return std::chrono::minutes(Count);
  return std::chrono::seconds(Count);
}

static http::response answer(int Status, const std::string &Body) {
  http::response Response;
  Response.Status = Status;
  Response.Headers["Content-Type"] = "application/json";
  Response.Body = Body;
  return Response;
}

static http::response answer(bool Done) {
  return answer(200, Done ? "true" : "false");
}

/// Rest of a path behind a prefix, or nothing if the path has another one.
static std::optional<std::string> behind(const std::string &Path,
                                         const std::string &Prefix) {
  if (Path.rfind(Prefix, 0) != 0)
    return std::nullopt;
  return Path.substr(Prefix.size());
}

bool store_emulator::impl::losesAnswer() {
  if (Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    return true;
  }
  return Faults.LoseAnswerProbability > 0 &&
         std::bernoulli_distribution(Faults.LoseAnswerProbability)(Random);
}

http::response
store_emulator::impl::handle(const http::server_request &Request) {
  lock Lock(Mutex);
  if (Faults.Delay.count() > 0)
    Changed.wait_for(Lock, Faults.Delay, [this] { return Interrupted; });
  Changed.wait(Lock, [this] {
    return Interrupted || Faults.Outage != store_outage::Hang;
  });
  if (Interrupted)
    return answer(503, "");
  if (Keys.expireSessions(boot_clock::now()))
    Changed.notify_all();
  http::response Response = dispatch(Request, Lock);
  if (Request.Message.Method == "PUT") {
    Changed.notify_all();
    if (losesAnswer()) {
      ++Counters.LostAnswers;
      shutdown(Request.Socket, SHUT_RDWR);
    }
  }
  return Response;
}

http::response
store_emulator::impl::dispatch(const http::server_request &Request,
                               lock &Lock) {
  const bool IsGet = Request.Message.Method == "GET";
  if (!IsGet && Request.Message.Method != "PUT")
    return answer(405, "");
  if (const auto Key = behind(Request.Path, "/v1/kv/"))
    return IsGet ? read(*Key, Request, Lock) : write(*Key, Request);
  if (const auto Service = behind(Request.Path, "/v1/health/service/")) {
    ++Counters.InstanceCalls;
    return answer(200, Instances.list(*Service, boot_clock::now()).dump());
  }
  if (IsGet)
    return answer(404, "");
  if (const auto Call = behind(Request.Path, "/v1/session/"))
    return session(*Call, Request);
  if (const auto Call = behind(Request.Path, "/v1/agent/service/"))
    return agent(*Call, Request);
  return answer(404, "");
}

http::response store_emulator::impl::read(const std::string &Key,
                                          const http::server_request &Request,
                                          lock &Lock) {
  const std::uint64_t Seen = number(parameter(Request, "index"));
  ++(Seen > 0 ? Counters.Watches : Counters.Reads);
  const std::string Wait = parameter(Request, "wait");
  const base::boot_time End =
      boot_clock::now() +
      std::min<std::chrono::milliseconds>(Wait.empty() ? std::chrono::minutes(5)
                                                       : parseDuration(Wait),
                                          MaxWait);
  while (Seen > 0 && !Interrupted && Faults.StaleReads == 0 &&
         Keys.indexOf(Key) == Seen && boot_clock::now() < End) {
    const base::boot_time Next = std::min(End, Keys.nextExpiry().value_or(End));
    Changed.wait_for(Lock, Next - boot_clock::now());
    Keys.expireSessions(boot_clock::now());
  }
  // A watch that was waiting when an outage began must not pass a later change
  // on.
  Changed.wait(Lock, [this] {
    return Interrupted || Faults.Outage != store_outage::Hang;
  });
  if (Interrupted)
    return answer(503, "");
  const bool IsStale = Faults.StaleReads > 0;
  if (IsStale) {
    --Faults.StaleReads;
    ++Counters.StaleReads;
  }
  const auto Found = Keys.find(Key, IsStale);
  http::response Response = answer(404, "");
  if (Found) {
    json Item = {{"Key", Key},
                 {"Value", base::encodeBase64(Found->Bytes)},
                 {"ModifyIndex", Found->ModifyIndex}};
    if (!Found->Session.empty())
      Item["Session"] = Found->Session;
    Response = answer(200, json::array({Item}).dump());
  }
  Response.Headers["X-Consul-Index"] =
      std::to_string(Found ? Found->ModifyIndex : Keys.indexOf(Key));
  return Response;
}

http::response
store_emulator::impl::write(const std::string &Key,
                            const http::server_request &Request) {
  ++Counters.Writes;
  const std::string &Bytes = Request.Message.Body;
  if (Request.Parameters.count("cas") != 0)
    return answer(
        Keys.compareAndSwap(Key, Bytes, number(parameter(Request, "cas"))));
  if (Request.Parameters.count("release") != 0)
    return answer(Keys.release(Key, Bytes, parameter(Request, "release")));
  if (Request.Parameters.count("acquire") != 0) {
    const auto Done = Keys.acquire(Key, Bytes, parameter(Request, "acquire"));
    return Done ? answer(*Done) : answer(500, "invalid session");
  }
  Keys.put(Key, Bytes);
  return answer(true);
}

http::response
store_emulator::impl::session(const std::string &Call,
                              const http::server_request &Request) {
  ++Counters.SessionCalls;
  const base::boot_time Now = boot_clock::now();
  if (Call == "create") {
    const json Body = json::parse(Request.Message.Body, nullptr, false);
    const auto TimeToLive = parseDuration(
        Body.is_object() && Body.contains("TTL") && Body["TTL"].is_string()
            ? Body["TTL"].get<std::string>()
            : "");
    if (TimeToLive.count() <= 0)
      return answer(400, "invalid TTL");
    return answer(200,
                  json{{"ID", Keys.createSession(TimeToLive, Now)}}.dump());
  }
  if (const auto Id = behind(Call, "renew/"))
    return Keys.renewSession(*Id, Now)
               ? answer(200, json::array({{{"ID", *Id}}}).dump())
               : answer(404, "");
  if (const auto Id = behind(Call, "destroy/")) {
    Keys.destroySession(*Id);
    return answer(true);
  }
  return answer(404, "");
}

static bool isRegistration(const json &Body) {
  return Body.is_object() && Body.contains("ID") && Body["ID"].is_string() &&
         Body.contains("Name") && Body["Name"].is_string() &&
         (!Body.contains("Address") || Body["Address"].is_string()) &&
         (!Body.contains("Port") || Body["Port"].is_number_unsigned());
}

http::response
store_emulator::impl::agent(const std::string &Call,
                            const http::server_request &Request) {
  ++Counters.InstanceCalls;
  if (Call == "register") {
    json Body = json::parse(Request.Message.Body, nullptr, false);
    if (!isRegistration(Body))
      return answer(400, "invalid registration");
    const auto Id = Body["ID"].get<std::string>();
    Instances.change(Id, std::move(Body), boot_clock::now());
    return answer(200, "");
  }
  if (const auto Id = behind(Call, "deregister/")) {
    Instances.change(*Id, nullptr, boot_clock::now());
    return answer(200, "");
  }
  return answer(404, "");
}

static constexpr const char *OutageNames[] = {"none", "refuse", "hang"};

static json toJson(const store_faults &Faults) {
  return {{"outage", OutageNames[static_cast<int>(Faults.Outage)]},
          {"delay_ms", Faults.Delay.count()},
          {"lose_answers", Faults.LoseAnswers},
          {"lose_answer_probability", Faults.LoseAnswerProbability},
          {"stale_reads", Faults.StaleReads}};
}

/// Sets the faults that a JSON object names; false if a member is not known or
/// has another type.
static bool update(store_faults &Faults, const json &Body) {
  if (!Body.is_object())
    return false;
  for (const auto &[Key, Value] : Body.items()) {
    const auto *const Outage =
        std::find(std::begin(OutageNames), std::end(OutageNames),
                  Value.is_string() ? Value.get<std::string>() : "");
    if (Key == "outage" && Outage != std::end(OutageNames))
      Faults.Outage = static_cast<store_outage>(Outage - OutageNames);
    else if (Key == "delay_ms" && Value.is_number_unsigned())
      Faults.Delay = std::chrono::milliseconds(Value.get<std::uint32_t>());
    else if (Key == "lose_answers" && Value.is_number_unsigned())
      Faults.LoseAnswers = Value.get<unsigned>();
    else if (Key == "lose_answer_probability" && Value.is_number() &&
             Value.get<double>() >= 0 && Value.get<double>() <= 1)
      Faults.LoseAnswerProbability = Value.get<double>();
    else if (Key == "stale_reads" && Value.is_number_unsigned())
      Faults.StaleReads = Value.get<unsigned>();
    else
      return false;
  }
  return true;
}

static json toJson(const store_counters &Counters) {
  return {{"reads", Counters.Reads},
          {"writes", Counters.Writes},
          {"watches", Counters.Watches},
          {"session_calls", Counters.SessionCalls},
          {"instance_calls", Counters.InstanceCalls},
          {"lost_answers", Counters.LostAnswers},
          {"stale_reads", Counters.StaleReads}};
}

http::response
store_emulator::impl::control(const http::server_request &Request) {
  const std::string &Method = Request.Message.Method;
  lock Lock(Mutex);
  if (Request.Path == "/counters" && Method == "GET")
    return answer(200, toJson(Counters).dump());
  if (Request.Path != "/faults")
    return answer(404, "");
  if (Method == "GET")
    return answer(200, toJson(Faults).dump());
  if (Method != "POST")
    return answer(405, "");
  store_faults New = Faults;
  if (!update(New, json::parse(Request.Message.Body, nullptr, false)))
    return answer(400, "unknown fault or wrong type");
  Lock.unlock();
  setFaults(New);
  return answer(200, toJson(New).dump());
}

void store_emulator::impl::interrupt(bool IsInterrupted) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Interrupted = IsInterrupted;
  }
  Changed.notify_all();
}

void store_emulator::impl::setFaults(const store_faults &New) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Faults = New;
  }
  Changed.notify_all();
  const std::lock_guard<std::mutex> ServerLock(ServerMutex);
  const bool IsRefusing = New.Outage == store_outage::Refuse;
  if (!Running || IsRefusing == Interrupted)
    return;
  interrupt(IsRefusing);
  if (IsRefusing)
    Server.stop();
  else
    Server.start();
}

store_emulator::store_emulator(base::endpoint Listen)
    : store_emulator(store_options{std::move(Listen), {}, {}, 1}) {}

store_emulator::store_emulator(const store_options &Options)
    : Impl(std::make_unique<impl>(Options)) {}

store_emulator::~store_emulator() { stop(); }

bool store_emulator::start() {
  const std::lock_guard<std::mutex> ServerLock(Impl->ServerMutex);
  Impl->Running = Impl->Server.start() &&
                  (!Impl->ControlServer || Impl->ControlServer->start());
  return Impl->Running;
}

void store_emulator::stop() {
  if (Impl->ControlServer)
    Impl->ControlServer->stop();
  const std::lock_guard<std::mutex> ServerLock(Impl->ServerMutex);
  Impl->Running = false;
  Impl->interrupt(true);
  Impl->Server.stop();
}

void store_emulator::setFaults(const store_faults &Faults) {
  Impl->setFaults(Faults);
}

store_faults store_emulator::faults() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->Faults;
}

store_counters store_emulator::counters() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->Counters;
}

} // namespace skylarkdyke::emulators
