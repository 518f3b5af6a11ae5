#include "skylarkdyke/instances/client.hpp"

#include "skylarkdyke/http/client.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace skylarkdyke::instances {

using nlohmann::json;

static constexpr std::size_t MaxResponseBytes = std::size_t{4} * 1024 * 1024;
static constexpr const char *LeavingTag = "leaving";

struct client::impl {
  base::endpoint Platform;
  std::optional<http::connection> Connection;
};

client::client(const base::endpoint &Platform)
    : Impl(std::make_unique<impl>()) {
  Impl->Platform = Platform;
}

client::~client() = default;

/// Returns a member of an object, or a null value if Object is not an object or
/// has no such member.
static const json &member(const json &Object, const char *Key) {
  static const json Null;
  if (!Object.is_object())
    return Null;
  const auto Found = Object.find(Key);
  return Found == Object.end() ? Null : *Found;
}

/// Returns a string member, or an empty string if there is none.
static std::string stringMember(const json &Object, const char *Key) {
  const json &Value = member(Object, Key);
  return Value.is_string() ? Value.get<std::string>() : std::string();
}

static bool isLeaving(const json &Item, const instance &Instance) {
  const auto Meta = Instance.Metadata.find(LeavingTag);
  if (Meta != Instance.Metadata.end() && Meta->second == "true")
    return true;
  const json &Tags = member(member(Item, "Service"), "Tags");
  if (Tags.is_array() &&
      std::find(Tags.begin(), Tags.end(), json(LeavingTag)) != Tags.end())
    return true;
  const json &Checks = member(Item, "Checks");
  return Checks.is_array() &&
         std::any_of(Checks.begin(), Checks.end(), [](const json &Check) {
           return stringMember(Check, "Status") == "critical";
         });
}

static std::optional<instance> parseInstance(const json &Item) {
  const json &Service = member(Item, "Service");
  instance Instance;
  Instance.Id = stringMember(Service, "ID");
  std::string Address = stringMember(Service, "Address");
  // A service that is registered without an address has the address of its
  // node.
  if (Address.empty())
    Address = stringMember(member(Item, "Node"), "Address");
  const json &Port = member(Service, "Port");
  const auto Parsed = base::parseEndpoint(
      Address + ":" + (Port.is_number_unsigned() ? Port.dump() : ""));
  if (Instance.Id.empty() || !Parsed)
    return std::nullopt;
  Instance.Address = *Parsed;
  const json &Metadata = member(Service, "Meta");
  if (Metadata.is_object())
    for (const auto &[Key, Value] : Metadata.items())
      if (Value.is_string())
        Instance.Metadata[Key] = Value.get<std::string>();
  Instance.IsLeaving = isLeaving(Item, Instance);
  return Instance;
}

list_result parseInstances(const std::string &Body) {
  const json Root = json::parse(Body, nullptr, false);
  if (!Root.is_array())
    return unavailable{"malformed response"};
  instance_list List;
  for (const json &Item : Root) {
    if (auto Instance = parseInstance(Item))
      List.Instances.push_back(*std::move(Instance));
    else
      ++List.Malformed;
  }
  return List;
}

list_result client::list(base::boot_time Deadline, int StopSocket) {
  http::request Request;
  Request.Target = "/v1/health/service/skylarkdyke";
  // The platform may have closed the persistent connection since the last call;
  // the read is then repeated on a new one.
  for (const bool IsLastAttempt : {false, true}) {
    if (!Impl->Connection || !Impl->Connection->isReusable()) {
      auto Opened = http::connection::open(Impl->Platform, Deadline);
      if (!Opened)
        return unavailable{http::toString(Opened.error().Fault)};
      Impl->Connection = std::move(Opened).value();
    }
    const auto Response = Impl->Connection->exchange(
        Request, {Deadline, MaxResponseBytes, StopSocket});
    if (Response && Response.value().Status == 200)
      return parseInstances(Response.value().Body);
    if (Response)
      return unavailable{"status " + std::to_string(Response.value().Status)};
    const http::exchange_fault Fault = Response.error().Fault;
    if (IsLastAttempt || Fault != http::exchange_fault::ClosedWithoutAnswer)
      return unavailable{http::toString(Fault)};
  }
  return unavailable{"not reached"};
}

} // namespace skylarkdyke::instances
