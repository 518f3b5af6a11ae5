#include "skylarkdyke/entries/config_exchange.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/config/codec.hpp"

#include <map>
#include <mutex>

namespace skylarkdyke::entries {

using namespace std::chrono_literals;

/// Minimum time between two requests to one peer for the same version.
static constexpr auto RepeatInterval = 1s;
/// Time to wait for a document before it is requested from another peer. All
/// peers announce a new version at about the same time, and a document may have
/// 1 MB, so only one request is outstanding.
static constexpr auto DocumentTimeout = 1s;
static constexpr auto AnnouncePeriod = 50ms;

struct config_exchange::impl {
  /// A request that is not to be repeated before an instant.
  struct recent_request {
    std::uint64_t Version = 0;
    base::boot_time RepeatAt;
  };

  impl(mesh &Mesh, config::document_holder &Config, installed_hook OnInstalled)
      : Mesh(Mesh), Config(Config), OnInstalled(std::move(OnInstalled)) {}

  std::uint64_t version() const;
  void requestIfNewer(base::incarnation_id Peer, std::uint64_t Version);
  void sendDocument(const member &From, const config_request &Request);
  void receiveDocument(const member &From, const config_document &Document);
  void install(const member &From, config::document Document);
  void announce();
  void count(std::uint64_t config_exchange_counters::*Counter);

  mesh &Mesh;
  config::document_holder &Config;
  installed_hook OnInstalled;

  mutable std::mutex Mutex;
  config_exchange_counters Counters;

  // Used by the mesh thread only.
  std::map<base::incarnation_id, recent_request> RecentRequests;
  /// Peer whose document is expected; zero if none.
  base::incarnation_id PendingPeer;
  base::boot_time PendingUntil;
  /// The latest document that was sent, kept encoded for further requests.
  config_document Encoded;
};

std::uint64_t config_exchange::impl::version() const {
  const auto Current = Config.current();
  return Current ? Current->Version : 0;
}

void config_exchange::impl::count(
    std::uint64_t config_exchange_counters::*Counter) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  ++(Counters.*Counter);
}

void config_exchange::impl::requestIfNewer(base::incarnation_id Peer,
                                           std::uint64_t Version) {
  if (Version <= version())
    return;
  const auto Now = base::boot_clock::now();
  if (PendingPeer != base::incarnation_id() && Now < PendingUntil)
    return;
  for (auto It = RecentRequests.begin(); It != RecentRequests.end();)
    It = Now >= It->second.RepeatAt ? RecentRequests.erase(It) : std::next(It);
  const auto Recent = RecentRequests.find(Peer);
  if (Recent != RecentRequests.end() && Recent->second.Version == Version)
    return;
  if (!Mesh.send(Peer, config_request{Version}))
    return;
  RecentRequests[Peer] = {Version, Now + RepeatInterval};
  PendingPeer = Peer;
  PendingUntil = Now + DocumentTimeout;
  count(&config_exchange_counters::RequestsSent);
}

void config_exchange::impl::sendDocument(const member &From,
                                         const config_request &Request) {
  const auto Current = Config.current();
  if (!Current || Current->Version < Request.Version)
    return;
  if (Encoded.Version != Current->Version || Encoded.Text.empty())
    Encoded = {Current->Version, config::encode(*Current)};
  if (Mesh.send(From.Incarnation, Encoded))
    count(&config_exchange_counters::DocumentsSent);
}

void config_exchange::impl::receiveDocument(const member &From,
                                            const config_document &Document) {
  // A late document is accepted if its sender is still the last peer that a
  // document was requested from.
  if (From.Incarnation != PendingPeer) {
    count(&config_exchange_counters::Unexpected);
    return;
  }
  PendingPeer = base::incarnation_id();
  auto Decoded = config::decode(Document.Text);
  if (!Decoded.has_value() || Decoded.value().Version != Document.Version) {
    count(&config_exchange_counters::Refused);
    SKYLARKDYKE_LOG(WARNING, PeerConfigRefused)
        << "version " << Document.Version << " from " << From.Name.str() << ": "
        << (Decoded.has_value() ? "the document has another version"
                                : base::toString(Decoded.error()));
    return;
  }
  install(From, std::move(Decoded.value()));
}

void config_exchange::impl::install(const member &From,
                                    config::document Document) {
  const std::uint64_t Version = Document.Version;
  switch (Config.install(std::move(Document))) {
  case config::install_result::Installed:
    count(&config_exchange_counters::Installed);
    SKYLARKDYKE_LOG(INFO, PeerConfigInstalled)
        << "version " << Version << " from " << From.Name.str();
    announce();
    if (OnInstalled)
      OnInstalled(Config.current());
    break;
  case config::install_result::Conflicting:
    SKYLARKDYKE_LOG(ERROR, ConfigConflictingContent)
        << "version " << Version << " from " << From.Name.str();
    break;
  case config::install_result::SameVersion:
  case config::install_result::Older:
    // The store's watcher has already installed this version or a later one.
    break;
  }
}

void config_exchange::impl::announce() {
  const std::uint64_t Current = version();
  if (Mesh.self().ConfigVersion != Current)
    Mesh.updateSelf([&](member &Self) { Self.ConfigVersion = Current; });
}

config_exchange::config_exchange(mesh &Mesh, config::document_holder &Config,
                                 installed_hook OnInstalled)
    : Impl(std::make_unique<impl>(Mesh, Config, std::move(OnInstalled))) {
  impl &Exchange = *Impl;
  Mesh.onMemberChange([&Exchange](const member &Member, bool) {
    Exchange.requestIfNewer(Member.Incarnation, Member.ConfigVersion);
  });
  Mesh.onMessage<heartbeat>(
      [&Exchange](const member &From, const heartbeat &Heartbeat) {
        Exchange.requestIfNewer(From.Incarnation, Heartbeat.ConfigVersion);
      });
  Mesh.onMessage<config_request>(
      [&Exchange](const member &From, const config_request &Request) {
        Exchange.sendDocument(From, Request);
      });
  Mesh.onMessage<config_document>(
      [&Exchange](const member &From, const config_document &Document) {
        Exchange.receiveDocument(From, Document);
      });
  Mesh.runPeriodically(AnnouncePeriod, [&Exchange] { Exchange.announce(); });
}

config_exchange::~config_exchange() = default;

config_exchange_counters config_exchange::counters() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->Counters;
}

} // namespace skylarkdyke::entries
