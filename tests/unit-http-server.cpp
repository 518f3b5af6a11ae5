#include "skylarkdyke/http/client.hpp"
#include "skylarkdyke/http/server.hpp"
#include "support/free_port.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>

using namespace skylarkdyke;
using namespace std::chrono_literals;

TEST_GROUP(http_server) {
  base::endpoint Address{"127.0.0.1", test_support::freePort()};
  std::unique_ptr<http::server> Server;
  http::response Answer;

  void setup() override {
    http::server_limits Limits;
    Limits.MaxBodyBytes = 8;
    Server = std::make_unique<http::server>(
        Address, Limits,
        [this](const http::server_request &) { return Answer; });
    CHECK_TRUE(Server->start());
  }

  http::response ask(const std::string &Body) const {
    http::request Request;
    Request.Method = "POST";
    Request.Body = Body;
    const auto Got =
        http::fetch(Address, Request, {base::boot_clock::now() + 2s, 1024, -1});
    CHECK_TRUE(Got.has_value());
    return Got.value();
  }
};

// Guards against ulfius answering 200 when the handler's response has no body.
TEST(http_server, KeepsTheStatusOfAnEmptyResponse) {
  Answer.Status = 404;
  CHECK_EQUAL(404, ask("").Status);
}

// Guards against ulfius cutting a body that is too large and handing on the
// rest.
TEST(http_server, RefusesABodyOverTheLimit) {
  CHECK_EQUAL(200, ask("12345678").Status);
  CHECK_EQUAL(413, ask("123456789").Status);
}
