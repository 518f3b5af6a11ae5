#ifndef SKYLARKDYKE_STORE_CONFIG_WATCHER_HPP
#define SKYLARKDYKE_STORE_CONFIG_WATCHER_HPP

#include "skylarkdyke/config/holder.hpp"
#include "skylarkdyke/store/client.hpp"

#include <memory>

namespace skylarkdyke::store {

/// Store key of the configuration document.
inline constexpr const char *ConfigKey = "skylarkdyke/config";

/// \brief Thread that watches the configuration in the store and installs new
/// versions.
class config_watcher {
public:
  /// \param Store client for the store; outlives the watcher
  /// \param Config receives new documents; outlives the watcher
  config_watcher(client &Store, config::holder &Config);
  ~config_watcher();

  void start();
  void stop();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::store

#endif
