#ifndef SKYLARKDYKE_HTTP_STOP_SOURCE_HPP
#define SKYLARKDYKE_HTTP_STOP_SOURCE_HPP

namespace skylarkdyke::http {

/// \brief Ends waiting exchanges of one thread from another one, through
/// http::exchange_limits::CallerSocket.
class stop_source {
public:
  /// \throws std::system_error if no socket pair can be opened
  stop_source();
  ~stop_source();
  stop_source(const stop_source &) = delete;
  stop_source &operator=(const stop_source &) = delete;

  /// \brief Ends all exchanges that use the socket, now and later. Thread-safe.
  void stop() noexcept;

  /// \brief Socket whose closing ends an exchange.
  int socket() const noexcept { return Watched; }

private:
  int Watched = -1;
  int Other = -1;
};

} // namespace skylarkdyke::http

#endif
