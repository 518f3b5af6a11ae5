#ifndef SKYLARKDYKE_STORE_DETAIL_BACKOFF_HPP
#define SKYLARKDYKE_STORE_DETAIL_BACKOFF_HPP

#include <chrono>
#include <random>

namespace skylarkdyke::store::detail {

/// \brief Exponential backoff with jitter. The limit of the delay doubles with
/// each failure up to a maximum, and each delay is drawn at random between half
/// the limit and the limit, so that the entries do not all call the store at
/// the same time after an outage.
class backoff {
public:
  /// \param Initial limit of the first delay
  /// \param Max largest limit
  backoff(std::chrono::milliseconds Initial, std::chrono::milliseconds Max)
      : Initial(Initial), Max(Max), NextLimit(Initial),
        Random(std::random_device()()) {}

  /// \brief Returns the delay after another failure.
  std::chrono::milliseconds next() {
    const std::chrono::milliseconds Limit = NextLimit;
    NextLimit = std::min(NextLimit * 2, Max);
    std::uniform_int_distribution<std::int64_t> Delay(Limit.count() / 2,
                                                      Limit.count());
    return std::chrono::milliseconds(Delay(Random));
  }

  /// \brief Restarts at the initial limit, after a success.
  void reset() { NextLimit = Initial; }

private:
  std::chrono::milliseconds Initial;
  std::chrono::milliseconds Max;
  std::chrono::milliseconds NextLimit;
  std::minstd_rand Random;
};

} // namespace skylarkdyke::store::detail

#endif
