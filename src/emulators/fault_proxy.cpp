#include "skylarkdyke/emulators/fault_proxy.hpp"

#include "emulators/detail/byte_window.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <future>
#include <set>
#include <thread>

namespace skylarkdyke::emulators {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using region_pair = std::pair<std::string, std::string>;

namespace {

class proxied_connection;

/// State that all connections of a proxy share; used on the proxy's thread
/// only.
struct shared_state {
  proxy_plan Plan;
  fault_set Faults;
  std::map<region_pair, detail::byte_window> Windows;
  std::set<std::shared_ptr<proxied_connection>> Connections;

  bool isCut(const std::string &From, const std::string &To) const {
    const region_pair Domains(From, To);
    const region_pair Pair(regionOf(From), regionOf(To));
    return std::any_of(
        Faults.Cuts.begin(), Faults.Cuts.end(),
        [&](const region_pair &Cut) { return Cut == Domains || Cut == Pair; });
  }

  /// The region of a failure domain; empty for clients.
  std::string regionOf(const std::string &Domain) const {
    const auto Found = Plan.Regions.find(Domain);
    return Found == Plan.Regions.end() ? std::string() : Found->second;
  }

  address_fault faultOf(const std::string &Name) const {
    const auto Found = Faults.Addresses.find(Name);
    return Found == Faults.Addresses.end() ? address_fault() : Found->second;
  }
};

/// One direction of a connection: reads from one socket, holds bytes for the
/// delay, writes to the other.
struct flow {
  explicit flow(asio::io_context &Io) : Timer(Io) {}

  struct piece {
    std::chrono::steady_clock::time_point ReleaseAt;
    /// Empty marks the end of the stream.
    std::vector<char> Bytes;
  };

