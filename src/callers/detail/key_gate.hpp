#ifndef SKYLARKDYKE_CALLERS_DETAIL_KEY_GATE_HPP
#define SKYLARKDYKE_CALLERS_DETAIL_KEY_GATE_HPP

#include "callers/detail/request_context.hpp"
#include "skylarkdyke/callers/counters.hpp"
#include "skylarkdyke/callers/dependencies.hpp"

#include <condition_variable>
#include <mutex>
#include <variant>
#include <vector>

namespace skylarkdyke::callers::detail {

/// \brief The request may be run, once. finish() must follow.
struct run_permit {};
/// \brief Another entry incarnation owns the key.
struct foreign_key {};
/// \brief What a key allows; an answer is final.
using admission = std::variant<run_permit, foreign_key, answer>;

/// \brief Lets each key of this entry's incarnations run at most once.
/// Thread-safe.
class key_gate {
public:
  /// Keys of one incarnation. At 700 requests with a key per second and a life
  /// of 43 s, a third is in use.
  static constexpr std::size_t MaxKeys = 100'000;
  /// Half of the memory that control may use on a node.
  static constexpr std::size_t MaxAnswerBytes = std::size_t{16} << 20U;
  /// Longest wait for the witness.
  static constexpr std::chrono::milliseconds IntentLimit{250};

  key_gate(const dependencies &Dependencies, counters &Counters);

  /// \brief Asks the ledger about a key. Waits for the outcome of a key that is
  /// running, until the request's deadline.
  admission admit(const request_context &Context);

  /// \brief Asks the key's witness to record the intent. Called between admit()
  /// and the first attempt.
  /// \return nothing if the request may be sent, or the answer that refuses it
  std::optional<answer> recordIntent(const request_context &Context);

  /// \brief Stores the final answer of a key that admit() gave out to run, and
  /// wakes those that wait for it.
  void finish(const request_context &Context, const answer &Answer);

  /// \brief Has the witness seal the owner of a foreign key, which cannot be
  /// reached. \return what that tells about the request
  answer sealOwner(const request_context &Context);

private:
  struct owned_ledger {
    base::incarnation_id Incarnation;
    once::ledger Ledger;
    /// Instant from which no key of a replaced incarnation is asked for.
    base::wall_time DropAt = base::wall_time::max();
  };

  once::ledger *find(base::incarnation_id Owner);
  void replaceIncarnation(base::incarnation_id Next);

  const dependencies &Dependencies;
  counters &Counters;
  std::mutex Mutex;
  std::condition_variable Finished;
  /// The last one is of the current incarnation. Replaced ones are sealed and
  /// only tell the outcomes of their keys.
  std::vector<owned_ledger> Ledgers;
};

} // namespace skylarkdyke::callers::detail

#endif
