#ifndef SKYLARKDYKE_ONCE_LEDGER_HPP
#define SKYLARKDYKE_ONCE_LEDGER_HPP

#include "skylarkdyke/base/clock.hpp"
#include "skylarkdyke/http/message.hpp"
#include "skylarkdyke/once/key.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace skylarkdyke::once {

/// \brief Outcome of a request as reported to its caller.
enum class outcome { Completed, NotRun, Unknown };

/// \brief Value of the Request-Outcome header for an outcome.
const char *toString(outcome Outcome);

/// \brief The caller of begin() must run the request, as the only one to do so,
/// and call finish() afterwards.
struct begin_accepted {};
/// \brief A request with the same key is in progress; the caller may retry
/// later.
struct begin_in_progress {};
/// \brief The key has its final outcome. Answer holds the stored response if
/// the outcome is Completed.
struct begin_finished {
  outcome Outcome;
  http::response Answer;
};
/// \brief The request must not be run by this entry.
struct begin_refused {
  std::string Reason;
  /// NotRun if the request has not been run and never will be; Unknown if its
  /// record may have been dropped or another incarnation owns the key.
  outcome Outcome = outcome::Unknown;
};
/// \brief The key has already been used for a different request.
struct begin_mismatch {};

using begin_result =
    std::variant<begin_accepted, begin_in_progress, begin_finished,
                 begin_refused, begin_mismatch>;

/// \brief Idempotency keys of one entry incarnation and the state of their
/// requests. Ensures that the request of a key is run at most once.
///
/// A key that was refused for lack of memory has not been run and stays refused
/// until it expires: another attempt with the key may still arrive, and must
/// not run after the caller received the outcome NotRun. Requests with expired
/// keys are never run, even if the wall clock is set back. Does no I/O and
/// reads no clock. Not thread-safe.
class ledger {
public:
  /// \param Self incarnation whose keys are accepted
  /// \param MaxKeys maximum number of keys stored
  /// \param MaxAnswerBytes maximum total size of stored responses in bytes;
  /// beyond it, a completed key has the outcome Unknown
  ledger(base::incarnation_id Self, std::size_t MaxKeys,
         std::size_t MaxAnswerBytes);
  ~ledger();
  ledger(ledger &&) noexcept;
  ledger &operator=(ledger &&) noexcept;

  /// \brief Decides whether a request may be run.
  /// \param Key key of the request, of any owner
  /// \param Fingerprint hash of service, method, path and body
  /// \param Now wall clock, for the expiry
  begin_result begin(const idempotency_key &Key, std::uint64_t Fingerprint,
                     base::wall_time Now);

  /// \brief Stores the final outcome of a key for which begin() returned
  /// begin_accepted. The outcome NotRun is final as well: the caller must use a
  /// new key to try again. Has no effect for a key whose request is not in
  /// progress.
  void finish(const idempotency_key &Key, outcome Outcome,
              http::response Answer, base::wall_time Now);

  /// \brief Ends this incarnation: begin() refuses all new keys from now on.
  void seal();
  bool isSealed() const;

  /// \brief Drops keys that expired more than ExpiryMargin ago and whose
  /// request is not in progress.
  /// Complexity: O(n) for n keys if a key is due to be dropped, else O(1).
  void expire(base::wall_time Now);
  /// \brief Number of keys stored.
  std::size_t size() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::once

#endif
