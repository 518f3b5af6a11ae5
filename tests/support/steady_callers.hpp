#ifndef SKYLARKDYKE_TESTS_SUPPORT_STEADY_CALLERS_HPP
#define SKYLARKDYKE_TESTS_SUPPORT_STEADY_CALLERS_HPP

#include "skylarkdyke/base/endpoint.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace test_support {

/// \brief What became of one request.
enum class request_end {
  /// A complete response with a status.
  Answered,
  /// The connection ended without a byte of a response.
  Closed,
  /// The connection ended within a response, or nothing came in time.
  Broken,
};

struct caller_result {
  request_end End = request_end::Broken;
  int Status = 0;
  /// The response announces the end of the connection.
  bool Closes = false;
  /// The response tells when to ask again.
  bool HasRetryAfter = false;
};

/// \brief Reads one response with a Content-Length from a connected socket.
/// \param Buffer bytes beyond the response are left here
caller_result readResponse(int Socket, std::string &Buffer);

/// \brief Connects with a receive timeout of 10 s; negative if refused.
int connectTo(const skylarkdyke::base::endpoint &Peer);

/// \brief Sends all bytes. \return false if the connection has ended
bool sendBytes(int Socket, const std::string &Bytes);

/// \brief Callers that send requests to one entry without a pause, half of them
/// on kept connections. An open connection is used until a response or a close
/// ends it.
class steady_callers {
public:
  /// \brief Bytes of the request with an id.
  using request_maker = std::function<std::string(const std::string &Id)>;

  steady_callers(skylarkdyke::base::endpoint Front, int Count,
                 std::string IdPrefix, request_maker MakeRequest);
  ~steady_callers();
  steady_callers(const steady_callers &) = delete;
  steady_callers &operator=(const steady_callers &) = delete;

  /// \brief Ends all callers.
  void stop();

  /// \brief Result of each request by its id, after stop().
  const std::map<std::string, caller_result> &results() const {
    return Results;
  }

private:
  void run(int Caller);

  skylarkdyke::base::endpoint Front;
  std::string IdPrefix;
  request_maker MakeRequest;
  std::atomic<bool> Stopped{false};
  std::mutex Mutex;
  std::map<std::string, caller_result> Results;
  std::vector<std::thread> Threads;
};

} // namespace test_support

#endif
