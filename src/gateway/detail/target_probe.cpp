#include "gateway/detail/target_probe.hpp"

#include <array>
#include <boost/asio/error.hpp>
#include <chrono>
#include <utility>

namespace skylarkdyke::gateway::detail {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

/// Time before each connection. A process that ends may take a moment until it
/// no longer listens; one that restarts takes longer than all of them.
static constexpr std::array<milliseconds, 4> Delays = {
    milliseconds(100), milliseconds(120), milliseconds(250), milliseconds(500)};
static constexpr milliseconds ConnectTimeout{300};

target_probe::target_probe(boost::asio::io_context &Loop,
                           const base::endpoint &Target,
                           refusal_handler OnRefused)
    : Socket(Loop), Timer(Loop), Target(Target),
      OnRefused(std::move(OnRefused)) {}

void target_probe::start(boost::asio::io_context &Loop,
                         const base::endpoint &Target,
                         refusal_handler OnRefused) {
  std::make_shared<target_probe>(Loop, Target, std::move(OnRefused))
      ->scheduleNext();
}

void target_probe::scheduleNext() {
  if (Connections == Delays.size())
    return;
  Timer.set(base::boot_clock::now() + Delays.at(Connections++),
            [Self = shared_from_this()] { Self->connect(); });
}

void target_probe::connect() {
  error_code Failure;
  const auto Address = boost::asio::ip::make_address(Target.Address, Failure);
  if (!Failure)
    Socket.open(tcp::v4(), Failure);
  if (Failure)
    return;
  Socket.async_connect(tcp::endpoint(Address, Target.Port),
                       [Self = shared_from_this()](const error_code &Result) {
                         Self->onConnected(Result);
                       });
  Timer.set(base::boot_clock::now() + ConnectTimeout,
            [Self = shared_from_this()] {
              error_code Ignored;
              Self->Socket.close(Ignored);
            });
}

void target_probe::onConnected(const error_code &Result) {
  Timer.cancel();
  error_code Ignored;
  Socket.close(Ignored);
  // A target that accepts may have restarted; its record tells.
  if (!Result)
    return;
  const bool Refused = Result == boost::asio::error::connection_refused;
  if (!Refused || OnRefused(base::boot_clock::now()))
    scheduleNext();
}

} // namespace skylarkdyke::gateway::detail
