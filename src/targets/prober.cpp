#include "skylarkdyke/targets/prober.hpp"

#include "skylarkdyke/http/client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace skylarkdyke::targets {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Maximum size of the body of a probe response in bytes.
static constexpr std::size_t MaxResponseBytes = 4096;
/// Responses with a lower status are interim ones.
static constexpr unsigned FirstFinalStatus = 200;

namespace {

/// One probe of one target: connect, GET /health, GET /load. The handlers of
/// its pending operations own the object.
class probe : public std::enable_shared_from_this<probe> {
public:
  probe(asio::io_context &Io, const config::target &Target,
        prober::result_callback Report)
      : Stream(Io), Address(Target.Address), Report(std::move(Report)) {
    Result.Target = Target.Id;
    Result.Service = Target.Service;
  }

  void run(std::chrono::milliseconds Timeout) {
    Stream.expires_after(Timeout);
    Stream.async_connect(
        asio::ip::tcp::endpoint(asio::ip::make_address(Address.Address),
                                Address.Port),
        [Self = shared_from_this()](error_code Failure) {
          if (Failure)
            Self->Report(Self->Result);
          else
            Self->sendRequest("/health");
        });
  }

private:
  void sendRequest(const char *Path) {
    Request = {beast::http::verb::get, Path, 11};
    Request.set(beast::http::field::host, base::toString(Address));
    Received = 0;
    startParser();
    beast::http::async_write(
        Stream, Request,
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          if (Failure)
            Self->Report(Self->Result);
          else
            Self->readResponse();
        });
  }

  void startParser() {
    Parser.emplace();
    Parser->body_limit(MaxResponseBytes);
  }

  void readResponse() {
    // The head is read by itself: a read of the whole response would allocate
    // an announced body before it checks its size.
    beast::http::async_read_header(
        Stream, Buffer, *Parser,
        [Self = shared_from_this()](error_code Failure, std::size_t Bytes) {
          Self->Received += Bytes;
          if (Failure || Self->Received > http::MaxAnswerHeaderBytes)
            Self->Report(Self->Result);
          else
            Self->handleHead();
        });
  }

  void handleHead() {
    if (Parser->get().result_int() < FirstFinalStatus) {
      startParser();
      return readResponse();
    }
    beast::http::async_read(
        Stream, Buffer, *Parser,
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          if (Failure)
            Self->Report(Self->Result);
          else
            Self->handleResponse();
        });
  }

  void handleResponse() {
    const bool IsOk = Parser->get().result() == beast::http::status::ok;
    if (Request.target() == "/health") {
      Result.Healthy = IsOk;
      if (Parser->keep_alive())
        return sendRequest("/load");
    } else if (IsOk) {
      parseLoad(Parser->get().body());
    }
    Report(Result);
  }

  void parseLoad(const std::string &Body) {
    const auto Load = nlohmann::json::parse(Body, nullptr, false);
    if (Load.is_object() && Load.contains("in_flight") &&
        Load["in_flight"].is_number_unsigned())
      Result.InFlight = Load["in_flight"].get<unsigned>();
  }

  beast::tcp_stream Stream;
  base::endpoint Address;
  prober::result_callback Report;
  probe_result Result;
  beast::http::request<beast::http::empty_body> Request;
  /// Holds a head, a line of the chunked coding or trailers, each whole.
  beast::flat_buffer Buffer{http::MaxAnswerHeaderBytes};
  /// Bytes of the response and of the interim responses so far.
  std::size_t Received = 0;
  std::optional<beast::http::response_parser<beast::http::string_body>> Parser;
};

} // namespace

struct prober::impl {
  impl(result_callback Report, probe_timing Timing)
      : Report(std::move(Report)), Timing(Timing), Timer(Io) {}

  void startRound() {
    std::vector<config::target> Round;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Round = Targets;
    }
    for (const config::target &Target : Round)
      std::make_shared<probe>(Io, Target, Report)->run(Timing.Timeout);
    Timer.expires_after(Timing.Interval);
    Timer.async_wait([this](error_code Failure) {
      if (!Failure)
        startRound();
    });
  }

  result_callback Report;
  probe_timing Timing;
  asio::io_context Io;
  asio::steady_timer Timer;
  std::mutex Mutex;
  std::vector<config::target> Targets;
  std::thread Thread;
};

prober::prober(result_callback Report, probe_timing Timing)
    : Impl(std::make_unique<impl>(std::move(Report), Timing)) {}

prober::~prober() { stop(); }

void prober::configure(std::vector<config::target> Targets) {
  const std::lock_guard<std::mutex> Lock(Impl->Mutex);
  Impl->Targets = std::move(Targets);
}

void prober::start() {
  Impl->Thread = std::thread([this] {
    Impl->startRound();
    Impl->Io.run();
  });
}

void prober::stop() {
  if (!Impl->Thread.joinable())
    return;
  Impl->Io.stop();
  Impl->Thread.join();
}

} // namespace skylarkdyke::targets
