#ifndef SKYLARKDYKE_CALLERS_DETAIL_LOOKUP_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_LOOKUP_HPP

#include "callers/detail/problem.hpp"
#include "callers/detail/snapshot.hpp"
#include "skylarkdyke/http/server.hpp"

#include <optional>

namespace skylarkdyke::callers::detail {

/// \brief A lookup's answer and how long it may send callers here.
struct lookup_answer {
  answer Answer;
  /// Expiry of an answer that names this entry.
  std::optional<base::wall_time> NamedUntil;
};

/// \brief Names the entries for a service, best first, from the client's
/// region. Only this entry's key prefix is given: a prefix comes from its owner
/// alone, which knows whether it is sealed.
lookup_answer lookUp(const http::server_request &Request,
                     const snapshot &Snapshot);

} // namespace skylarkdyke::callers::detail

#endif
