#ifndef SKYLARKDYKE_NET_DETAIL_SESSION_HPP
#define SKYLARKDYKE_NET_DETAIL_SESSION_HPP

#include "net/detail/received_request.hpp"
#include "net/detail/request_body.hpp"
#include "skylarkdyke/net/http_server.hpp"
#include "skylarkdyke/net/one_shot_timer.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <limits>
#include <optional>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace skylarkdyke::net {

namespace detail {
class session;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// Response to a request that cannot be read, unless a server has a handler for
/// these.
http_response respondToUnreadable(const unreadable_request &Request);
} // namespace detail

struct http_server::impl : std::enable_shared_from_this<http_server::impl> {
  impl(boost::asio::io_context &Loop, std::size_t MaxConnections,
       std::function<base::message_limits()> Limits, handler OnRequest)
      : Loop(Loop), Acceptor(Loop), AcceptRetryTimer(Loop),
        MaxConnections(MaxConnections), Limits(std::move(Limits)),
        OnRequest(std::move(OnRequest)) {}

  void accept();
  void onAccept(const detail::error_code &Failure, detail::tcp::socket Socket);
  void acceptQueued();
  bool makeRoomForConnection();

  boost::asio::io_context &Loop;
  detail::tcp::acceptor Acceptor;
  one_shot_timer AcceptRetryTimer;
  std::size_t MaxConnections;
  std::function<base::message_limits()> Limits;
  handler OnRequest;
  unreadable_handler OnUnreadable = detail::respondToUnreadable;
  read_ahead_limits ReadAhead;
  /// Holds bytes that any connection receives after its last response.
  std::array<char, 16384> Discarded{};
  /// Sessions with an open connection.
  std::unordered_set<detail::session *> Sessions;
  std::shared_ptr<memory_account> Memory =
      std::make_shared<memory_account>(std::numeric_limits<std::size_t>::max());
  std::uint64_t ReplacedConnections = 0;
  std::size_t ActiveRequests = 0;
  bool Draining = false;
  bool Stopped = false;
};

namespace detail {

/// Time limit for sending a response, and for receiving MinProgressBytes of a
/// request body or its rest.
constexpr std::chrono::seconds TransferTimeout{30};
/// Part of a body that counts as progress.
constexpr std::size_t MinProgressBytes = 65536;

/// One connection of a caller. It reads requests within the limits of the
/// server, and writes their responses in the order of the requests.
class session : public std::enable_shared_from_this<session> {
public:
  session(std::shared_ptr<http_server::impl> Owner, tcp::socket Socket);
  ~session();
  session(const session &) = delete;
  session &operator=(const session &) = delete;

  void start();

  /// Closes the connection unless a request has arrived on it, which then
  /// counts as active.
  void closeIfIdle();

  /// Returns whether the connection may be closed for a new one: it has no
  /// request that was passed on.
  bool isReplaceable() const { return Line.empty() && Socket.is_open(); }

  /// Returns whether another connection should be replaced rather than this
  /// one. Connections without any request go first, then those that have been
  /// inactive for longest.
  bool isWorthMoreThan(const session &Other) const {
    return std::tie(HasHadRequest, ActiveAt) >
           std::tie(Other.HasHadRequest, Other.ActiveAt);
  }

  /// Closes the connection for a new one.
  void replace() { close(); }

  /// Returns whether the caller has closed the connection, also if the event
  /// loop has not told yet.
  bool hasCallerLeft() const;

  /// Writes what waits of the first request's response.
  void writeNext();

  /// Returns whether no earlier request of the connection excludes this one.
  bool mayRun(const received_request &Request) const;

  /// Closes the connection if the request is the first one; otherwise once it
  /// is.
  void onAbandoned(const received_request &Request);

private:
  using parser = boost::beast::http::request_parser<request_body>;

