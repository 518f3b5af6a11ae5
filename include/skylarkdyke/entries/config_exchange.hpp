#ifndef SKYLARKDYKE_ENTRIES_CONFIG_EXCHANGE_HPP
#define SKYLARKDYKE_ENTRIES_CONFIG_EXCHANGE_HPP

#include "skylarkdyke/config/holder.hpp"
#include "skylarkdyke/entries/mesh.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace skylarkdyke::entries {

struct config_exchange_counters {
  std::uint64_t Asked = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Installed = 0;
  /// Documents that do not decode, or differ from the version that their
  /// message names.
  std::uint64_t Refused = 0;
  /// Documents that this entry did not ask their sender for.
  std::uint64_t Unexpected = 0;
};

/// \brief Gets configuration documents from peers that have a higher version,
/// and gives the one in force to peers that ask. Thread-safe.
class config_exchange {
public:
  /// \brief Called on the mesh thread after a peer's document was installed.
  using installed_hook =
      std::function<void(const std::shared_ptr<const config::document> &)>;

  /// \brief Adds the handlers to a mesh, before its start. Also keeps the
  /// version that the mesh announces equal to the one in force.
  /// \param Mesh stopped before the exchange is destroyed
  /// \param Config outlives the mesh's thread
  config_exchange(mesh &Mesh, config::holder &Config,
                  installed_hook Installed = nullptr);
  ~config_exchange();

  config_exchange_counters counters() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::entries

#endif
