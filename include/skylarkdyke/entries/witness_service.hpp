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
/// \param Current the witness so far, or zero; kept as long as it qualifies
/// \return the witness, or nothing if no member qualifies. Linear in the number
/// of members.
std::optional<base::incarnation_id>
chooseWitness(const member &Self, const std::vector<member> &Members,
              base::incarnation_id Current);

/// \brief Witness of other entries, and client of the own witness.
/// Thread-safe.
class witness_service {
public:
  /// \brief Adds the handlers to a mesh, before its start.
  /// \param Mesh stopped before the service is destroyed
  /// \param MaxRecords largest number of intents held for other entries
  witness_service(mesh &Mesh, std::size_t MaxRecords);
  ~witness_service();

  /// \brief Asks the witness of a key to record the intent. Blocks; not on the
  /// mesh thread.
  /// \return its answer, or nothing if there was none by the deadline
  std::optional<once::record_result>
  recordIntent(const once::idempotency_key &Key, base::boot_time Deadline);

  /// \brief Asks the witness of a key, which may be this entry, to seal the
  /// owner. Blocks; not on the mesh thread.
  /// \return its answer, or nothing if there was none by the deadline
  std::optional<once::seal_result> sealOwner(const once::idempotency_key &Key,
                                             base::boot_time Deadline);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::entries

#endif
