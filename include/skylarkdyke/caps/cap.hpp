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

/// Length of the sliding window over which every cap is enforced.
inline constexpr std::chrono::seconds CapWindow{1};

/// Maximum duration of a loan. Long enough that a loan renewed every second
/// survives one lost renewal, short enough that a lender soon gets its share
/// back.
inline constexpr std::chrono::milliseconds MaxLoanDuration{2000};

/// Time that a lender waits after the end of the loan and the window before it
/// uses the amount again, because the clock rates of two machines differ by up
/// to about 100 ppm.
inline constexpr std::chrono::milliseconds ClockRateMargin{10};

/// Time from the end of an entry's use of a seat until no unit that the entry
/// used or lent counts any more. After it, another entry may use the seat's
/// share.
inline constexpr std::chrono::milliseconds SeatHandoverDelay =
    MaxLoanDuration + CapWindow + ClockRateMargin;

/// \brief Amount that one request uses of one cap: 1 for a region cap, the
/// number of bits for a link cap.
struct demand {
  cap_id Cap;
  std::uint64_t Amount = 0;
};

/// \brief Message that requests a loan of a share of a cap from a peer. The
/// sender stores the time of the request.
struct loan_request {
  std::uint64_t RequestId = 0;
  cap_id Cap;
  /// Units per CapWindow.
  std::uint64_t Amount = 0;
  /// Request id of the borrower's loan that this request renews, or 0. A
  /// renewal is sent to the peer that granted the loan. Any other peer grants a
  /// new loan, which is safe but leaves the old amount unused until it expires.
  std::uint64_t Renews = 0;
};

/// \brief Message that grants a loan of a share of a cap for a limited time.
struct loan_grant {
  std::uint64_t RequestId = 0;
  cap_id Cap;
  /// Units per CapWindow.
  std::uint64_t Amount = 0;
  /// Duration of the loan. The borrower counts it from the time of its request,
  /// the lender from the time of the grant.
  std::chrono::milliseconds Duration{0};
};

} // namespace skylarkdyke::caps

#endif
