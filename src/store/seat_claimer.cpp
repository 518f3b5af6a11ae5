#include "skylarkdyke/store/seat_claimer.hpp"

#include "skylarkdyke/base/event.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace skylarkdyke::store {

using namespace std::chrono_literals;

// Time limit of one call to the store.
static constexpr auto CallTimeout = 1s;
// Time limit of the release, after the release delay.
static constexpr auto ReleaseTimeout = 3s;

struct seat_claimer::impl {
  impl(client &Store, seat_rules Rules, base::incarnation_id Incarnation,
       base::entry_name Entry)
      : Store(Store), Rules(Rules), Incarnation(Incarnation),
        Entry(std::move(Entry)) {}

  void run();
  seat_step nextStep();
  void perform(const read_seat &Step);
  void perform(const write_seat &Step);
  void perform(const wait_until &Step);
  void perform(const seat_done &) {}
  void logChange();
  std::optional<seat_authority> authority() const;

  client &Store;
  seat_rules Rules;
  base::incarnation_id Incarnation;
  base::entry_name Entry;
  mutable std::mutex Mutex;
  std::condition_variable Wake;
  std::optional<seat_state_machine> Machine;
  bool Stopping = false;
  /// Time limit of the release; set when the thread starts to release the seat.
  std::optional<base::boot_time> ReleaseDeadline;
  /// Authority at the last call of logChange().
  std::optional<seat_authority> LastAuthority;
  std::thread Thread;
};

/// Returns the next step, or seat_done when the time limit of the release has
/// passed.
seat_step seat_claimer::impl::nextStep() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const base::boot_time Now = base::boot_clock::now();
  if (Stopping && !ReleaseDeadline) {
    Machine->release(Now);
    ReleaseDeadline = Now + Rules.ReleaseDelay + ReleaseTimeout;
  }
  if (ReleaseDeadline && Now >= *ReleaseDeadline)
    return seat_done{};
  return Machine->next(Now);
}

void seat_claimer::impl::perform(const read_seat &Step) {
  const read_result Result =
      Store.get(seatKey(Step.Seat), base::boot_clock::now() + CallTimeout);
  const std::lock_guard<std::mutex> Lock(Mutex);
  Machine->onRead(base::boot_clock::now(), Result);
}

void seat_claimer::impl::perform(const write_seat &Step) {
  const base::boot_time SentAt = base::boot_clock::now();
  const write_result Result = Store.compareAndSwap(
      seatKey(Step.Seat), Step.Bytes, Step.Index, SentAt + CallTimeout);
  const std::lock_guard<std::mutex> Lock(Mutex);
  Machine->onWrite(SentAt, base::boot_clock::now(), Result);
}

void seat_claimer::impl::perform(const wait_until &Step) {
  std::unique_lock<std::mutex> Lock(Mutex);
  // stop() may have been called since nextStep() returned this step.
  Wake.wait_for(Lock, Step.Time - base::boot_clock::now(),
                [this] { return Stopping && !ReleaseDeadline; });
}

void seat_claimer::impl::logChange() {
  const auto Current = authority();
  const auto Previous = std::exchange(LastAuthority, Current);
  if (Current && (!Previous || Previous->Seat != Current->Seat))
    SKYLARKDYKE_LOG(INFO, SeatClaimed)
        << "seat " << Current->Seat << " by " << Entry.str() << ", incarnation "
        << base::toString(Incarnation);
  if (!Previous || Current)
    return;
  if (base::boot_clock::now() >= Previous->Until)
    SKYLARKDYKE_LOG(WARNING, SeatExpired)
        << "seat " << Previous->Seat << " was not renewed within the lease";
  else if (!ReleaseDeadline)
    SKYLARKDYKE_LOG(WARNING, SeatLost)
        << "seat " << Previous->Seat << " was changed by another writer";
}

void seat_claimer::impl::run() {
  for (;;) {
    const seat_step Step = nextStep();
    logChange();
    if (std::holds_alternative<seat_done>(Step))
      break;
    std::visit([this](const auto &Action) { perform(Action); }, Step);
  }
  SKYLARKDYKE_LOG(INFO, SeatReleased)
      << "seat claimer stopped, entry " << Entry.str();
}

std::optional<seat_authority> seat_claimer::impl::authority() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Machine || Stopping)
    return std::nullopt;
  return Machine->authority(base::boot_clock::now());
}

seat_claimer::seat_claimer(client &Store, seat_rules Rules,
                           base::incarnation_id Incarnation,
                           base::entry_name Entry)
    : Impl(std::make_unique<impl>(Store, Rules, Incarnation,
                                  std::move(Entry))) {}

seat_claimer::~seat_claimer() { stop(); }

void seat_claimer::start(unsigned Seats) {
  {
    const std::lock_guard<std::mutex> Lock(Impl->Mutex);
    if (Impl->Machine)
      return;
    Impl->Machine.emplace(Impl->Rules, Impl->Incarnation, Impl->Entry, Seats);
  }
  Impl->Thread = std::thread([this] { Impl->run(); });
}

void seat_claimer::stop() {
  {
    const std::lock_guard<std::mutex> Lock(Impl->Mutex);
    Impl->Stopping = true;
  }
  Impl->Wake.notify_all();
  if (Impl->Thread.joinable())
    Impl->Thread.join();
}

std::optional<seat_authority> seat_claimer::authority() const {
  return Impl->authority();
}

} // namespace skylarkdyke::store
