#include "skylarkdyke/store/seat_claimer.hpp"

#include "skylarkdyke/base/event.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace skylarkdyke::store {

using namespace std::chrono_literals;

static constexpr auto CallTime = 1s;
static constexpr auto MaxReleaseTime = 3s;

struct seat_claimer::impl {
  impl(client &Store, seat_rules Rules, base::incarnation_id Incarnation,
       base::entry_name Entry)
      : Store(Store), Rules(Rules), Incarnation(Incarnation),
        Entry(std::move(Entry)) {}

  void run();
  seat_step takeStep();
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
  std::optional<seat_machine> Machine;
  bool Stopping = false;
  /// Set when the thread has begun to release the seat.
  std::optional<base::boot_time> GiveUpAt;
  std::optional<seat_authority> Logged;
  std::thread Thread;
};

/// Takes the next step; seat_done when the time for the release has passed.
seat_step seat_claimer::impl::takeStep() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const base::boot_time Now = base::boot_clock::now();
  if (Stopping && !GiveUpAt) {
    Machine->release(Now);
    GiveUpAt = Now + Rules.QuietTime + MaxReleaseTime;
  }
  if (GiveUpAt && Now >= *GiveUpAt)
    return seat_done{};
  return Machine->next(Now);
}

void seat_claimer::impl::perform(const read_seat &Step) {
  const read_result Result =
      Store.get(seatKey(Step.Seat), base::boot_clock::now() + CallTime);
  const std::lock_guard<std::mutex> Lock(Mutex);
  Machine->onRead(base::boot_clock::now(), Result);
}

void seat_claimer::impl::perform(const write_seat &Step) {
  const base::boot_time SentAt = base::boot_clock::now();
  const write_result Result = Store.compareAndSwap(
      seatKey(Step.Seat), Step.Bytes, Step.Index, SentAt + CallTime);
  const std::lock_guard<std::mutex> Lock(Mutex);
  Machine->onWrite(SentAt, base::boot_clock::now(), Result);
}

void seat_claimer::impl::perform(const wait_until &Step) {
  std::unique_lock<std::mutex> Lock(Mutex);
  // stop() may have been called since the step was taken.
  Wake.wait_for(Lock, Step.Time - base::boot_clock::now(),
                [this] { return Stopping && !GiveUpAt; });
}

void seat_claimer::impl::logChange() {
  const auto Current = authority();
  const auto Before = std::exchange(Logged, Current);
  if (Current && (!Before || Before->Seat != Current->Seat))
    SKYLARKDYKE_LOG(INFO, SeatClaimed)
        << "seat " << Current->Seat << " by " << Entry.str() << ", incarnation "
        << base::toString(Incarnation);
  if (!Before || Current)
    return;
  if (base::boot_clock::now() >= Before->Until)
    SKYLARKDYKE_LOG(WARNING, SeatExpired)
        << "seat " << Before->Seat << " was not renewed within the lease";
  else if (!GiveUpAt)
    SKYLARKDYKE_LOG(WARNING, SeatLost)
        << "seat " << Before->Seat << " was changed by another writer";
}

void seat_claimer::impl::run() {
  for (;;) {
    const seat_step Step = takeStep();
    logChange();
    if (std::holds_alternative<seat_done>(Step))
      break;
    std::visit([this](const auto &Each) { perform(Each); }, Step);
  }
  SKYLARKDYKE_LOG(INFO, SeatReleased) << "seat claimer of " << Entry.str();
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
