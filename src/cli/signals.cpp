#include "skylarkdyke/cli/commands.hpp"

#include <csignal>

namespace skylarkdyke::cli {

static sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

void blockStopSignals() {
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal() {
  const sigset_t Signals = stopSignals();
  int Received = 0;
  sigwait(&Signals, &Received);
}

} // namespace skylarkdyke::cli
