#include "skylarkdyke/metrics/registry.hpp"

#include <algorithm>
#include <rapidcheck.h>
#include <sstream>
#include <stdexcept>
#include <thread>

// CppUTest must be included last because it defines "new" as a macro.
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using std::chrono::nanoseconds;

TEST_GROUP(metrics_registry) { metrics::registry Registry; };

// Guards against output that a Prometheus server cannot parse.
TEST(metrics_registry, RendersThePrometheusTextFormat) {
  Registry.counter("requests_total", "All\nrequests \\ \"here\"").add(3);
  Registry.gauge("headroom", "Left", {{"region", "a\"b\\c\nd"}, {"cap", "x"}})
      .set(0.25);
  STRCMP_EQUAL("# HELP headroom Left\n"
               "# TYPE headroom gauge\n"
               "headroom{cap=\"x\",region=\"a\\\"b\\\\c\\nd\"} 0.25\n"
               "# HELP requests_total All\\nrequests \\\\ \"here\"\n"
               "# TYPE requests_total counter\n"
               "requests_total 3\n",
               Registry.render().c_str());
}

// Guards against buckets that are not cumulative, and against a count that
// differs from the last bucket, which a Prometheus server rejects.
TEST(metrics_registry, RendersCumulativeBuckets) {
  auto &Latency = Registry.latency("wait_seconds", "Wait", {{"service", "s"}});
  for (const nanoseconds Sample : {nanoseconds(1us), nanoseconds(2ms),
                                   nanoseconds(30ms), nanoseconds(90s)})
    Latency.observe(Sample);
  std::istringstream Lines(Registry.render());
  const std::string BucketStart = "wait_seconds_bucket{service=\"s\",le=\"";
  std::string Line;
  unsigned long LastCount = 0;
  unsigned Buckets = 0;
  while (std::getline(Lines, Line)) {
    if (Line.rfind(BucketStart, 0) != 0)
      continue;
    const unsigned long Count = std::stoul(Line.substr(Line.find("} ") + 2));
    CHECK(Count >= LastCount);
    LastCount = Count;
    ++Buckets;
  }
  LONGS_EQUAL(metrics::LatencyBucketCount + 2, Buckets);
  const std::string Text = Registry.render();
  for (const char *Expected :
       {"le=\"5e-05\"} 1\n", "le=\"60\"} 3\n", "le=\"+Inf\"} 4\n",
        "wait_seconds_sum{service=\"s\"} 90.032001\n",
        "wait_seconds_count{service=\"s\"} 4\n"})
    CHECK(Text.find(Expected) != std::string::npos);
}

// Guards against two metrics of different types with one name and against an
// invalid name, either of which makes a Prometheus server reject the whole
// page.
TEST(metrics_registry, RejectsInvalidNamesAndTypes) {
  Registry.counter("a", "");
  CHECK_THROWS(std::invalid_argument, Registry.gauge("a", ""));
  CHECK_THROWS(std::invalid_argument, Registry.counter("1a", ""));
  CHECK_THROWS(std::invalid_argument, Registry.counter("b c", ""));
  CHECK_THROWS(std::invalid_argument, Registry.counter("b", "", {{"x:y", ""}}));
  CHECK_THROWS(std::invalid_argument, Registry.latency("b", "", {{"le", ""}}));
}

// Guards against updates that are lost between threads, and against two metrics
// for one label set.
TEST(metrics_registry, ThreadsShareTheirMetrics) {
  std::vector<std::thread> Threads;
  Threads.reserve(3);
  for (int Thread = 0; Thread < 3; ++Thread)
    Threads.emplace_back([this] {
      for (int I = 0; I < 2000; ++I) {
        Registry.counter("n_total", "", {{"a", "1"}, {"b", "2"}}).add();
        Registry.gauge("g", "").add(1);
        Registry.latency("l_seconds", "").observe(1ms);
        if (I % 500 == 0)
          Registry.render();
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  LONGS_EQUAL(
      6000, Registry.counter("n_total", "", {{"b", "2"}, {"a", "1"}}).value());
  DOUBLES_EQUAL(6000, Registry.gauge("g", "").value(), 0);
  LONGS_EQUAL(
      6000,
      Registry.latency("l_seconds", "").read().Buckets.back().CumulativeCount);
}

// Guards against quantiles whose error exceeds the width of a bucket.
TEST(metrics_registry, QuantilesAreWithinABucketOfTheSortedSamples) {
  CHECK(!Registry.latency("empty_seconds", "").quantile(0.5));
  CHECK(rc::check([] {
    metrics::latency_histogram Histogram;
    std::vector<nanoseconds> Samples;
    const int Count = *rc::gen::inRange(1, 300);
    Samples.reserve(static_cast<std::size_t>(Count));
    for (int I = 0; I < Count; ++I) {
      Samples.push_back(*rc::gen::inRange(50, 9999) *
                        *rc::gen::element(nanoseconds(1us), nanoseconds(1ms)));
      Histogram.observe(Samples.back());
    }
    std::sort(Samples.begin(), Samples.end());
    const double Fraction = *rc::gen::element(0.0, 0.5, 0.9, 0.99, 0.999, 1.0);
    const double Rank = std::max(1.0, std::ceil(Fraction * Count));
    const auto Exact = Samples[static_cast<std::size_t>(Rank) - 1];
    const double Ratio =
        std::chrono::duration<double>(*Histogram.quantile(Fraction)) / Exact;
    RC_ASSERT(Ratio > 1 / 1.092);
    RC_ASSERT(Ratio < 1.092);
  }));
}
