// Detection time and mistake rate of the failure detectors. Replays synthetic
// heartbeat arrivals over a TCP connection: a lost segment arrives after the
// retransmission timeout and holds back the later ones. The sender pauses at
// random and then continues its sequence.

#include "skylarkdyke/steering/failure_detector.hpp"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <random>
#include <string>
#include <vector>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using std::chrono::nanoseconds;
using float_ms = std::chrono::duration<double, std::milli>;

static constexpr nanoseconds Interval = 200ms;
static constexpr nanoseconds Observed = 1h;
static constexpr unsigned Seeds = 7;
static constexpr std::size_t CrashEvery = 37;
/// Smallest retransmission timeout of Linux, which is added to the round trip.
static constexpr nanoseconds RetransmitFloor = 200ms;
static constexpr double PausesPerHour = 60;
static constexpr double MeanPauseMs = 150;
static constexpr double MeanJitterMs = 1;

namespace {

struct arrival {
  std::uint64_t Sequence;
  base::boot_time Sent;
  base::boot_time Arrived;
};

struct conditions {
  nanoseconds RoundTrip;
  double Loss;
};

struct quality {
  double MedianDetectionMs;
  double P99DetectionMs;
  double MistakesPerHour;
};

struct candidate {
  std::string Name;
  steering::failure_detector Detector;
};

} // namespace

static nanoseconds exponential(std::mt19937_64 &Random, double MeanMs) {
  return std::chrono::duration_cast<nanoseconds>(
      float_ms(std::exponential_distribution<double>(1 / MeanMs)(Random)));
}

static std::vector<arrival> makeArrivals(const conditions &Conditions,
                                         unsigned Seed) {
  std::mt19937_64 Random(Seed);
  std::bernoulli_distribution Lost(Conditions.Loss);
  std::bernoulli_distribution Pauses(PausesPerHour * float_ms(Interval) /
                                     float_ms(1h));
  std::vector<arrival> Arrivals;
  base::boot_time Sent(1h);
  const base::boot_time End = Sent + Observed;
  base::boot_time Previous = Sent;
  for (std::uint64_t Sequence = 1; Sent < End; ++Sequence) {
    nanoseconds Delay =
        Conditions.RoundTrip / 2 + exponential(Random, MeanJitterMs);
    nanoseconds Timeout = Conditions.RoundTrip + RetransmitFloor;
    for (; Lost(Random); Timeout *= 2)
      Delay += Timeout;
    Previous = std::max(Previous, Sent + Delay);
    Arrivals.push_back({Sequence, Sent, Previous});
    Sent += Interval;
    if (Pauses(Random))
      Sent += exponential(Random, MeanPauseMs);
  }
  return Arrivals;
}

/// First instant from which the process is suspected if nothing more arrives.
static base::boot_time suspectedFrom(const steering::failure_detector &Detector,
                                     base::boot_time After) {
  base::boot_time Low = After;
  base::boot_time High = After + 60s;
  while (High - Low > 10us) {
    const base::boot_time Middle = Low + (High - Low) / 2;
    (suspects(Detector, Middle) ? High : Low) = Middle;
  }
  return High;
}

static double quantile(std::vector<double> Values, double Fraction) {
  std::sort(Values.begin(), Values.end());
  const auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Fraction * Last)];
}

static quality replay(const std::vector<arrival> &Arrivals,
                      steering::failure_detector Detector, unsigned Seed) {
  std::mt19937_64 Random(Seed);
  std::uniform_real_distribution<double> Any(0, 1);
  std::vector<double> Detections;
  unsigned Mistakes = 0;
  // The detectors first learn for 5 s.
  constexpr std::size_t Learning = 25;
  for (std::size_t I = 0; I + 1 < Arrivals.size(); ++I) {
    heartbeat(Detector, Arrivals[I].Sequence, Arrivals[I].Arrived);
    if (I < Learning)
      continue;
    if (suspects(Detector, Arrivals[I + 1].Arrived - 1ns))
      ++Mistakes;
    if (I % CrashEvery != 0)
      continue;
    const float_ms UntilNext = Arrivals[I + 1].Sent - Arrivals[I].Sent;
    const float_ms SinceSent =
        base::boot_time(suspectedFrom(Detector, Arrivals[I].Arrived)) -
        Arrivals[I].Sent;
    const double Crash = Any(Random) * UntilNext.count();
    Detections.push_back(std::max(0.0, SinceSent.count() - Crash));
  }
  return {quantile(Detections, 0.5), quantile(Detections, 0.99),
          Mistakes / (float_ms(Observed) / float_ms(1h))};
}

static void measure(const conditions &Conditions, const candidate &Candidate) {
  std::vector<double> Medians;
  std::vector<double> Tails;
  std::vector<double> Mistakes;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    const quality Quality =
        replay(makeArrivals(Conditions, Seed), Candidate.Detector, Seed);
    Medians.push_back(Quality.MedianDetectionMs);
    Tails.push_back(Quality.P99DetectionMs);
    Mistakes.push_back(Quality.MistakesPerHour);
  }
  std::printf("%6.0f %6.1f  %-24s %9.0f %9.0f %10.0f  (%.0f to %.0f)\n",
              float_ms(Conditions.RoundTrip).count(), Conditions.Loss * 100,
              Candidate.Name.c_str(), quantile(Medians, 0.5),
              quantile(Tails, 0.5), quantile(Mistakes, 0.5),
              quantile(Mistakes, 0), quantile(Mistakes, 1));
}

static void run() {
  const std::vector<candidate> Candidates{
      {"fixed 500 ms", steering::fixed_timeout(500ms)},
      {"fixed 700 ms", steering::fixed_timeout(700ms)},
      {"fixed 1000 ms", steering::fixed_timeout(1000ms)},
      {"counting 2 in 700 ms", steering::heartbeat_counting(700ms, 2)},
      {"counting 3 in 1000 ms", steering::heartbeat_counting(1000ms, 3)},
      {"counting 3 in 1200 ms", steering::heartbeat_counting(1200ms, 3)},
      {"adaptive +300 ms, 10", steering::adaptive_timeout(Interval, 300ms, 10)},
      {"adaptive +300 ms, 100",
       steering::adaptive_timeout(Interval, 300ms, 100)},
      {"adaptive +500 ms, 10", steering::adaptive_timeout(Interval, 500ms, 10)},
      {"adaptive +800 ms, 10",
       steering::adaptive_timeout(Interval, 800ms, 10)}};
  std::printf("RTT ms loss %%  detector                 detect ms    p99 ms "
              "mistakes/h  (range; medians of %u seeds)\n",
              Seeds);
  for (const conditions &Conditions :
       {conditions{35ms, 0.001}, conditions{35ms, 0.01},
        conditions{55ms, 0.001}, conditions{55ms, 0.01}})
    for (const candidate &Candidate : Candidates)
      measure(Conditions, Candidate);
}

int main() {
  try {
    run();
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "benchmark failed: %s\n", Error.what());
    return 1;
  }
}
