#include "support/streaming_target.hpp"

#include "support/free_port.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_future.hpp>
#include <thread>

namespace test_support {

namespace asio = boost::asio;
using asio::ip::tcp;

struct streaming_target::impl {
  /// One connection of the entry.
  struct connection : std::enable_shared_from_this<connection> {
    connection(impl &Owner, tcp::socket NewSocket)
        : Owner(Owner), Socket(std::move(NewSocket)), Timer(Owner.Loop) {}

    void readRequest();
    void startStep();
    void sendStep();
    void finish();
    void watch();

    impl &Owner;
    tcp::socket Socket;
    asio::steady_timer Timer;
    asio::streambuf Received;
    std::vector<response_step> Steps;
    response_end End = response_end::Keep;
    std::size_t Step = 0;
    std::size_t StepSent = 0;
    bool Responding = false;
  };

  impl() { accept(); }
  void accept() {
    Acceptor.async_accept([this](auto Failure, tcp::socket Socket) {
      if (Failure)
        return;
      std::make_shared<connection>(*this, std::move(Socket))->readRequest();
      accept();
    });
  }
  template <class Function> auto onLoop(Function Run) {
    return asio::post(Loop, asio::use_future(Run)).get();
  }

  asio::io_context Loop;
  skylarkdyke::base::endpoint Address{"127.0.0.1", freePort()};
  tcp::acceptor Acceptor{
      Loop,
      tcp::endpoint(asio::ip::make_address(Address.Address), Address.Port)};
  std::vector<response_step> Steps;
  response_end End = response_end::Keep;
  unsigned Runs = 0;
  std::size_t SentBytes = 0;
  unsigned CutByPeer = 0;
  std::thread Thread;
};

void streaming_target::impl::connection::readRequest() {
  Responding = false;
  asio::async_read_until(
      Socket, Received, "\r\n\r\n",
      [this, Self = shared_from_this()](auto Failure, std::size_t Size) {
        if (Failure)
          return;
        const std::string Head(asio::buffers_begin(Received.data()),
                               asio::buffers_begin(Received.data()) +
                                   static_cast<std::ptrdiff_t>(Size));
        Received.consume(Size);
        const std::string Name = "Skylarkdyke-Request-Id: ";
        const std::size_t From = Head.find(Name) + Name.size();
        Steps = Owner.Steps;
        End = Owner.End;
        Step = 0;
        Responding = true;
        ++Owner.Runs;
        const std::size_t Id = Steps.at(0).Bytes.find("{id}");
        if (Id != std::string::npos)
          Steps[0].Bytes.replace(
              Id, 4, Head.substr(From, Head.find('\r', From) - From));
        watch();
        startStep();
      });
}

/// The entry sends nothing during a response, so a readable connection has
/// been closed.
void streaming_target::impl::connection::watch() {
  Socket.async_wait(tcp::socket::wait_read,
                    [this, Self = shared_from_this()](auto Failure) {
                      if (Failure || !Responding)
                        return;
                      Responding = false;
                      ++Owner.CutByPeer;
                      Timer.cancel();
                      Socket.close();
                    });
}

void streaming_target::impl::connection::startStep() {
  if (Step == Steps.size())
    return finish();
  StepSent = 0;
  if (Steps[Step].Pause.count() == 0)
    return sendStep();
  Timer.expires_after(Steps[Step].Pause);
  Timer.async_wait([this, Self = shared_from_this()](auto Failure) {
    if (!Failure)
      sendStep();
  });
}

void streaming_target::impl::connection::sendStep() {
  Socket.async_write_some(
      asio::buffer(Steps[Step].Bytes) + StepSent,
      [this, Self = shared_from_this()](auto Failure, std::size_t Size) {
        if (Failure)
          return;
        Owner.SentBytes += Size;
        StepSent += Size;
        if (StepSent < Steps[Step].Bytes.size())
          return sendStep();
        ++Step;
        startStep();
      });
}

void streaming_target::impl::connection::finish() {
  Responding = false;
  boost::system::error_code Ignored;
  Socket.cancel(Ignored);
  if (End == response_end::Keep)
    return readRequest();
  if (End == response_end::Reset)
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

streaming_target::streaming_target() : Impl(std::make_unique<impl>()) {
  Impl->Thread = std::thread([this] { Impl->Loop.run(); });
}

streaming_target::~streaming_target() {
  Impl->Loop.stop();
  Impl->Thread.join();
}

skylarkdyke::base::endpoint streaming_target::address() const {
  return Impl->Address;
}

void streaming_target::setScript(std::vector<response_step> Steps,
                                 response_end End) {
  Impl->onLoop([&] {
    Impl->Steps = std::move(Steps);
    Impl->End = End;
    return 0;
  });
}

unsigned streaming_target::runs() const {
  return Impl->onLoop([this] { return Impl->Runs; });
}

std::size_t streaming_target::sentBytes() const {
  return Impl->onLoop([this] { return Impl->SentBytes; });
}

unsigned streaming_target::cutByPeer() const {
  return Impl->onLoop([this] { return Impl->CutByPeer; });
}

} // namespace test_support
