#include "entries/detail/request_table.hpp"

namespace skylarkdyke::entries::detail {

// Ids start at a random number, so that a reply to a request of an earlier
// process of this entry matches no pending request.
request_table::request_table(std::size_t MaxPending)
    : MaxPending(MaxPending), NextId(base::generateIncarnation().Value) {}

std::optional<std::uint64_t> request_table::begin(base::incarnation_id To) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Closed || Pending.size() >= MaxPending)
    return std::nullopt;
  const std::uint64_t Id = NextId++;
  Pending[Id].To = To;
  return Id;
}

std::optional<reply_message> request_table::wait(std::uint64_t Id,
                                                 base::boot_time Deadline) {
  std::unique_lock<std::mutex> Lock(Mutex);
  const auto Found = Pending.find(Id);
  while (!Found->second.Done) {
    const auto Remaining = Deadline - base::boot_clock::now();
    if (Remaining.count() <= 0)
      break;
    Found->second.Completed.wait_for(Lock, Remaining);
  }
  std::optional<reply_message> Reply = Found->second.Reply;
  Pending.erase(Found);
  // After a pause of the process, a reply may be found only after the deadline.
  if (base::boot_clock::now() >= Deadline)
    return std::nullopt;
  return Reply;
}

bool request_table::resolve(base::incarnation_id From, std::uint64_t Id,
                            const reply_message &Reply) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Pending.find(Id);
  if (Found == Pending.end() || Found->second.Done || Found->second.To != From)
    return false;
  Found->second.Reply = Reply;
  Found->second.Done = true;
  Found->second.Completed.notify_one();
  return true;
}

template <typename Predicate> void request_table::failIf(Predicate Matches) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (auto &[Id, Request] : Pending) {
    if (!Matches(Id, Request))
      continue;
    Request.Done = true;
    Request.Completed.notify_one();
  }
}

void request_table::fail(std::uint64_t Id) {
  failIf([Id](std::uint64_t PendingId, const pending_request &) {
    return PendingId == Id;
  });
}

void request_table::failMember(base::incarnation_id To) {
  failIf([To](std::uint64_t, const pending_request &Request) {
    return Request.To == To;
  });
}

void request_table::close() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Closed = true;
  }
  failIf([](std::uint64_t, const pending_request &) { return true; });
}

} // namespace skylarkdyke::entries::detail
