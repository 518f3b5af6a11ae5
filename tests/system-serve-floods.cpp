#include "support/platform_stand_in.hpp"
#include "support/scripted_target.hpp"
#include "support/served_entry.hpp"
#include "support/signed_answer.hpp"
#include "support/wait_until.hpp"

#include <atomic>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::scripted_request;
using test_support::scripted_target;
using test_support::signedLines;
using test_support::statusOf;

/// Memory of the process in its settings.
static constexpr unsigned MemoryMb = 64;
static constexpr std::size_t Targets = 12;
static constexpr std::size_t Clients = 60;
/// Time after its start until an entry may use its part of the retry slack.
static constexpr std::chrono::seconds UntilRetries{9};
/// Longer than the timeout of the route.
static constexpr std::chrono::milliseconds Silence{4000};

/// Half of the targets of a service send what a test scripts, the others
/// answer. Many clients ask for it at the same time.
TEST_GROUP(system_serve_floods) {
  test_support::platform_stand_in Platform;
  scripted_target::handler Trouble;
  /// Time that the targets which answer work on a request.
  std::atomic<std::chrono::milliseconds> Work{50ms};
  std::chrono::milliseconds PlayTime{6000};
  std::vector<std::unique_ptr<scripted_target>> Scripted;
  std::optional<test_support::served_entry> Entry;
  int Version = 0;
  std::atomic<int> Served{0};
  std::atomic<int> Unanswered{0};

  void serve(const scripted_request &Request) const {
    std::this_thread::sleep_for(Work.load());
    Request.send("HTTP/1.1 200 OK\r\n" + signedLines(Request) +
                 "Content-Length: 2\r\n\r\nok");
  }

  /// Publishes a configuration, and targets with this many slots each.
  void useRoutes(std::chrono::seconds Timeout, unsigned Slots) {
    Platform.put("op/config", test_support::servedRoutes(++Version, Timeout));
    for (std::size_t I = 0; I < Scripted.size(); ++I) {
      std::string Record = test_support::servedTarget(Scripted[I]->address());
      const std::string FewSlots = "\"capacity\":4";
      Record.replace(Record.find(FewSlots), FewSlots.size(),
                     "\"capacity\":" + std::to_string(Slots));
      Platform.put("servers/t" + std::to_string(I), Record);
    }
  }

  void setup() override {
    for (std::size_t I = 0; I < Targets; ++I) {
      Scripted.push_back(
          std::make_unique<scripted_target>([this, I](const auto &Request) {
            if (I % 2 == 0)
              Trouble(Request);
            else
              serve(Request);
          }));
    }
    useRoutes(1s, 4);
    Entry.emplace(Platform.storeAddress(), 4s, std::nullopt,
                  test_support::served_limits{MemoryMb, 1000});
    CHECK_TRUE(Entry->start());
  }
  void teardown() override {
    Entry.reset();
    Scripted.clear();
  }

  /// Asks with many clients at once, one request after the other each.
  void play() {
    const auto End = std::chrono::steady_clock::now() + PlayTime;
    std::vector<std::thread> Threads;
    for (std::size_t I = 0; I < Clients; ++I)
      Threads.emplace_back([this, I, End] {
        for (int Number = 0; std::chrono::steady_clock::now() < End; ++Number) {
          const std::string Id =
              std::to_string(I) + "-" + std::to_string(Number);
          const std::string Status = statusOf(test_support::askServed(
              Entry->front(), "GET", "/safe/" + Id, Id, 4s));
          Served += Status == "200" ? 1 : 0;
          Unanswered += Status.empty() ? 1 : 0;
        }
      });
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  /// Plays, and checks that the process lives within its memory and that other
  /// targets served meanwhile.
  void check(const scripted_target::handler &Script) {
    Trouble = Script;
    play();
    CHECK_FALSE_TEXT(Entry->program().waitFor(0ms).has_value(),
                     Entry->log().substr(0, 2000).c_str());
    const std::size_t Bytes = Entry->peakMemoryBytes();
    const std::string Text = "held " + std::to_string(Bytes) + ", served " +
                             std::to_string(Served) + ", unanswered " +
                             std::to_string(Unanswered);
    CHECK_TRUE_TEXT(Bytes > 0 && Bytes <= MemoryMb * 1000000UL, Text.c_str());
    CHECK_TRUE_TEXT(Served > 100, Text.c_str());
    LONGS_EQUAL_TEXT(0, Unanswered, Text.c_str());
  }

  /// The same for targets that send Start, and then Piece without end.
  void checkFlood(const std::string &Start, const std::string &Piece) {
    check([Start, Piece](const scripted_request &Request) {
      Request.send(Start);
      Request.sendWithoutEnd(Piece);
    });
  }
};

static const std::string ServerError = "HTTP/1.1 500 Odd\r\n";

// Guards against a process that ends itself, or holds more than its memory,
// because of bytes without end.
TEST(system_serve_floods, ChunkedBodiesWithoutEnd) {
  check([](const scripted_request &Request) {
    Request.send(ServerError + signedLines(Request) +
                 "Transfer-Encoding: chunked\r\n\r\n");
    Request.sendWithoutEnd("20000\r\n" + std::string(131072, '?') + "\r\n");
  });
}

TEST(system_serve_floods, BodiesOfAnUnknownLengthWithoutEnd) {
  check([](const scripted_request &Request) {
    Request.send(ServerError + signedLines(Request) + "\r\n");
    Request.sendWithoutEnd(std::string(131072, '?'));
  });
}

TEST(system_serve_floods, BodiesThatAreStreamedWithoutEnd) {
  check([](const scripted_request &Request) {
    Request.send("HTTP/1.1 200 OK\r\n" + signedLines(Request) + "\r\n");
    Request.sendWithoutEnd(std::string(131072, '?'));
  });
}

TEST(system_serve_floods, FieldsWithoutEnd) {
  checkFlood("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
}

TEST(system_serve_floods, AStatusLineWithoutEnd) {
  checkFlood("HTTP/1.1 200 ", std::string(4096, 'x'));
}

TEST(system_serve_floods, InterimResponsesWithoutEnd) {
  checkFlood("", "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n");
}

TEST(system_serve_floods, BytesThatAreNoResponseWithoutEnd) {
  checkFlood("", std::string("\0\x7f\xff?", 4));
}

TEST(system_serve_floods, TrailersWithoutEnd) {
  checkFlood("HTTP/1.1 500 Odd\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
             "X-Field: value\r\n");
}

// Guards against a process that holds more than its memory because of large
// bodies that stop just short of their end.
TEST(system_serve_floods, LargeBodiesThatStopShortOfTheirEnd) {
  constexpr std::size_t Length = 3900000;
  check([](const scripted_request &Request) {
    Request.send(ServerError + signedLines(Request) +
                 "Content-Length: " + std::to_string(Length) + "\r\n\r\n" +
                 std::string(Length - 1, 'b'));
    std::this_thread::sleep_for(Silence);
  });
}

// Guards against large complete responses that are kept, beyond any bound,
// while another target is tried. They come one after the other, so that they
// never make up much of the incomplete ones.
TEST(system_serve_floods, LargeErrorsWhileAnotherTargetIsTried) {
  constexpr std::size_t Length = 3900000;
  constexpr int ErrorsInTurn = 30;
  const auto Start = std::chrono::steady_clock::now() + UntilRetries;
  std::atomic<int> ErrorCount{0};
  useRoutes(4s, 40);
  PlayTime = UntilRetries + 6s;
  Work = 200ms;
  check([&](const scripted_request &Request) {
    if (std::chrono::steady_clock::now() < Start)
      return serve(Request);
    Work = 2s;
    std::this_thread::sleep_for(40ms * (++ErrorCount % ErrorsInTurn));
    Request.send(ServerError + signedLines(Request) +
                 "Content-Length: " + std::to_string(Length) + "\r\n\r\n" +
                 std::string(Length, 'b'));
  });
}

// Guards against a document of the store that needs much more memory than its
// text: numbers, or members of objects, without end.
TEST(system_serve_floods, DocumentsOfManyValues) {
  constexpr std::size_t Count = 1900000;
  std::string Document = "{\"items\":[0";
  for (std::size_t I = 1; I < Count; ++I)
    Document += ",0";
  Document += "],\"has_more\":false,\"as_of\":9}";
  const scripted_target Store([&](const scripted_request &Request) {
    Request.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(Document.size()) + "\r\n\r\n" + Document);
  });
  Entry.emplace(Store.address(), 4s, std::nullopt,
                test_support::served_limits{MemoryMb, 1000});
  CHECK_FALSE(Entry->start());
  CHECK_FALSE(Entry->program().waitFor(0ms).has_value());
  const std::size_t Bytes = Entry->peakMemoryBytes();
  CHECK_TRUE_TEXT(Bytes > 0 && Bytes <= MemoryMb * 1000000UL,
                  ("held " + std::to_string(Bytes)).c_str());
}
