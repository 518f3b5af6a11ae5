#ifndef SKYLARKDYKE_ENTRY_DETAIL_IDENTITY_HPP
#define SKYLARKDYKE_ENTRY_DETAIL_IDENTITY_HPP

#include "skylarkdyke/entries/member.hpp"
#include "skylarkdyke/settings/settings.hpp"

#include <mutex>

namespace skylarkdyke::entry::detail {

/// \brief What this entry tells of itself. Thread-safe.
class identity {
public:
  explicit identity(const settings::entry_settings &Settings);

  entries::member current() const;

  /// \brief Sets readiness and the version in force.
  /// \return true if anything changed
  bool update(bool IsReady, std::uint64_t ConfigVersion);

  void setLeaving();

  /// \brief Draws a new incarnation if the given one is still the current one.
  /// \return true if it was
  bool replaceIncarnation(base::incarnation_id Sealed);

private:
  mutable std::mutex Mutex;
  entries::member Self;
};

} // namespace skylarkdyke::entry::detail

#endif
