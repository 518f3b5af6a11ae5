#include "skylarkdyke/http/server.hpp"

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <ulfius.h>
#include <vector>

namespace skylarkdyke::http {

struct server::impl {
  impl(base::endpoint Listen, server_limits Limits, handler Handler)
      : Listen(std::move(Listen)), Limits(Limits), Handler(std::move(Handler)) {
  }

  static int serve(const _u_request *Raw, _u_response *Answer, void *Context);

  base::endpoint Listen;
  server_limits Limits;
  handler Handler;
  _u_instance Instance{};
  sockaddr_in Bind{};
  bool Running = false;
};

/// Socket of the connection that this thread serves. ulfius does not hand it to
/// handlers, but each connection has a thread of its own, which keeps the
/// socket open while a handler runs.
static thread_local int ServedSocket = -1;

/// Called at the start of each request, before its headers are read.
static void *onRequestLine(void *, const char *Uri,
                           MHD_Connection *Connection) {
  const MHD_ConnectionInfo *Socket =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  ServedSocket = Socket == nullptr ? -1 : Socket->connect_fd;
  return ulfius_uri_logger(nullptr, Uri);
}

static base::endpoint toEndpoint(const sockaddr *Address) {
  base::endpoint Result;
  if (Address == nullptr || Address->sa_family != AF_INET)
    return Result;
  sockaddr_in Ipv4{};
  std::memcpy(&Ipv4, Address, sizeof(Ipv4));
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Ipv4.sin_addr, Text.data(), Text.size());
  Result.Address = Text.data();
  Result.Port = ntohs(Ipv4.sin_port);
  return Result;
}

static void copyMap(const _u_map *Source, header_map &Headers) {
  for (int Index = 0; Index < Source->nb_values; ++Index)
    Headers[Source->keys[Index]] = Source->values[Index];
}

static void copyParameters(const _u_map *Source,
                           std::map<std::string, std::string> &Parameters) {
  for (int Index = 0; Index < Source->nb_values; ++Index)
    Parameters[Source->keys[Index]] = Source->values[Index];
}

static server_request toRequest(const _u_request &Raw) {
  server_request Request;
  Request.Message.Method = Raw.http_verb;
  Request.Message.Target = Raw.http_url;
  Request.Path = Raw.url_path;
  copyMap(Raw.map_header, Request.Message.Headers);
  copyParameters(Raw.map_url, Request.Parameters);
  copyParameters(Raw.map_post_body, Request.Parameters);
  if (Raw.binary_body_length > 0)
    Request.Message.Body.assign(static_cast<const char *>(Raw.binary_body),
                                Raw.binary_body_length);
  Request.Client = toEndpoint(Raw.client_address);
  Request.User = Raw.auth_basic_user != nullptr ? Raw.auth_basic_user : "";
  Request.Password =
      Raw.auth_basic_password != nullptr ? Raw.auth_basic_password : "";
  return Request;
}

static void toUlfius(const response &Response, _u_response &Raw) {
  // ulfius refuses a body of no bytes and would leave the status at 200.
  if (!Response.Body.empty())
    ulfius_set_binary_body_response(&Raw,
                                    static_cast<unsigned>(Response.Status),
                                    Response.Body.data(), Response.Body.size());
  Raw.status = Response.Status;
  for (const auto &[Name, Value] : Response.Headers)
    u_map_put(Raw.map_header, Name.c_str(), Value.c_str());
}

static response plain(int Status, std::string Text) {
  response Response;
  Response.Status = Status;
  Response.Headers["Content-Type"] = "text/plain; charset=utf-8";
  Response.Body = std::move(Text);
  return Response;
}

/// Answers a body that is too large or shorter than announced; such a request
/// reaches no handler.
static std::optional<response> refuseBody(const server_request &Request,
                                          const server_limits &Limits) {
  const std::size_t Size = Request.Message.Body.size();
  if (Size > Limits.MaxBodyBytes)
    return plain(413, "request body is larger than " +
                          std::to_string(Limits.MaxBodyBytes) + " bytes\n");
  const auto Announced = findHeader(Request.Message.Headers, "Content-Length");
  if (Announced && std::strtoull(Announced->c_str(), nullptr, 10) != Size)
    return plain(400, "request body differs from Content-Length\n");
  return std::nullopt;
}

int server::impl::serve(const _u_request *Raw, _u_response *Answer,
                        void *Context) {
  auto &Server = *static_cast<impl *>(Context);
  server_request Request = toRequest(*Raw);
  if (const auto Refused = refuseBody(Request, Server.Limits)) {
    toUlfius(*Refused, *Answer);
    return U_CALLBACK_COMPLETE;
  }
  Request.Socket = ServedSocket;
  try {
    toUlfius(Server.Handler(Request), *Answer);
  } catch (const std::exception &Failure) {
    toUlfius(plain(500, std::string("internal error: ") + Failure.what()),
             *Answer);
  }
  return U_CALLBACK_COMPLETE;
}

server::server(base::endpoint Listen, server_limits Limits, handler Handler)
    : Impl(std::make_unique<impl>(std::move(Listen), Limits,
                                  std::move(Handler))) {}

server::~server() { stop(); }

bool server::start() {
  impl &Server = *Impl;
  Server.Bind.sin_family = AF_INET;
  Server.Bind.sin_port = htons(Server.Listen.Port);
  if (inet_pton(AF_INET, Server.Listen.Address.c_str(),
                &Server.Bind.sin_addr) != 1)
    return false;
  if (ulfius_init_instance(&Server.Instance, Server.Listen.Port, &Server.Bind,
                           nullptr) != U_OK)
    return false;
  // One byte over the limit is kept so that serve() can tell a body that was
  // cut from one that fits.
  Server.Instance.max_post_body_size = Server.Limits.MaxBodyBytes + 1;
  Server.Instance.check_utf8 = 0;
  ulfius_set_default_endpoint(&Server.Instance, &impl::serve, &Server);
  std::array<MHD_OptionItem, 8> Options{{
      {MHD_OPTION_NOTIFY_COMPLETED,
       reinterpret_cast<intptr_t>(&mhd_request_completed), nullptr},
      {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&onRequestLine),
       nullptr},
      {MHD_OPTION_SOCK_ADDR, 0, &Server.Bind},
      {MHD_OPTION_CONNECTION_LIMIT,
       static_cast<intptr_t>(Server.Limits.MaxConnections), nullptr},
      {MHD_OPTION_THREAD_STACK_SIZE,
       static_cast<intptr_t>(Server.Limits.ThreadStackBytes), nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT,
       static_cast<intptr_t>(Server.Limits.IdleTimeout.count()), nullptr},
      {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
      {MHD_OPTION_END, 0, nullptr},
  }};
  Server.Running =
      ulfius_start_framework_with_mhd_options(
          &Server.Instance,
          MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
              MHD_USE_POLL | MHD_USE_ITC,
          Options.data()) == U_OK;
  if (!Server.Running)
    ulfius_clean_instance(&Server.Instance);
  return Server.Running;
}

void server::stop() {
  if (!Impl->Running)
    return;
  Impl->Running = false;
  ulfius_stop_framework(&Impl->Instance);
  ulfius_clean_instance(&Impl->Instance);
}

} // namespace skylarkdyke::http
