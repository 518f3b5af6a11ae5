#ifndef SKYLARKDYKE_CALLERS_DETAIL_KEY_ADMISSION_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_KEY_ADMISSION_HPP

#include "callers/detail/request_context.hpp"
#include "skylarkdyke/callers/counters.hpp"
#include "skylarkdyke/callers/dependencies.hpp"

#include <condition_variable>
#include <mutex>
#include <variant>
#include <vector>

namespace skylarkdyke::callers::detail {

/// \brief The request may be run once. finish() must be called with its
/// answer.
struct run_permit {};
/// \brief Another entry incarnation owns the key, so its entry must decide.
struct foreign_owner {};
/// \brief Decision about a request with a key. An answer is final and goes to
/// the caller.
using admission_result = std::variant<run_permit, foreign_owner, answer>;

/// \brief Ensures that the request with an idempotency key of this entry's
/// incarnations runs at most once. Thread-safe.
class key_admission {
public:
  /// Maximum number of keys of one incarnation. At 700 requests with a key per
  /// second and a key lifetime of 43 s, a third is in use.
  static constexpr std::size_t MaxKeys = 100'000;
  /// Maximum bytes of stored answers: half of the memory that the control
  /// functions may use on an instance.
  static constexpr std::size_t MaxAnswerBytes = std::size_t{16} << 20U;
  /// Longest wait for a reply of the witness.
  static constexpr std::chrono::milliseconds WitnessTimeout{250};

  key_admission(const dependencies &Dependencies, counters &Counters);

  /// \brief Decides from the ledger whether a request may run. If a request
  /// with the same key is running, waits for its outcome until the deadline.
  admission_result admit(const request_context &Context);

  /// \brief Has the key's witness record the intent to run the request. Called
  /// between admit() and the first attempt. Blocks for up to WitnessTimeout.
  /// \return nothing if the request may be sent, or the answer that refuses it
  std::optional<answer> recordIntent(const request_context &Context);

  /// \brief Stores the final answer of a request that admit() permitted to run,
  /// and wakes the threads that wait for it.
  void finish(const request_context &Context, const answer &Answer);

  /// \brief Has the witness seal the unreachable owner of a foreign key. Blocks
  /// for up to WitnessTimeout.
  /// \return the answer with the outcome that the seal result implies
  answer sealOwner(const request_context &Context);

private:
  struct owned_ledger {
    base::incarnation_id Incarnation;
    once::ledger Ledger;
    /// Instant from which all keys of a replaced incarnation have expired.
    base::wall_time ExpiresAt = base::wall_time::max();
  };

  once::ledger *findLedger(base::incarnation_id Owner);
  void replaceIncarnation(base::incarnation_id Next);

  const dependencies &Dependencies;
  counters &Counters;
  std::mutex Mutex;
  std::condition_variable OutcomeAvailable;
  /// The last ledger belongs to the current incarnation. Ledgers of replaced
  /// incarnations are sealed and only return the outcomes of their keys.
  std::vector<owned_ledger> Ledgers;
};

} // namespace skylarkdyke::callers::detail

#endif
