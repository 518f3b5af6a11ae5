#include "emulators/detail/connection_server.hpp"
#include "skylarkdyke/emulators/target_emulator.hpp"
#include "skylarkdyke/targets/prober.hpp"
#include "support/free_port.hpp"

#include <arpa/inet.h>
#include <condition_variable>
#include <map>
#include <mutex>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;

TEST_GROUP(targets_prober) {
  std::mutex Mutex;
  std::condition_variable Reported;
  std::map<std::string, targets::probe_result> Results;
  targets::prober Prober{[this](const targets::probe_result &Result) {
                           const std::lock_guard<std::mutex> Lock(Mutex);
                           Results[Result.Target.str()] = Result;
                           Reported.notify_all();
                         },
                         {50ms, 200ms}};

  void teardown() override { Prober.stop(); }

  static config::target target(const char *Id, const base::endpoint &Address) {
    config::target Target;
    Target.Id = base::target_id(Id);
    Target.Address = Address;
    return Target;
  }

  targets::probe_result resultOf(const std::string &Id) {
    std::unique_lock<std::mutex> Lock(Mutex);
    CHECK_TRUE(
        Reported.wait_for(Lock, 2s, [&] { return Results.count(Id) != 0; }));
    return Results[Id];
  }
};

// Guards against a target that accepts connections but never responds: it must
// not delay the probes of other targets or count as healthy.
TEST(targets_prober, UnresponsiveTargetIsUnhealthyAndDelaysNoOther) {
  const base::endpoint Silent{"127.0.0.1", test_support::freePort()};
  const int Listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Bind{};
  Bind.sin_family = AF_INET;
  Bind.sin_port = htons(Silent.Port);
  Bind.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CHECK_EQUAL(
      0, bind(Listener, reinterpret_cast<sockaddr *>(&Bind), sizeof(Bind)));
  CHECK_EQUAL(0, listen(Listener, 8));
  emulators::target_emulator Good({"127.0.0.1", test_support::freePort()}, {});
  CHECK_TRUE(Good.start());
  const auto Start = base::boot_clock::now();
  Prober.configure({target("silent", Silent), target("good", Good.address())});
  Prober.start();
  const targets::probe_result Result = resultOf("good");
  CHECK_TRUE(base::boot_clock::now() - Start < 200ms);
  CHECK_TRUE(Result.Healthy);
  CHECK_EQUAL(0u, *Result.InFlight);
  CHECK_FALSE(resultOf("silent").Healthy);
  close(Listener);
}

// Guards against reporting a draining target, whose health endpoint returns an
// error, as healthy.
TEST(targets_prober, DrainingTargetIsUnhealthy) {
  emulators::target_behaviour Behaviour;
  Behaviour.Draining = true;
  emulators::target_emulator Target({"127.0.0.1", test_support::freePort()},
                                    Behaviour);
  CHECK_TRUE(Target.start());
  Prober.configure({target("leaving", Target.address())});
  Prober.start();
  CHECK_FALSE(resultOf("leaving").Healthy);
}

// Guards against a probe that buffers bytes without an end until its time-out,
// and delays the probes of other targets meanwhile.
TEST(targets_prober, AFloodIsUnhealthyAtOnceAndDelaysNoOther) {
  targets::prober Patient{[this](const targets::probe_result &Result) {
                            const std::lock_guard<std::mutex> Lock(Mutex);
                            Results[Result.Target.str()] = Result;
                            Reported.notify_all();
                          },
                          {50ms, 30s}};
  emulators::target_emulator Good({"127.0.0.1", test_support::freePort()}, {});
  CHECK_TRUE(Good.start());
  std::vector<std::unique_ptr<emulators::target_emulator>> Flooding;
  std::vector<config::target> Probed{target("good", Good.address())};
  for (const emulators::flood_form Form : emulators::AllFloodForms) {
    if (Form == emulators::flood_form::None ||
        Form == emulators::flood_form::AfterAnswer)
      continue;
    emulators::target_behaviour Behaviour;
    Behaviour.Flood = Form;
    Behaviour.FloodsHealth = true;
    Flooding.push_back(std::make_unique<emulators::target_emulator>(
        base::endpoint{"127.0.0.1", test_support::freePort()}, Behaviour));
    CHECK_TRUE(Flooding.back()->start());
    Probed.push_back(
        target(emulators::toString(Form), Flooding.back()->address()));
  }
  Patient.configure(Probed);
  Patient.start();
  CHECK_TRUE(resultOf("good").Healthy);
  for (const config::target &Target : Probed)
    if (Target.Id.str() != "good")
      CHECK_FALSE(resultOf(Target.Id.str()).Healthy);
  Patient.stop();
}

// Guards against an interim answer that is taken for the state of a target.
TEST(targets_prober, AnInterimAnswerIsNotTheStateOfATarget) {
  const base::endpoint Address{"127.0.0.1", test_support::freePort()};
  emulators::detail::connection_server Server(
      Address, [](const http::request &, int) {
        emulators::detail::reply Reply;
        Reply.Form = emulators::detail::reply::form::Flood;
        Reply.Flood.Prefix = "HTTP/1.1 103 Early Hints\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                             "Content-Length: 0\r\n\r\n";
        return Reply;
      });
  CHECK_TRUE(Server.start());
  Prober.configure({target("hinting", Address)});
  Prober.start();
  CHECK_TRUE(resultOf("hinting").Healthy);
}
