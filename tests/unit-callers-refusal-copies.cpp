#include "support/fake_entry.hpp"
#include "support/scripted_target.hpp"

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::header;
using test_support::scripted_request;

namespace {

/// When a target writes a refusal once more: before, together with or after
/// the bytes of the next request.
enum class copy_time { Before, Together, After };

} // namespace

static std::string refusal(const std::string &Id) {
  return "HTTP/1.1 503 Unavailable\r\nRequest-Outcome: not-run\r\n" +
         (Id.empty() ? "" : "Request-Id: " + Id + "\r\n") +
         "Content-Length: 0\r\n\r\n";
}

static std::string success(const scripted_request &Request) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + Request.field("Request-Id") +
         "\r\nContent-Length: 2\r\n\r\nok";
}

TEST_GROUP(callers_refusal_copies) {
  std::atomic<copy_time> Time{copy_time::Before};
  std::atomic<bool> CopyHasId{true};
  std::atomic<bool> CopySent{false};
  std::atomic<bool> Reused{false};
  std::string Refusal;
  test_support::scripted_target Target{
      [this](const scripted_request &Request) { respond(Request); }};

  /// Refuses /first, and writes the refusal once more around /second.
  void respond(const scripted_request &Request) {
    if (Request.path() == "/first") {
      const std::string Id = Request.field("Request-Id");
      Refusal = refusal(CopyHasId ? Id : "");
      Request.send(refusal(Id));
      if (Time != copy_time::Before)
        return;
      std::this_thread::sleep_for(20ms);
      Request.send(Refusal);
      CopySent = true;
      return;
    }
    Reused = Request.earlierRequests() > 0;
    if (!Reused || Time == copy_time::Before)
      return Request.send(success(Request));
    if (Time == copy_time::Together)
      return Request.send(Refusal + success(Request));
    Request.send(Refusal);
    std::this_thread::sleep_for(20ms);
    Request.send(success(Request));
  }

  std::shared_ptr<config::document> document() const {
    auto Document = std::make_shared<config::document>();
    const base::domain_name Domain("r1-a");
    Document->Version = 1;
    Document->EntrySeats = 1;
    Document->Regions.push_back({base::region_name("r1"), 1000, {Domain}});
    Document->Services.push_back({base::service_name("orders"), 1s, 4096});
    Document->Targets.push_back({base::target_id("orders-0"),
                                 base::service_name("orders"), Domain,
                                 Target.address(), 4, 64});
    return Document;
  }

  /// Sends both requests, and returns what the second caller was told.
  std::string outcomeOfSecond(const char *Method) {
    CopySent = false;
    test_support::fake_entry Entry("e1", "r1", document());
    const auto First =
        Entry.call("POST", "/s/orders/first", Entry.key("first"));
    STRCMP_EQUAL("not-run", header(First, "Request-Outcome").c_str());
    if (Time == copy_time::Before)
      CHECK_TRUE(test_support::eventually([this] { return CopySent.load(); }));
    const int Before = Target.received("/second");
    const auto Second =
        Entry.call(Method, "/s/orders/second", Entry.key("second"));
    CHECK_EQUAL(Before + 1, Target.received("/second"));
    // A copy that arrives as the connection is taken may not be seen before.
    if (Time != copy_time::Before)
      CHECK_TRUE(Reused);
    return header(Second, "Request-Outcome");
  }
};

// Guards against an earlier refusal that is taken for the answer to the next
// request on the connection: its caller would be told that it has not run.
TEST(callers_refusal_copies, ACopyOfARefusalRefusesNoOtherRequest) {
  for (const char *Method : {"POST", "GET"})
    for (const bool HasId : {true, false})
      for (const copy_time CopyTime :
           {copy_time::Before, copy_time::Together, copy_time::After}) {
        Time = CopyTime;
        CopyHasId = HasId;
        const std::string Outcome = outcomeOfSecond(Method);
        STRCMP_EQUAL(Reused ? "unknown" : "completed", Outcome.c_str());
      }
}