  std::array<char, 16384> Buffer{};
  std::deque<piece> Pending;
  asio::steady_timer Timer;
  bool Writing = false;
  std::uint64_t Passed = 0;
};

class proxied_connection
    : public std::enable_shared_from_this<proxied_connection> {
public:
  proxied_connection(asio::io_context &Io, shared_state &State,
                     const proxied_address &Address, tcp::socket Client)
      : State(State), Address(Address), Client(std::move(Client)), Upstream(Io),
        Forward(Io), Backward(Io) {
    error_code Ignored;
    SourceDomain =
        lookup(State.Plan.SourceDomains,
               this->Client.remote_endpoint(Ignored).address().to_string());
    this->Client.set_option(tcp::no_delay(true), Ignored);
  }

  void start() {
    const auto Self = shared_from_this();
    Upstream.async_connect(
        tcp::endpoint(asio::ip::make_address(Address.Upstream.Address),
                      Address.Upstream.Port),
        [Self](error_code Failure) {
          if (Failure)
            return Self->close();
          error_code Ignored;
          Self->Upstream.set_option(tcp::no_delay(true), Ignored);
          Self->read(Self->Client, Self->Upstream, Self->Forward, true);
          Self->read(Self->Upstream, Self->Client, Self->Backward, false);
        });
  }

  void close() {
    // Both ends see a reset, as after the death of a machine's last hop.
    error_code Ignored;
    Client.set_option(asio::socket_base::linger(true, 0), Ignored);
    Client.close(Ignored);
    Upstream.close(Ignored);
    Forward.Timer.cancel();
    Backward.Timer.cancel();
    State.Connections.erase(shared_from_this());
  }

  const std::string &name() const { return Address.Name; }

private:
  static std::string lookup(const std::map<std::string, std::string> &Map,
                            const std::string &Key) {
    const auto Found = Map.find(Key);
    return Found == Map.end() ? std::string() : Found->second;
  }

  /// Learns the source from the first request line of a connection between
  /// entries.
  void identify(std::string_view Bytes) {
    static constexpr std::string_view Mark = "/v1/peer/";
    const std::size_t At = Bytes.substr(0, 200).find(Mark);
    if (At == std::string_view::npos)
      return;
    const std::string_view Rest = Bytes.substr(At + Mark.size());
    const std::string Domain =
        lookup(State.Plan.EntryDomains,
               std::string(Rest.substr(0, Rest.find_first_of(" ?/"))));
    if (!Domain.empty())
      SourceDomain = Domain;
  }

  std::chrono::microseconds delay() const {
    const auto Found =
        State.Plan.RoundTrips.find({SourceDomain, Address.Domain});
    const auto RoundTrip = Found == State.Plan.RoundTrips.end()
                               ? std::chrono::microseconds(0)
                               : Found->second;
    return RoundTrip / 2 + State.faultOf(Address.Name).ExtraDelay;
  }

  bool isDropped(bool IsForward) const {
    const address_fault Fault = State.faultOf(Address.Name);
    const std::string &From = IsForward ? SourceDomain : Address.Domain;
    const std::string &To = IsForward ? Address.Domain : SourceDomain;
    return Fault.Blackhole || (!IsForward && Fault.DropAnswers) ||
           State.isCut(From, To);
  }

  void count(std::size_t Bytes, bool IsForward) {
    const std::string Source = State.regionOf(SourceDomain);
    const std::string Destination = State.regionOf(Address.Domain);
    if (Source.empty() || Source == Destination)
      return;
    const region_pair Pair = IsForward ? region_pair(Source, Destination)
                                       : region_pair(Destination, Source);
    State.Windows[Pair].add(Bytes, base::boot_clock::now());
  }

  void read(tcp::socket &From, tcp::socket &To, flow &Flow, bool IsForward) {
    const auto Self = shared_from_this();
    From.async_read_some(asio::buffer(Flow.Buffer),
                         [Self, &From, &To, &Flow,
                          IsForward](error_code Failure, std::size_t Size) {
                           if (Failure == asio::error::operation_aborted)
                             return;
                           if (Failure && Failure != asio::error::eof)
                             return Self->close();
                           Self->accept(To, Flow, Size, IsForward);
                           if (!Failure)
                             Self->read(From, To, Flow, IsForward);
                         });
  }

  void accept(tcp::socket &To, flow &Flow, std::size_t Size, bool IsForward) {
    if (IsForward && Flow.Passed == 0)
      identify({Flow.Buffer.data(), Size});
    Flow.Passed += Size;
    if (isDropped(IsForward)) {
      // The bytes are lost; TCP would send them again, which a test sees as a
      // long delay, so the connection must not carry later bytes as if nothing
      // was missing.
      Lost = true;
      return;
    }
    if (Lost)
      return;
    count(Size, IsForward);
    const std::uint64_t Limit = State.faultOf(Address.Name).TruncateAfterBytes;
    if (!IsForward && Limit > 0 && Flow.Passed > Limit) {
      Size -= std::min<std::uint64_t>(Size, Flow.Passed - Limit);
      push(To, Flow, Size);
      return push(To, Flow, 0);
    }
    push(To, Flow, Size);
  }

  void push(tcp::socket &To, flow &Flow, std::size_t Size) {
    Flow.Pending.push_back(
        {std::chrono::steady_clock::now() + delay(),
         std::vector<char>(Flow.Buffer.begin(), Flow.Buffer.begin() + Size)});
    if (!Flow.Writing)
      writeNext(To, Flow);
  }

  void writeNext(tcp::socket &To, flow &Flow) {
    Flow.Writing = !Flow.Pending.empty();
    if (!Flow.Writing)
      return;
    const auto Self = shared_from_this();
    Flow.Timer.expires_at(Flow.Pending.front().ReleaseAt);
    Flow.Timer.async_wait([Self, &To, &Flow](error_code Failure) {
      if (Failure)
        return;
      if (Flow.Pending.front().Bytes.empty()) {
        error_code Ignored;
        To.shutdown(tcp::socket::shutdown_send, Ignored);
        return Self->finishDirection();
      }
      asio::async_write(
          To, asio::buffer(Flow.Pending.front().Bytes),
          [Self, &To, &Flow](error_code WriteFailure, std::size_t) {
            if (WriteFailure)
              return Self->close();
            Flow.Pending.pop_front();
            Self->writeNext(To, Flow);
          });
    });
  }

  void finishDirection() {
    if (++FinishedDirections == 2)
      close();
  }

  shared_state &State;
  const proxied_address &Address;
  std::string SourceDomain;
  tcp::socket Client;
  tcp::socket Upstream;
  flow Forward;
  flow Backward;
  bool Lost = false;
  int FinishedDirections = 0;
};

} // namespace

struct fault_proxy::impl {
  void accept(std::size_t Index);

