#ifndef SKYLARKDYKE_STORE_DETAIL_BACKOFF_HPP
#define SKYLARKDYKE_STORE_DETAIL_BACKOFF_HPP

#include <chrono>
#include <random>

namespace skylarkdyke::store::detail {

/// \brief Pauses between attempts that fail: they double up to a limit, and a
/// random half keeps the entries from calling the store in step after an
/// outage.
class backoff {
public:
  backoff(std::chrono::milliseconds First, std::chrono::milliseconds Most)
      : First(First), Most(Most), Next(First), Random(std::random_device()()) {}

  /// \brief The pause after another failure.
  std::chrono::milliseconds next() {
    const std::chrono::milliseconds Limit = Next;
    Next = std::min(Next * 2, Most);
    std::uniform_int_distribution<std::int64_t> Pause(Limit.count() / 2,
                                                      Limit.count());
    return std::chrono::milliseconds(Pause(Random));
  }

  /// \brief Starts over after a success.
  void reset() { Next = First; }

private:
  std::chrono::milliseconds First;
  std::chrono::milliseconds Most;
  std::chrono::milliseconds Next;
  std::minstd_rand Random;
};

} // namespace skylarkdyke::store::detail

#endif
