#include "skylarkdyke/net/one_shot_timer.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>

namespace skylarkdyke::net {

struct one_shot_timer::impl {
  explicit impl(boost::asio::io_context &Loop) : Timer(Loop) {}

  boost::asio::steady_timer Timer;
  /// Number of the current wait; the handlers of earlier waits do nothing.
  std::uint64_t WaitId = 0;
};

one_shot_timer::one_shot_timer(boost::asio::io_context &Loop)
    : Impl(std::make_shared<impl>(Loop)) {}

one_shot_timer::~one_shot_timer() { cancel(); }

void one_shot_timer::set(base::boot_time Until,
                         std::function<void()> Callback) {
  const std::uint64_t Id = ++Impl->WaitId;
  Impl->Timer.expires_after(std::max(Until - base::boot_clock::now(),
                                     base::boot_clock::duration::zero()));
  Impl->Timer.async_wait([State = Impl, Id, Callback = std::move(Callback)](
                             const boost::system::error_code &Failure) {
    if (!Failure && Id == State->WaitId)
      Callback();
  });
}

void one_shot_timer::cancel() {
  ++Impl->WaitId;
  boost::system::error_code Ignored;
  Impl->Timer.cancel(Ignored);
}

} // namespace skylarkdyke::net
