#include "support/paced_callers.hpp"

#include <unistd.h>
#include <utility>

namespace test_support {

using namespace skylarkdyke;
using std::chrono::milliseconds;

paced_callers::paced_callers(std::vector<base::endpoint> Fronts,
                             milliseconds MeanInterval, milliseconds Limit,
                             std::uint64_t Seed)
    : Fronts(std::move(Fronts)), LimitMs(std::to_string(Limit.count())) {
  for (std::size_t Entry = 0; Entry < this->Fronts.size(); ++Entry)
    Threads.emplace_back([this, Entry, MeanInterval, Seed] {
      run(Entry, MeanInterval, Seed * 1000 + Entry);
    });
}

paced_callers::~paced_callers() {
  Stopped = true;
  for (std::thread &Thread : Threads)
    Thread.join();
}

void paced_callers::pauseUntil(base::boot_time Time) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  PausedUntil = Time;
}

void paced_callers::awaitEndOfPause() const {
  base::boot_time Until;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Until = PausedUntil;
  }
  std::this_thread::sleep_until(Until);
}

std::string paced_callers::requestBytes(std::size_t Entry,
                                        unsigned Number) const {
  const std::string Id = std::to_string(Entry) + "-" + std::to_string(Number);
  return "GET /safe/" + Id +
         " HTTP/1.1\r\nHost: h.example\r\nSkylarkdyke-Request-Id: " + Id +
         "\r\nSkylarkdyke-Request-Deadline: " + LimitMs + "\r\n\r\n";
}

void paced_callers::run(std::size_t Entry, milliseconds MeanInterval,
                        std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::uniform_int_distribution<milliseconds::rep> Pause(
      0, 2 * MeanInterval.count());
  int Socket = -1;
  std::string Buffer;
  for (unsigned Number = 0; !Stopped; ++Number) {
    std::this_thread::sleep_for(milliseconds(Pause(Random)));
    awaitEndOfPause();
    if (Socket < 0)
      Socket = connectTo(Fronts[Entry]);
    if (Socket < 0)
      continue;
    const auto SentAt = base::boot_clock::now();
    sendBytes(Socket, requestBytes(Entry, Number));
    const caller_result Result = readResponse(Socket, Buffer);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Requests.push_back({Entry, SentAt, base::boot_clock::now(), Result});
    }
    if (Result.End == request_end::Answered && !Result.Closes)
      continue;
    close(Socket);
    Socket = -1;
    Buffer.clear();
  }
  if (Socket >= 0)
    close(Socket);
}

std::vector<paced_request>
paced_callers::requestsSince(base::boot_time From) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<paced_request> Found;
  for (const paced_request &Request : Requests)
    if (Request.SentAt >= From)
      Found.push_back(Request);
  return Found;
}

} // namespace test_support
