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

/// \brief Outcome of a request as callers are told it.
enum class outcome { Completed, NotRun, Unknown };

/// \brief Text of an outcome in the Request-Outcome header.
const char *toString(outcome Outcome);

/// \brief The caller of begin() is the only one to run the request and calls
/// finish() after it.
struct begin_run {};
/// \brief The same key is being run; ask again later.
struct begin_running {};
/// \brief The key has its final outcome; Answer is meaningful for completed
/// requests.
struct begin_finished {
  outcome Outcome;
  http::response Answer;
};
/// \brief The key must not be run here.
struct begin_refused {
  std::string Reason;
  /// NotRun if the key has not been run and will not be; Unknown if its record
  /// may have been dropped or another incarnation owns the key.
  outcome Outcome = outcome::Unknown;
};
/// \brief The key was used before with another request.
struct begin_mismatch {};

using begin_result = std::variant<begin_run, begin_running, begin_finished,
                                  begin_refused, begin_mismatch>;

/// \brief Keys of one entry incarnation with their states. Pure; not
/// thread-safe.
///
/// A key that is refused for lack of memory has not been run, and stays refused
/// until it has expired: another attempt with it may still be on its way, and
/// must not run after a caller was told that it was not run. Expired keys are
/// never run, also when the wall clock is set back.
class ledger {
public:
  /// \param Self the incarnation whose keys may be run
  /// \param MaxKeys largest number of keys held
  /// \param MaxAnswerBytes largest sum of held answers; beyond it a finished
  /// key is answered as unknown
  ledger(base::incarnation_id Self, std::size_t MaxKeys,
         std::size_t MaxAnswerBytes);
  ~ledger();
  ledger(ledger &&) noexcept;
  ledger &operator=(ledger &&) noexcept;

  /// \brief Decides whether a request may be run.
  /// \param Key its key, of any owner
  /// \param Fingerprint hash of service, method, path and body
  /// \param Now wall clock, for the expiry
  begin_result begin(const idempotency_key &Key, std::uint64_t Fingerprint,
                     base::wall_time Now);

  /// \brief Stores the outcome of a key that begin() gave out to run. A key
  /// that was not run stays not run under this ledger: the caller sends a new
  /// key to try again. Ignored for a key that is not running.
  void finish(const idempotency_key &Key, outcome Outcome,
              http::response Answer, base::wall_time Now);

  /// \brief Ends this incarnation: no key is given out to run any more.
  void seal();
  bool isSealed() const;

  /// \brief Drops keys whose expiry and margin have passed and that are not
  /// running. Linear in the number of keys when there is one to drop.
  void expire(base::wall_time Now);
  std::size_t size() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace skylarkdyke::once

#endif
