#include "entries/detail/request_table.hpp"

namespace skylarkdyke::entries::detail {

// Ids start at a random number, so that a reply to an earlier run of this entry
// matches no request.
request_table::request_table(std::size_t MaxWaiting)
    : MaxWaiting(MaxWaiting), NextId(base::drawIncarnation().Value) {}

std::optional<std::uint64_t> request_table::begin(base::incarnation_id To) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Closed || Waiting.size() >= MaxWaiting)
    return std::nullopt;
  const std::uint64_t Id = NextId++;
  Waiting[Id].To = To;
  return Id;
}

std::optional<reply_message> request_table::wait(std::uint64_t Id,
                                                 base::boot_time Deadline) {
  std::unique_lock<std::mutex> Lock(Mutex);
  const auto Found = Waiting.find(Id);
  while (!Found->second.Done) {
    const auto Left = Deadline - base::boot_clock::now();
    if (Left.count() <= 0)
      break;
    Found->second.Changed.wait_for(Lock, Left);
  }
  std::optional<reply_message> Reply = Found->second.Reply;
  Waiting.erase(Found);
  // A process that was stopped meanwhile wakes up after the deadline.
  if (base::boot_clock::now() >= Deadline)
    return std::nullopt;
  return Reply;
}

bool request_table::resolve(base::incarnation_id From, std::uint64_t Id,
                            const reply_message &Reply) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Waiting.find(Id);
  if (Found == Waiting.end() || Found->second.Done || Found->second.To != From)
    return false;
  Found->second.Reply = Reply;
  Found->second.Done = true;
  Found->second.Changed.notify_one();
  return true;
}

template <typename Predicate> void request_table::failIf(Predicate Matches) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (auto &[Id, Each] : Waiting) {
    if (!Matches(Id, Each))
      continue;
    Each.Done = true;
    Each.Changed.notify_one();
  }
}

void request_table::fail(std::uint64_t Id) {
  failIf([Id](std::uint64_t Each, const waiting &) { return Each == Id; });
}

void request_table::failMember(base::incarnation_id To) {
  failIf([To](std::uint64_t, const waiting &Each) { return Each.To == To; });
}

void request_table::close() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Closed = true;
  }
  failIf([](std::uint64_t, const waiting &) { return true; });
}

} // namespace skylarkdyke::entries::detail
