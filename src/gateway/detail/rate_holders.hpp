#ifndef SKYLARKDYKE_GATEWAY_DETAIL_RATE_HOLDERS_HPP
#define SKYLARKDYKE_GATEWAY_DETAIL_RATE_HOLDERS_HPP

#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/membership/member_table.hpp"
#include "skylarkdyke/placement/send_slots.hpp"

namespace skylarkdyke::gateway::detail {

/// \brief Returns how the entries of the own region divide the rates of
/// targets, without what concerns other regions.
/// \param OwnMesh mesh address of this entry
placement::rate_division
rateDivisionOf(const membership::limit_division &Division,
               const base::endpoint &OwnMesh);

} // namespace skylarkdyke::gateway::detail

#endif
