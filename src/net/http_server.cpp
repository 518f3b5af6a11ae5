#include "skylarkdyke/net/http_server.hpp"

#include "net/detail/session.hpp"

#include <glog/logging.h>

namespace skylarkdyke::net {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Delay before the next accept after a failed one, for example when the
/// process is out of file descriptors.
static constexpr std::chrono::milliseconds AcceptRetryDelay{50};

http_response detail::respondToUnreadable(const unreadable_request &Request) {
  return makeResponse(Request.Status, "the request cannot be read\n");
}

http_response makeResponse(unsigned Status, std::string Body,
                           const char *ContentType) {
  http_response Response(static_cast<bhttp::status>(Status), 11);
  if (!Body.empty())
    Response.set(bhttp::field::content_type, ContentType);
  Response.body() = std::move(Body);
  return Response;
}

void http_server::impl::accept() {
  if (Stopped)
    return;
  Acceptor.async_accept([Self = shared_from_this()](const error_code &Failure,
                                                    tcp::socket Socket) {
    Self->onAccept(Failure, std::move(Socket));
  });
}

void http_server::impl::onAccept(const error_code &Failure,
                                 tcp::socket Socket) {
  if (Failure && Stopped)
    return;
  if (Failure) {
    LOG(WARNING) << "cannot accept a connection: " << Failure.message();
    AcceptRetryTimer.set(base::boot_clock::now() + AcceptRetryDelay,
                         [Self = shared_from_this()] { Self->accept(); });
    return;
  }
  if (Sessions.size() < MaxConnections || makeRoomForConnection())
    std::make_shared<detail::session>(shared_from_this(), std::move(Socket))
        ->start();
  accept();
}

/// Closes the connection that is worth least, for a new one.
/// \return false if none may be closed
bool http_server::impl::makeRoomForConnection() {
  detail::session *Least = nullptr;
  for (detail::session *Session : Sessions)
    if (Session->isReplaceable() &&
        (Least == nullptr || Least->isWorthMoreThan(*Session)))
      Least = Session;
  if (Least == nullptr)
    return false;
  ++ReplacedConnections;
  LOG_EVERY_N(WARNING, 1000)
      << "all " << MaxConnections
      << " connections are in use; closed an inactive one for a new one";
  Least->replace();
  return true;
}

/// Accepts the connections that wait in the accept queue. They would be reset
/// when the server stops to listen, with the requests sent on them.
void http_server::impl::acceptQueued() {
  error_code Failure;
  Acceptor.non_blocking(true, Failure);
  while (!Failure && Sessions.size() < MaxConnections) {
    tcp::socket Socket(Loop);
    Acceptor.accept(Socket, Failure);
    if (!Failure)
      std::make_shared<detail::session>(shared_from_this(), std::move(Socket))
          ->start();
  }
}

http_server::http_server(asio::io_context &Loop, std::size_t MaxConnections,
                         std::function<base::message_limits()> Limits,
                         handler OnRequest)
    : Impl(std::make_shared<impl>(Loop, MaxConnections, std::move(Limits),
                                  std::move(OnRequest))) {}

http_server::~http_server() = default;

bool http_server::listen(const base::endpoint &Address) {
  error_code Failure;
  const auto Ip = asio::ip::make_address(Address.Address, Failure);
  if (!Failure)
    Impl->Acceptor.open(tcp::v4(), Failure);
  if (!Failure)
    Impl->Acceptor.set_option(tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Impl->Acceptor.bind(tcp::endpoint(Ip, Address.Port), Failure);
  if (!Failure)
    Impl->Acceptor.listen(tcp::acceptor::max_listen_connections, Failure);
  if (Failure) {
    LOG(ERROR) << "cannot listen on " << base::toString(Address) << ": "
               << Failure.message();
    return false;
  }
  Impl->accept();
  return true;
}

void http_server::setUnreadableHandler(unreadable_handler OnUnreadable) {
  Impl->OnUnreadable = std::move(OnUnreadable);
}

void http_server::setReadAhead(read_ahead_limits Limits) {
  Impl->ReadAhead = Limits;
}

void http_server::setMemory(std::shared_ptr<memory_account> Memory) {
  Impl->Memory = std::move(Memory);
}

void http_server::drain() { Impl->Draining = true; }

void http_server::stopAccepting() {
  if (Impl->Stopped)
    return;
  Impl->acceptQueued();
  Impl->Stopped = true;
  error_code Ignored;
  Impl->Acceptor.close(Ignored);
  // Closed sessions leave the set.
  const auto Sessions = Impl->Sessions;
  for (detail::session *Session : Sessions)
    Session->closeIfIdle();
}

std::size_t http_server::activeRequests() const { return Impl->ActiveRequests; }

std::uint64_t http_server::replacedConnections() const {
  return Impl->ReplacedConnections;
}

} // namespace skylarkdyke::net
