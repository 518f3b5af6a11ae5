#ifndef SKYLARKDYKE_ENTRIES_WITNESS_SERVICE_HPP
#define SKYLARKDYKE_ENTRIES_WITNESS_SERVICE_HPP

#include "skylarkdyke/entries/mesh.hpp"
#include "skylarkdyke/once/key.hpp"
#include "skylarkdyke/once/witness_table.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace skylarkdyke::entries {

/// \brief Chooses the witness of an entry: a ready, reachable entry in another
/// failure domain of the same region that is not leaving.
/// Linear in the number of members.
/// \param Current the present witness, or zero; kept as long as it is eligible
/// \return the witness, or nothing if no member is eligible
std::optional<base::incarnation_id>
chooseWitness(const member &Self, const std::vector<member> &Members,
              base::incarnation_id Current);

/// \brief Records intents and seals as the witness of other entries, and sends
/// such requests to the witnesses of keys. Thread-safe.
class witness_service {
public:
  /// \brief Registers the handlers at a mesh that is not started yet.
  /// \param Mesh must be stopped before the service is destroyed
  /// \param MaxRecords maximum number of intents stored for other entries
  witness_service(mesh &Mesh, std::size_t MaxRecords);
  ~witness_service();

  /// \brief Requests the witness of a key to record the intent. Blocks; must
  /// not be called on the mesh thread.
  /// \return the reply, or nothing if there was none by the deadline
  std::optional<once::record_result>
  recordIntent(const once::idempotency_key &Key, base::boot_time Deadline);

  /// \brief Requests the witness of a key, which may be this entry, to seal the
  /// owner. Blocks; must not be called on the mesh thread.
  /// \return the reply, or nothing if there was none by the deadline
  std::optional<once::seal_result> sealOwner(const once::idempotency_key &Key,
                                             base::boot_time Deadline);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::entries

#endif
