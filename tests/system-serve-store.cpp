#include "skylarkdyke/base/base64.hpp"
#include "support/scripted_target.hpp"
#include "support/served_entry.hpp"

#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::scripted_request;
using test_support::scripted_target;
using test_support::statusOf;

TEST_GROUP(system_serve_store){};

namespace {

/// Store that sends each response of a listing once more before the response
/// to the next call on the same connection.
class copying_store {
public:
  copying_store(std::string Configuration, std::string TargetRecord)
      : Configuration(std::move(Configuration)),
        TargetRecord(std::move(TargetRecord)),
        Server([this](const scripted_request &Request) { respond(Request); }) {}

  const base::endpoint &address() const { return Server.address(); }

private:
  static std::string json(const std::string &Body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  }
  static std::string page(const std::string &Key, const std::string &Value) {
    const std::string Item =
        Key.empty() ? ""
                    : R"({"key":")" + Key + R"(","value":")" +
                          base::encodeBase64(Value) + R"(","revision":5})";
    return json(R"({"items":[)" + Item + R"(],"has_more":false,"as_of":9})");
  }
  std::string list(const std::string &Path) const {
    if (Path.find("path_prefix=op/") != std::string::npos)
      return page("op/config", Configuration);
    if (Path.find("path_prefix=servers/") != std::string::npos)
      return page("servers/t1", TargetRecord);
    return page("", "");
  }
  void respond(const scripted_request &Request) {
    static thread_local std::string LastPage;
    const std::string Copy = Request.earlierRequests() > 0 ? LastPage : "";
    const std::string Path = Request.path();
    if (Path.find("/api/kv-range") == 0) {
      LastPage = list(Path);
      return Request.send(Copy + LastPage);
    }
    if (Path.find("/api/kv-watch") != 0)
      return Request.send(json(R"({"lease":7,"revision":9})"));
    std::this_thread::sleep_for(100ms);
    Request.send(Copy + json(R"({"events":[],"as_of":9})"));
  }

  std::string Configuration;
  std::string TargetRecord;
  scripted_target Server;
};

} // namespace

// Guards against an earlier response of the store that is taken for the one to
// the next call: a page of the listing would be lost, here all targets.
TEST(system_serve_store, ACopyOfAStoreResponseLosesNoPage) {
  const scripted_target Target([](const scripted_request &Request) {
    Request.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                 "Skylarkdyke-Response-Signature: signed\r\n"
                 "Skylarkdyke-Request-Id: " +
                 Request.requestId() + "\r\n\r\n");
  });
  const copying_store Store(test_support::servedRoutes(2),
                            test_support::servedTarget(Target.address()));
  test_support::served_entry Entry(Store.address());
  CHECK_TRUE(Entry.start());
  const std::string Response =
      test_support::askServed(Entry.front(), "GET", "/safe/x", "a");
  STRCMP_EQUAL("200", statusOf(Response).c_str());
}
