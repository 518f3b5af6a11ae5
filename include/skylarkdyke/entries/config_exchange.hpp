#ifndef SKYLARKDYKE_ENTRIES_CONFIG_EXCHANGE_HPP
#define SKYLARKDYKE_ENTRIES_CONFIG_EXCHANGE_HPP

#include "skylarkdyke/config/holder.hpp"
#include "skylarkdyke/entries/mesh.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace skylarkdyke::entries {

/// \brief Event counters of a config_exchange.
struct config_exchange_counters {
  /// Requests for documents sent to peers.
  std::uint64_t RequestsSent = 0;
  /// Documents sent to peers.
  std::uint64_t DocumentsSent = 0;
  std::uint64_t Installed = 0;
  /// Received documents that are invalid or whose version differs from the one
  /// in the message.
  std::uint64_t Refused = 0;
  /// Received documents that this entry had not requested from the sender.
  std::uint64_t Unexpected = 0;
};

/// \brief Requests configuration documents from peers that announce a higher
/// version, and sends the document in force to peers that request it.
/// Thread-safe.
class config_exchange {
public:
  /// \brief Callback after a peer's document was installed. Called on the mesh
  /// thread.
  using installed_hook =
      std::function<void(const std::shared_ptr<const config::document> &)>;

  /// \brief Registers the handlers at a mesh that is not started yet. The
  /// exchange also keeps the version that the mesh announces equal to the one
  /// in force.
  /// \param Mesh must be stopped before the exchange is destroyed
  /// \param Config must outlive the mesh's thread
  /// \param OnInstalled may be empty
  config_exchange(mesh &Mesh, config::document_holder &Config,
                  installed_hook OnInstalled = nullptr);
  ~config_exchange();

  config_exchange_counters counters() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::entries

#endif
