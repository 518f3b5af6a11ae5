#ifndef SKYLARKDYKE_STORE_CONFIG_WATCHER_HPP
#define SKYLARKDYKE_STORE_CONFIG_WATCHER_HPP

#include "skylarkdyke/config/holder.hpp"
#include "skylarkdyke/store/client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace skylarkdyke::store {

/// \brief Store key of the configuration document.
inline constexpr const char *ConfigKey = "skylarkdyke/config";

/// \brief Numbers of documents and failures since the watcher was created.
struct watch_counts {
  /// Documents installed.
  std::uint64_t Installed = 0;
  /// Documents with a lower version than the one in force.
  std::uint64_t Stale = 0;
  /// Values that cannot be decoded or are not valid documents.
  std::uint64_t Invalid = 0;
  /// Documents with the version in force but different content.
  std::uint64_t Conflicting = 0;
  /// Watches that returned no usable response.
  std::uint64_t Failed = 0;
};

/// \brief Background thread that watches the configuration document in the
/// store and installs new valid versions.
class config_watcher {
public:
  /// \brief Called on the watcher's thread with each installed document.
  using installed_callback =
      std::function<void(const std::shared_ptr<const config::document> &)>;

  /// \param Store client for the store; outlives the watcher
  /// \param Config receives new documents; outlives the watcher
  /// \param OnInstalled callback for installed documents; may be empty; must
  /// not block
  config_watcher(client &Store, config::document_holder &Config,
                 installed_callback OnInstalled = {});
  ~config_watcher();

  /// \brief Starts the thread.
  void start();

  /// \brief Cancels a pending watch and joins the thread, within 1 s.
  void stop();

  /// \brief Returns whether the store has responded since start(), whether or
  /// not it holds a document. Thread-safe.
  bool hasResponse() const;

  /// \brief Returns when the store became unavailable, or nothing while it is
  /// available. Thread-safe.
  std::optional<base::wall_time> downSince() const;

  watch_counts counts() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::store

#endif
