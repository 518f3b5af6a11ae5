#include "skylarkdyke/entry/entry.hpp"

#include "skylarkdyke/base/event.hpp"
#include "skylarkdyke/callers/caller_service.hpp"
#include "skylarkdyke/store/config_watcher.hpp"

namespace skylarkdyke::entry {

struct entry::impl {
  explicit impl(settings::entry_settings Given)
      : Settings(std::move(Given)), Store(Settings.Store),
        Watcher(Store, Config), Callers(Settings, Config),
        CallerServer(Settings.CallerListen, http::server_limits(),
                     [this](const http::server_request &Request) {
                       return Callers.handle(Request);
                     }) {}

  settings::entry_settings Settings;
  config::holder Config;
  store::client Store;
  store::config_watcher Watcher;
  callers::caller_service Callers;
  http::server CallerServer;
};

entry::entry(settings::entry_settings Settings)
    : Impl(std::make_unique<impl>(std::move(Settings))) {}

entry::~entry() = default;

bool entry::start() {
  if (!Impl->CallerServer.start())
    return false;
  Impl->Watcher.start();
  SKYLARKDYKE_LOG(INFO, EntryStarted)
      << Impl->Settings.Name.str() << " serves callers on "
      << base::toString(Impl->Settings.CallerAddress);
  return true;
}

void entry::stop() {
  SKYLARKDYKE_LOG(INFO, EntryLeaving) << Impl->Settings.Name.str();
  Impl->Watcher.stop();
  Impl->CallerServer.stop();
  SKYLARKDYKE_LOG(INFO, EntryStopped) << Impl->Settings.Name.str();
}

} // namespace skylarkdyke::entry
