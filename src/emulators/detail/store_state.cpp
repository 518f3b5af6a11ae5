#include "emulators/detail/store_state.hpp"

#include <algorithm>
#include <array>

namespace skylarkdyke::emulators::detail {

std::optional<stored> key_state::find(const std::string &Key,
                                      bool IsStale) const {
  const auto Found = Values.find(Key);
  if (Found == Values.end())
    return std::nullopt;
  return IsStale ? Found->second.Before : Found->second.Current;
}

std::uint64_t key_state::indexOf(const std::string &Key) const {
  const auto Found = Values.find(Key);
  return Found == Values.end() ? Index : Found->second.Current.ModifyIndex;
}

void key_state::store(const std::string &Key, std::string Bytes,
                      std::string Session) {
  const auto [Found, IsNew] = Values.try_emplace(Key);
  if (!IsNew)
    Found->second.Before = std::move(Found->second.Current);
  Found->second.Current = {std::move(Bytes), ++Index, std::move(Session)};
}

std::string key_state::holderOf(const std::string &Key) const {
  const auto Found = Values.find(Key);
  return Found == Values.end() ? std::string() : Found->second.Current.Session;
}

void key_state::put(const std::string &Key, std::string Bytes) {
  store(Key, std::move(Bytes), holderOf(Key));
}

bool key_state::compareAndSwap(const std::string &Key, std::string Bytes,
                               std::uint64_t Expected) {
  const auto Found = Values.find(Key);
  const std::uint64_t Current =
      Found == Values.end() ? 0 : Found->second.Current.ModifyIndex;
  if (Current != Expected)
    return false;
  put(Key, std::move(Bytes));
  return true;
}

std::optional<bool> key_state::acquire(const std::string &Key,
                                       std::string Bytes,
                                       const std::string &Session) {
  if (Sessions.count(Session) == 0)
    return std::nullopt;
  const std::string Holder = holderOf(Key);
  if (!Holder.empty() && Holder != Session)
    return false;
  store(Key, std::move(Bytes), Session);
  return true;
}

bool key_state::release(const std::string &Key, std::string Bytes,
                        const std::string &Session) {
  if (Session.empty() || holderOf(Key) != Session)
    return false;
  store(Key, std::move(Bytes), "");
  return true;
}

std::string key_state::createSession(std::chrono::milliseconds TimeToLive,
                                     base::boot_time Now) {
  std::array<char, 40> Id{};
  const auto High = static_cast<unsigned long long>(Random());
  const auto Low = static_cast<unsigned long long>(Random());
  std::snprintf(Id.data(), Id.size(), "%08llx-%04llx-%04llx-%04llx-%012llx",
                High >> 32, (High >> 16) & 0xffff, High & 0xffff, Low >> 48,
                Low & 0xffffffffffff);
  Sessions[Id.data()] = {TimeToLive, Now + TimeToLive};
  return Id.data();
}

bool key_state::renewSession(const std::string &Id, base::boot_time Now) {
  const auto Found = Sessions.find(Id);
  if (Found == Sessions.end())
    return false;
  Found->second.Deadline = Now + Found->second.TimeToLive;
  return true;
}

void key_state::destroySession(const std::string &Id) {
  if (Sessions.erase(Id) == 0)
    return;
  for (auto &[Key, History] : Values)
    if (History.Current.Session == Id)
      store(Key, History.Current.Bytes, "");
}

bool key_state::expireSessions(base::boot_time Now) {
  const std::uint64_t Before = Index;
  std::vector<std::string> Ended;
  for (const auto &[Id, Session] : Sessions)
    if (Session.Deadline <= Now)
      Ended.push_back(Id);
  for (const std::string &Id : Ended)
    destroySession(Id);
  return Index != Before;
}

std::optional<base::boot_time> key_state::nextExpiry() const {
  std::optional<base::boot_time> Next;
  for (const auto &[Id, Session] : Sessions)
    Next = Next ? std::min(*Next, Session.Deadline) : Session.Deadline;
  return Next;
}

void instance_state::change(const std::string &Id, nlohmann::json Service,
                            base::boot_time Now) {
  Pending.push_back({Now + Lag, Id, std::move(Service)});
}

nlohmann::json instance_state::list(const std::string &Service,
                                    base::boot_time Now) {
  for (; !Pending.empty() && Pending.front().VisibleAt <= Now;
       Pending.pop_front()) {
    if (Pending.front().Service.is_null())
      Visible.erase(Pending.front().Id);
    else
      Visible[Pending.front().Id] = std::move(Pending.front().Service);
  }
  nlohmann::json List = nlohmann::json::array();
  for (const auto &[Id, Instance] : Visible)
    if (Instance.value("Name", "") == Service)
      List.push_back(
          {{"Node", {{"Node", "emulator"}, {"Address", "127.0.0.1"}}},
           {"Service",
            {{"ID", Id},
             {"Service", Service},
             {"Address", Instance.value("Address", "")},
             {"Port", Instance.value("Port", 0)},
             {"Tags", Instance.value("Tags", nlohmann::json::array())},
             {"Meta", Instance.value("Meta", nlohmann::json::object())}}},
           {"Checks", nlohmann::json::array({{{"Status", "passing"}}})}});
  return List;
}

} // namespace skylarkdyke::emulators::detail
