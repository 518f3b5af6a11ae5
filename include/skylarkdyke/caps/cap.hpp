#ifndef SKYLARKDYKE_CAPS_CAP_HPP
#define SKYLARKDYKE_CAPS_CAP_HPP

#include "skylarkdyke/base/names.hpp"

#include <chrono>
#include <cstdint>
#include <tuple>
#include <variant>
#include <vector>

namespace skylarkdyke::caps {

/// \brief Cap on the requests per second into a region.
struct region_cap {
  base::region_name Region;

  friend bool operator<(const region_cap &Left, const region_cap &Right) {
    return Left.Region < Right.Region;
  }
  friend bool operator==(const region_cap &Left, const region_cap &Right) {
    return Left.Region == Right.Region;
  }
};

/// \brief Cap on the bits per second in one direction between two regions.
struct link_cap {
  base::region_name From;
  base::region_name To;

  friend bool operator<(const link_cap &Left, const link_cap &Right) {
    return std::tie(Left.From, Left.To) < std::tie(Right.From, Right.To);
  }
  friend bool operator==(const link_cap &Left, const link_cap &Right) {
    return Left.From == Right.From && Left.To == Right.To;
  }
};

using cap_id = std::variant<region_cap, link_cap>;

/// Window over which every cap holds.
inline constexpr std::chrono::seconds CapWindow{1};

/// Longest loan. Long enough for a renewal every second to be lost once, short
/// enough for a lender to get its share back soon.
inline constexpr std::chrono::milliseconds LoanLength{2000};

/// What a lender waits beyond the loan and the window, because the clocks of
/// two machines run at rates that differ by up to some 100 ppm.
inline constexpr std::chrono::milliseconds ClockRateMargin{10};

/// After this time no unit that a seat's former holder took or lent is in use
/// any more, so another entry may use the seat's share.
inline constexpr std::chrono::milliseconds SeatHandoverDelay =
    LoanLength + CapWindow + ClockRateMargin;

/// \brief What one request takes from one cap: 1 for a region, bits for a link.
struct demand {
  cap_id Cap;
  std::uint64_t Amount = 0;
};

/// \brief Asks a peer for a share of a cap. The sender keeps the time at which
/// it asked.
struct loan_request {
  std::uint64_t RequestId = 0;
  cap_id Cap;
  /// Units per CapWindow.
  std::uint64_t Amount = 0;
  /// Request id of the borrower's loan that this one replaces, or 0. It goes to
  /// the peer that granted that loan; any other peer lends anew, which is safe
  /// but keeps the old amount unused until its end.
  std::uint64_t Renews = 0;
};

/// \brief Lends a share of a cap for a limited time.
struct loan_grant {
  std::uint64_t RequestId = 0;
  cap_id Cap;
  /// Units per CapWindow.
  std::uint64_t Amount = 0;
  /// The borrower counts it from the instant of its request, the lender from
  /// that of the grant.
  std::chrono::milliseconds Length{0};
};

} // namespace skylarkdyke::caps

#endif
