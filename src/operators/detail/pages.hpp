#ifndef SKYLARKDYKE_OPERATORS_DETAIL_PAGES_HPP
#define SKYLARKDYKE_OPERATORS_DETAIL_PAGES_HPP

#include "operators/detail/html.hpp"
#include "operators/detail/status.hpp"
#include "skylarkdyke/config/difference.hpp"
#include "skylarkdyke/config/preview.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkdyke::operators::detail {

/// \brief Body of the overview: alarms, entries, headroom and drains.
html overviewBody(const status &Status);

/// \brief Body of the headroom page: all entries together, then this entry's
/// share.
html headroomBody(const status &Status);

/// \brief Table of entries with what each has in force.
html entriesTable(const std::vector<entries::member> &Members);

/// \brief Tells which entries have a version in force.
html inForceBody(const std::vector<entries::member> &Members,
                 std::uint64_t Version);

/// \brief Tells whether every entry that this one reaches has a version in
/// force.
bool isInForceEverywhere(const std::vector<entries::member> &Members,
                         std::uint64_t Version);

/// \brief Table of changed fields with their values before and after.
html changesTable(const std::vector<config::field_change> &Changes);

/// \brief Effect of a change: warnings, then load of regions and links, leaving
/// targets and ramps.
html previewBody(const config::change_preview &Preview,
                 const std::vector<config::field_change> &Changes,
                 bool HasLoads);

/// \brief Tells that another change came first, with fields and name.
html conflictBody(const store::conflict &Conflict);

/// \brief Table of refused fields: place, submitted value, reason.
html refusedTable(const config::document &Submitted,
                  const base::findings &Findings);

/// \brief Table of blocked requests. \param Form hidden fields and button of
/// each row's form, by fingerprint
html blockedTable(const std::vector<poison::blocked_request> &Blocked,
                  const html &TokenField);

/// \brief Table of seats with a form to free each held one.
html seatsTable(const std::vector<seat_status> &Seats, const html &TokenField);

} // namespace skylarkdyke::operators::detail

#endif
