#include "skylarkdyke/entries/config_exchange.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/config/codec.hpp"

#include <map>
#include <mutex>

namespace skylarkdyke::entries {

using namespace std::chrono_literals;

/// Shortest time between two requests to one peer for one version.
static constexpr auto AskAgainAfter = 1s;
/// While an answer is expected, no other peer is asked: all peers announce a
/// new version at about the same time, and each answer may have 1 MB.
static constexpr auto AnswerTimeout = 1s;
static constexpr auto AnnouncePeriod = 50ms;

struct config_exchange::impl {
  struct asked {
    std::uint64_t Version = 0;
    base::boot_time AgainAt;
  };

  impl(mesh &Mesh, config::holder &Config, installed_hook Installed)
      : Mesh(Mesh), Config(Config), Installed(std::move(Installed)) {}

  std::uint64_t version() const;
  void consider(base::incarnation_id Peer, std::uint64_t Version);
  void answer(const member &From, const config_request &Request);
  void accept(const member &From, const config_document &Document);
  void install(const member &From, config::document Document);
  void announce();
  void count(std::uint64_t config_exchange_counters::*Counter);

  mesh &Mesh;
  config::holder &Config;
  installed_hook Installed;

  mutable std::mutex Mutex;
  config_exchange_counters Counters;

  // Of the mesh thread.
  std::map<base::incarnation_id, asked> Asked;
  base::incarnation_id Expected;
  base::boot_time ExpectedUntil;
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

void config_exchange::impl::consider(base::incarnation_id Peer,
                                     std::uint64_t Version) {
  if (Version <= version())
    return;
  const auto Now = base::boot_clock::now();
  if (Expected != base::incarnation_id() && Now < ExpectedUntil)
    return;
  for (auto Each = Asked.begin(); Each != Asked.end();)
    Each = Now >= Each->second.AgainAt ? Asked.erase(Each) : std::next(Each);
  const auto Before = Asked.find(Peer);
  if (Before != Asked.end() && Before->second.Version == Version)
    return;
  if (!Mesh.send(Peer, config_request{Version}))
    return;
  Asked[Peer] = {Version, Now + AskAgainAfter};
  Expected = Peer;
  ExpectedUntil = Now + AnswerTimeout;
  count(&config_exchange_counters::Asked);
}

void config_exchange::impl::answer(const member &From,
                                   const config_request &Request) {
  const auto Current = Config.current();
  if (!Current || Current->Version < Request.Version)
    return;
  if (Encoded.Version != Current->Version || Encoded.Text.empty())
    Encoded = {Current->Version, config::encode(*Current)};
  if (Mesh.send(From.Incarnation, Encoded))
    count(&config_exchange_counters::Answered);
}

void config_exchange::impl::accept(const member &From,
                                   const config_document &Document) {
  // An answer that is late but still the latest one asked for is as good.
  if (From.Incarnation != Expected) {
    count(&config_exchange_counters::Unexpected);
    return;
  }
  Expected = base::incarnation_id();
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
    if (Installed)
      Installed(Config.current());
    break;
  case config::install_result::Conflicting:
    SKYLARKDYKE_LOG(ERROR, ConfigConflictingContent)
        << "version " << Version << " from " << From.Name.str();
    break;
  case config::install_result::SameVersion:
  case config::install_result::Older:
    // The store's watcher was faster.
    break;
  }
}

void config_exchange::impl::announce() {
  const std::uint64_t Current = version();
  if (Mesh.self().ConfigVersion != Current)
    Mesh.updateSelf([&](member &Self) { Self.ConfigVersion = Current; });
}

config_exchange::config_exchange(mesh &Mesh, config::holder &Config,
                                 installed_hook Installed)
    : Impl(std::make_unique<impl>(Mesh, Config, std::move(Installed))) {
  impl &Exchange = *Impl;
  Mesh.onMember([&Exchange](const member &Member, bool) {
    Exchange.consider(Member.Incarnation, Member.ConfigVersion);
  });
  Mesh.onMessage<heartbeat>(
      [&Exchange](const member &From, const heartbeat &Heartbeat) {
        Exchange.consider(From.Incarnation, Heartbeat.ConfigVersion);
      });
  Mesh.onMessage<config_request>(
      [&Exchange](const member &From, const config_request &Request) {
        Exchange.answer(From, Request);
      });
  Mesh.onMessage<config_document>(
      [&Exchange](const member &From, const config_document &Document) {
        Exchange.accept(From, Document);
      });
  Mesh.every(AnnouncePeriod, [&Exchange] { Exchange.announce(); });
}

config_exchange::~config_exchange() = default;

config_exchange_counters config_exchange::counters() const {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->Counters;
}

} // namespace skylarkdyke::entries
