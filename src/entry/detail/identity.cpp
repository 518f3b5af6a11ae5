#include "entry/detail/identity.hpp"

namespace skylarkdyke::entry::detail {

identity::identity(const settings::entry_settings &Settings) {
  Self.Name = Settings.Name;
  Self.Incarnation = base::generateIncarnation();
  Self.Region = Settings.Region;
  Self.Domain = Settings.Domain;
  Self.CallerAddress = Settings.CallerAddress;
  Self.PeerAddress = Settings.PeerAddress;
  Self.Reachable = true;
}

entries::member identity::current() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Self;
}

bool identity::update(bool IsReady, std::uint64_t ConfigVersion) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool Changed =
      Self.Ready != IsReady || Self.ConfigVersion != ConfigVersion;
  Self.Ready = IsReady;
  Self.ConfigVersion = ConfigVersion;
  return Changed;
}

void identity::setLeaving() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Self.Leaving = true;
}

bool identity::replaceIncarnation(base::incarnation_id Sealed) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Self.Incarnation != Sealed)
    return false;
  Self.Incarnation = base::generateIncarnation();
  return true;
}

} // namespace skylarkdyke::entry::detail