  enum class read_state {
    /// No request is being read.
    Waiting,
    Header,
    /// The body is read once earlier requests have their responses.
    HeldBody,
    Body,
    /// No further request is read.
    Ended,
  };

  /// A request may be in the receive buffer whose handler has not run yet.
  bool hasUnreadBytes();

  bool isReading() const {
    return Reading == read_state::Header || Reading == read_state::Body;
  }
  std::size_t heldBytes() const;
  bool mayReadAhead() const;
  bool mayReadBody() const;
  bool expectsContinue() const;
  void awaitRequest();
  void readAhead();
  void readOn();
  void runTurns();
  void watch();
  void onReadable();
  void readHeader();
  void onHeader(const error_code &Failure);
  void startBody();
  void startCharge();
  bool chargeRead();
  void onEvicted();
  void readBody();
  void parseBody();
  void onBodyBytes(const error_code &Failure, std::size_t Size);
  void recordProgress();
  void releaseReadMemory();
  void onBody(const error_code &Failure);
  bool mayUseRead(const error_code &Failure);
  void rejectUnreadable(const error_code &Failure);
  void reject(unsigned Status, const std::string &Reason);
  void onCallerLeft();
  bool closesAfter(const received_request &First);
  void writeResponse(const std::shared_ptr<received_request> &First);
  void writePiece(const std::shared_ptr<received_request> &First);
  bool isFirst(const received_request &Request) const {
    return !Line.empty() && Line.front().get() == &Request;
  }
  void onPieceWritten(const error_code &Failure,
                      const std::shared_ptr<received_request> &First);
  void onResponseWritten(const error_code &Failure,
                         const std::shared_ptr<received_request> &First);
  void onFirstAnswered();
  void closeAfterResponse();
  void discardBytes();
  void closeAt(base::boot_time Until);
  void setIdleTimer();
  void onIdleTimeout();
  void closeSocket();
  void close();
  void endRequestsFrom(std::size_t Index);
  void setBusy(bool NewBusy);
  void countRequests();

  std::shared_ptr<http_server::impl> Server;
  /// Mutable because Asio has no constant access to the native handle.
  mutable tcp::socket Socket;
  /// Limits the time of the write, else that of the read, else that of the idle
  /// connection.
  one_shot_timer Timer;
  /// Looks for the caller's leaving while its bytes stay unread.
  std::optional<one_shot_timer> PollTimer;
  boost::beast::flat_buffer Buffer;
  /// Time by which the connection closes after its last response.
  base::boot_time LingerUntil{};
  /// Bytes held for the connection itself.
  std::optional<memory_account::charge> ConnectionCharge;
  /// Bytes held for the request that is being read.
  std::unique_ptr<memory_account::charge> ReadCharge;
  /// Memory of the header of the request that is being read.
  std::size_t HeaderBytes = 0;
  /// Size of the body at which the next progress counts.
  std::size_t NextProgressAt = 0;
  std::optional<parser> Parser;
  /// Limits under which the current request is read.
  base::message_limits ReadLimits;
  /// Header of a request whose body is being read in chunks.
  http_request::header_type Header;
  std::string CallerAddress;
  /// Requests without a complete response, in the order of their arrival.
  std::deque<std::shared_ptr<received_request>> Line;
  base::boot_time IdleSince{};
  base::boot_time ActiveAt = base::boot_clock::now();
  bool HasHadRequest = false;
  /// A read that uses Buffer, and Parser if a header is read, is pending.
  bool ReadPending = false;
  read_state Reading = read_state::Waiting;
  /// Number of requests that the server counts for this connection.
  std::size_t CountedRequests = 0;
  /// A request is being read, or the last response was sent.
  bool Busy = false;
  /// The socket is watched for bytes and for its end.
  bool Watching = false;
  bool Writing = false;
  /// The last response was sent.
  bool Lingering = false;
  /// The caller left while the last byte of a response was being written.
  bool CallerLeft = false;
};

} // namespace detail

} // namespace skylarkdyke::net

#endif
