#ifndef SKYLARKDYKE_QUOTAS_MESSAGES_HPP
#define SKYLARKDYKE_QUOTAS_MESSAGES_HPP

#include "skylarkdyke/base/endpoint.hpp"
#include "skylarkdyke/quotas/token_limit.hpp"

#include <cstddef>
#include <cstdint>

namespace skylarkdyke::quotas {

/// Maximum number of teams in a message.
inline constexpr std::size_t MaxTeamsPerMessage = 128;

/// \brief What a request changes in the delegation of the sender's part.
enum class delegation_change {
  None,
  /// The pool has the sender's part for the time of a lease from now on.
  Renew,
  /// The pool does not have it any more once it has responded.
  Withdraw,
};

/// \brief Request of an entry for tokens of a pool.
struct token_request {
  /// Mesh address of the sender.
  base::endpoint From;
  /// Increases with each request of the sender.
  std::uint32_t Sequence = 0;
  delegation_change Delegation = delegation_change::None;
  token_amounts Wanted{};
};

/// \brief Response to a request that wants tokens or withdraws a delegation.
struct token_grant {
  std::uint32_t Sequence = 0;
  token_amounts Granted{};
};

} // namespace skylarkdyke::quotas

#endif
