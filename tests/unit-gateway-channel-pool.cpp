#include "gateway/detail/channel_pool.hpp"
#include "support/scripted_target.hpp"
#include "support/wait_until.hpp"

#include <atomic>
#include <optional>
#include <thread>

// Last, because it redefines "new".
#include <CppUTest/TestHarness.h>

using namespace skylarkdyke;
using namespace std::chrono_literals;
using test_support::scripted_request;

TEST_GROUP(gateway_channel_pool) {
  static constexpr std::size_t MaxIdle = 4;
  const base::target_id Id{"t1"};
  std::atomic<bool> CopySent{false};
  test_support::scripted_target Target{[this](const scripted_request &Request) {
    const std::string Response = "HTTP/1.1 503 Refused\r\nContent-Length: 0"
                                 "\r\n\r\n";
    Request.send(Response);
    std::this_thread::sleep_for(20ms);
    Request.send(Response);
    CopySent = true;
  }};
  net::response_memory Memory{4U << 20U};
  boost::asio::io_context Loop;
  gateway::detail::channel_pool Pool{Loop, Memory};

  std::shared_ptr<net::http_channel> acquire() {
    return Pool.acquire(Id, Target.address(), base::boot_clock::now());
  }
};

// Guards against a response that a target writes once more on an idle
// connection and that stays there for the next request.
TEST(gateway_channel_pool, AConnectionWithUnreadBytesIsNotReused) {
  const auto First = acquire();
  std::optional<net::call_result> Result;
  const auto Deadline = base::boot_clock::now() + 5s;
  First->call(
      net::http_request(boost::beast::http::verb::get, "/", 11),
      {Deadline, Deadline}, [](const net::http_response &) { return true; },
      [&Result](net::call_result CallResult) {
        Result.emplace(std::move(CallResult));
      });
  while (!Result && Loop.run_one_for(5s) != 0) {
  }
  CHECK_TRUE(Result.has_value() && Result->has_value());
  CHECK_TRUE(First->isReusable(base::boot_clock::now()));
  Pool.release(Id, First, MaxIdle, base::boot_clock::now());
  CHECK_TRUE(test_support::eventually([this] { return CopySent.load(); }));
  CHECK_FALSE(First->isReusable(base::boot_clock::now()));
  CHECK_TRUE(acquire() != First);
}
