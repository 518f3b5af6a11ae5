#ifndef SKYLARKDYKE_STORE_CONFIG_WATCHER_HPP
#define SKYLARKDYKE_STORE_CONFIG_WATCHER_HPP

#include "skylarkdyke/config/holder.hpp"
#include "skylarkdyke/store/client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace skylarkdyke::store {

/// Store key of the configuration document.
inline constexpr const char *ConfigKey = "skylarkdyke/config";

/// \brief What the watcher has seen so far.
struct watch_counts {
  std::uint64_t Installed = 0;
  /// Documents older than the one in force.
  std::uint64_t Stale = 0;
  /// Documents that cannot be decoded or are not valid.
  std::uint64_t Invalid = 0;
  /// Documents with the version in force and other content.
  std::uint64_t Conflicting = 0;
  /// Watches that brought no answer.
  std::uint64_t Failed = 0;
};

/// \brief Thread that watches the configuration in the store and installs new
/// valid versions.
class config_watcher {
public:
  /// Called from the watcher's thread with each document that it installed.
  using installed_hook =
      std::function<void(const std::shared_ptr<const config::document> &)>;

  /// \param Store client for the store; outlives the watcher
  /// \param Config receives new documents; outlives the watcher
  /// \param OnInstalled may be empty; must not block
  config_watcher(client &Store, config::holder &Config,
                 installed_hook OnInstalled = {});
  ~config_watcher();

  /// \brief Starts the thread.
  void start();

  /// \brief Ends a waiting watch and the thread, within 1 s.
  void stop();

  /// \brief Tells whether the store has answered since the start, with a
  /// document or without one.
  bool hasAnswer() const;

  /// \brief When the store stopped answering; nothing while it answers.
  std::optional<base::wall_time> downSince() const;

  watch_counts counts() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::store

#endif