  /// Runs a function on the proxy's thread and waits for its value.
  template <typename Function> auto onThread(Function Run) {
    std::packaged_task<decltype(Run())()> Task(std::move(Run));
    auto Value = Task.get_future();
    asio::post(Io, std::move(Task));
    return Value.get();
  }

  asio::io_context Io;
  shared_state State;
  std::vector<tcp::acceptor> Acceptors;
  std::thread Thread;
};

void fault_proxy::impl::accept(std::size_t Index) {
  Acceptors[Index].async_accept(
      [this, Index](error_code Failure, tcp::socket Client) {
        if (Failure == asio::error::operation_aborted)
          return;
        const proxied_address &Address = State.Plan.Addresses[Index];
        if (!Failure && !State.faultOf(Address.Name).Reset) {
          const auto Connection = std::make_shared<proxied_connection>(
              Io, State, Address, std::move(Client));
          State.Connections.insert(Connection);
          Connection->start();
        }
        accept(Index);
      });
}

fault_proxy::fault_proxy(proxy_plan Plan) : Impl(std::make_unique<impl>()) {
  Impl->State.Plan = std::move(Plan);
}

fault_proxy::~fault_proxy() { stop(); }

bool fault_proxy::start() {
  for (const proxied_address &Address : Impl->State.Plan.Addresses) {
    error_code Failure;
    tcp::acceptor Acceptor(Impl->Io);
    const tcp::endpoint Local(asio::ip::make_address(Address.Listen.Address),
                              Address.Listen.Port);
    Acceptor.open(Local.protocol(), Failure);
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Failure);
    Acceptor.bind(Local, Failure);
    if (Failure)
      return false;
    Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
    if (Failure)
      return false;
    Impl->Acceptors.push_back(std::move(Acceptor));
  }
  for (std::size_t Index = 0; Index < Impl->Acceptors.size(); ++Index)
    Impl->accept(Index);
  Impl->Thread = std::thread([this] { Impl->Io.run(); });
  return true;
}

void fault_proxy::stop() {
  if (!Impl->Thread.joinable())
    return;
  Impl->onThread([this] {
    for (tcp::acceptor &Acceptor : Impl->Acceptors)
      Acceptor.close();
    const auto Open = Impl->State.Connections;
    for (const auto &Connection : Open)
      Connection->close();
  });
  Impl->Thread.join();
}

void fault_proxy::setFaults(fault_set Faults) {
  Impl->onThread([this, &Faults] {
    Impl->State.Faults = std::move(Faults);
    const auto Open = Impl->State.Connections;
    for (const auto &Connection : Open)
      if (Impl->State.faultOf(Connection->name()).Reset)
        Connection->close();
  });
}

link_peaks fault_proxy::peaks(bool Reset) {
  return Impl->onThread([this, Reset] {
    link_peaks Peaks;
    for (auto &[Pair, Window] : Impl->State.Windows) {
      Peaks[Pair] = Window.peak();
      if (Reset)
        Window.resetPeak();
    }
    return Peaks;
  });
}

} // namespace skylarkdyke::emulators
