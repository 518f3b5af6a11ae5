#include "skylarkdyke/net/signal_listener.hpp"

#include <array>
#include <atomic>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read.hpp>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>
#include <vector>

namespace skylarkdyke::net {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

struct received_signal {
  int Signal;
  base::boot_time ArrivedAt;
};

/// Writing end of the pipe from the signal handler to the event loop.
std::atomic<int> HandlerPipe{-1};
static_assert(std::atomic<int>::is_always_lock_free);

} // namespace

/// Only async-signal-safe calls are allowed here.
static void onSignalArrived(int Signal) {
  const int SavedErrno = errno;
  const received_signal Received{Signal, base::boot_clock::now()};
  // The pipe holds thousands of signals; one that does not fit is dropped.
  [[maybe_unused]] const ssize_t Written =
      write(HandlerPipe.load(), &Received, sizeof(Received));
  errno = SavedErrno;
}

struct signal_listener::impl : std::enable_shared_from_this<impl> {
  impl(asio::io_context &Loop, handler OnSignal)
      : Pipe(Loop), OnSignal(std::move(OnSignal)) {}

  void receive() {
    asio::async_read(
        Pipe, asio::buffer(&Received, sizeof(Received)),
        [Self = shared_from_this()](const error_code &Failure, std::size_t) {
          if (Failure)
            return;
          Self->OnSignal(Self->Received.Signal, Self->Received.ArrivedAt);
          Self->receive();
        });
  }

  asio::posix::stream_descriptor Pipe;
  handler OnSignal;
  std::vector<int> Signals;
  received_signal Received{};
};

signal_listener::signal_listener(asio::io_context &Loop,
                                 std::initializer_list<int> Signals,
                                 handler OnSignal)
    : Impl(std::make_shared<impl>(Loop, std::move(OnSignal))) {
  std::array<int, 2> Ends{};
  PCHECK(pipe2(Ends.data(), O_NONBLOCK | O_CLOEXEC) == 0);
  Impl->Pipe.assign(Ends[0]);
  HandlerPipe = Ends[1];
  Impl->Signals = Signals;
  struct sigaction Action {};
  Action.sa_handler = onSignalArrived;
  Action.sa_flags = SA_RESTART;
  for (const int Signal : Signals)
    PCHECK(sigaction(Signal, &Action, nullptr) == 0);
  Impl->receive();
}

signal_listener::~signal_listener() {
  for (const int Signal : Impl->Signals)
    std::signal(Signal, SIG_DFL);
  error_code Ignored;
  Impl->Pipe.close(Ignored);
  close(HandlerPipe.exchange(-1));
}

} // namespace skylarkdyke::net
