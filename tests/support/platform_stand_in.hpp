#ifndef SKYLARKDYKE_TESTS_SUPPORT_PLATFORM_STAND_IN_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_PLATFORM_STAND_IN_HPP

#include "skylarkdyke/base/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace test_support {

/// \brief How the store of a stand-in breaks its promises.
enum class store_fault {
  None,
  /// Each page of a listing is the first one, and says that more follow.
  RepeatsPages,
  /// The last item of each page but the last has a number in place of its key.
  HidesKeys,
  /// Each watch is answered 410.
  ForgetsHistory,
  /// Each watch without changes is answered at once.
  EndsWatches,
};

/// \brief Calls that a store has received.
struct store_calls {
  int Lists = 0;
  int Watches = 0;
};

/// \brief Stand-in for the platform: its store and some targets, on a thread of
/// its own. All calls are thread-safe.
class platform_stand_in {
public:
  platform_stand_in();
  ~platform_stand_in();
  platform_stand_in(const platform_stand_in &) = delete;
  platform_stand_in &operator=(const platform_stand_in &) = delete;

  skylarkdyke::base::endpoint storeAddress() const;

  /// \brief Writes an item; watches see it.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  /// \brief Value of an item; empty if there is none.
  std::string valueOf(const std::string &Key) const;

  /// \brief Lease of an item; 0 if it has none.
  std::uint64_t leaseOf(const std::string &Key) const;
  std::uint64_t revision() const;

  /// \brief Copies the content of the store, for returnFromCopy().
  void takeCopy();

  /// \brief Closes all connections of the store; until its return it refuses
  /// new ones. Items can still be written.
  void goAway();

  /// \brief Ends goAway() with the content, revision and leases of the copy,
  /// in the next era and without the changes before the copy.
  /// \param BeforeFirstCall runs before the store accepts connections
  void returnFromCopy(const std::function<void()> &BeforeFirstCall = {});

  /// \brief Ends goAway() with nothing lost.
  void returnWithAll();

  /// \brief From now on a page of a listing has at most this many items.
  void setPageSize(std::size_t ItemCount);
  void setFault(store_fault Fault);
  store_calls calls() const;

  /// \brief Replaces a text in all listings and events that the store sends.
  void replaceInAnswers(const std::string &Text, const std::string &Bytes);

  /// \brief From now on the store answers 503 to everybody.
  void turnAllAway();

  /// \brief Leaves all waiting watch calls without an answer for good. Their
  /// connections stay open, and new calls are answered.
  void silenceWaitingWatches();

  /// \brief Until answerAgain(), the store answers nothing. Calls of that time
  /// are never answered, and their connections stay open.
  void fallSilent();
  void answerAgain();
  /// \brief Returns how many watch calls have arrived during silences.
  std::size_t silencedWatches() const;

  /// \brief Starts a target and registers it.
  /// \param Work time that each request takes
  void addTarget(const std::string &Id, const std::string &Service,
                 const std::string &Zone, std::chrono::milliseconds Work);

  /// \brief From now on the target closes each connection in place of an
  /// answer, after it has run the request.
  void loseAnswers(const std::string &Id);

  /// \brief From now on the target says in all its responses that it leaves.
  /// Its record in the store stays as it is.
  void startLeaving(const std::string &Id);

  /// \brief From now on the target refuses each request without running it.
  /// \param RetryAfter value of the Retry-After field of the refusals; empty to
  /// accept requests again
  void refuseRequests(const std::string &Id, const std::string &RetryAfter);

  /// \brief Registers a target that runs each request and then sends Start and
  /// Piece without end in place of an answer.
  void addFloodingTarget(const std::string &Id, const std::string &Service,
                         const std::string &Zone, const std::string &Start,
                         const std::string &Piece);

  /// \brief Registers a target whose address refuses connections.
  void addUnreachableTarget(const std::string &Id, const std::string &Service,
                            const std::string &Zone);

  /// \brief Registers a target again in another state.
  void setState(const std::string &Id, const std::string &State);

  /// \brief How often each request id has run, over all targets.
  std::map<std::string, int> runs() const;

  /// \brief Requests that a target has run.
  int runsAt(const std::string &Id) const;

  /// \brief Requests that have arrived at a target, refused ones included.
  int arrivalsAt(const std::string &Id) const;

  /// \brief Requests of callers that have arrived at a target: all but health
  /// checks.
  int callerRequestsAt(const std::string &Id) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace test_support

#endif
