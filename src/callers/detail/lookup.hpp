#ifndef SKYLARKDYKE_CALLERS_DETAIL_LOOKUP_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_LOOKUP_HPP

#include "callers/detail/problem.hpp"
#include "callers/detail/snapshot.hpp"
#include "skylarkdyke/http/server.hpp"

#include <optional>

namespace skylarkdyke::callers::detail {

/// \brief Answer to a lookup, and how long callers may use it to reach this
/// entry.
struct lookup_answer {
  answer Answer;
  /// Expiry of the answer if it names this entry.
  std::optional<base::wall_time> AdvertisedUntil;
};

/// \brief Answers a lookup with the entries for a service, ordered by
/// preference for the client's region. Only this entry gets a key prefix in the
/// answer: a prefix must come from its owner, because only the owner knows
/// whether its incarnation is sealed.
lookup_answer lookUp(const http::server_request &Request,
                     const snapshot &Snapshot);

} // namespace skylarkdyke::callers::detail

#endif
