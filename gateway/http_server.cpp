#include "gateway/http_server.h"

#include "gateway/http_exchange.h"
#include "gateway/unary_error.h"

#include <algorithm>
#include <ev.h>
#include <microhttpd.h>
#include <netdb.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>

namespace geraniumhinge::gateway {

namespace {

constexpr unsigned int MAX_CONNECTIONS = 4'096;
constexpr unsigned int IDLE_TIMEOUT_S = 60;
constexpr std::size_t CONNECTION_MEMORY_BYTES = 16UL * 1'024;
// An oversized body is read up to this multiple of the limit, so that the
// client gets the answer instead of a reset; beyond it the connection closes.
constexpr std::size_t OVERSIZE_FACTOR = 8;
// A sender that trickles its body must not hold up a drain for ever.
constexpr kernel::Milliseconds DRAIN_BODY_LIMIT{ 10'000 };
// libmicrohttpd accepts a few connections in a run; this empties the backlog.
constexpr int ACCEPT_RUNS = 64;

struct AddressInfo
{
  addrinfo* info = nullptr;
  ~AddressInfo()
  {
    if (this->info)
      freeaddrinfo(this->info);
  }
};

/// Resolves host:port, the host an IP number, with brackets for IPv6.
bool
parse_address(const std::string& address, AddressInfo& result)
{
  std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return false;
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    host = host.substr(1, host.size() - 2);
  addrinfo hints{};
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
  return getaddrinfo(
           host.c_str(), address.c_str() + colon + 1, &hints, &result.info) ==
         0;
}

} // namespace

struct HttpServer::State
{
  HttpServer& owner;
  kernel::TimerService& timers;
  std::string address;
  std::size_t max_body_bytes;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  kernel::Subscription readable;
  kernel::Subscription timer;
  kernel::Subscription body_limit; ///< Of a drain.
  std::unordered_map<Exchange*, std::shared_ptr<Exchange>> exchanges;
  bool draining = false;
  bool run_scheduled = false;
  bool unread_dropped = false;
  std::function<void()> drained;

  static MHD_Result on_request(void* cls,
                               MHD_Connection* connection,
                               const char* url,
                               const char* method,
                               const char* version,
                               const char* data,
                               std::size_t* size,
                               void** slot);
  static void on_completed(void* cls,
                           MHD_Connection* connection,
                           void** slot,
                           MHD_RequestTerminationCode code);

  MHD_Result begin(MHD_Connection* connection,
                   const char* url,
                   const char* method,
                   void** slot);
  MHD_Result receive(Exchange& exchange, const char* data, std::size_t* size);
  MHD_Result dispatch(const std::shared_ptr<Exchange>& exchange);
  MHD_Result send(Exchange& exchange);
  MHD_Result reject_size(Exchange& exchange);
  void run();
  void schedule_run();
  std::size_t awaited() const;
  void check_drained();
  void drop_unread();
  void stop();
};

MHD_Result
HttpServer::State::on_request(void* cls,
                              MHD_Connection* connection,
                              const char* url,
                              const char* method,
                              const char*,
                              const char* data,
                              std::size_t* size,
                              void** slot)
{
  State& state = *static_cast<State*>(cls);
  if (!*slot)
    return state.begin(connection, url, method, slot);
  std::shared_ptr<Exchange> exchange =
    state.exchanges.at(static_cast<Exchange*>(*slot));
  if (*size > 0)
    return state.receive(*exchange, data, size);
  if (exchange->response)
    return state.send(*exchange);
  if (exchange->oversized)
    return state.reject_size(*exchange);
  // A resumed request without an answer: the server is being destroyed.
  if (exchange->dispatched)
    return MHD_NO;
  return state.dispatch(exchange);
}

void
HttpServer::State::on_completed(void* cls,
                                MHD_Connection*,
                                void** slot,
                                MHD_RequestTerminationCode)
{
  State& state = *static_cast<State*>(cls);
  state.exchanges.erase(static_cast<Exchange*>(*slot));
  *slot = nullptr;
  state.check_drained();
}

MHD_Result
HttpServer::State::begin(MHD_Connection* connection,
                         const char* url,
                         const char* method,
                         void** slot)
{
  std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>();
  exchange->connection = connection;
  exchange->wake = [this] { this->schedule_run(); };
  exchange->request.method = method;
  exchange->request.path = url;
  std::size_t length = content_length(connection);
  exchange->oversized = length > this->max_body_bytes;
  *slot = exchange.get();
  this->exchanges.emplace(exchange.get(), exchange);
  if (length > this->max_body_bytes * OVERSIZE_FACTOR)
    return this->reject_size(*exchange);
  return MHD_YES;
}

MHD_Result
HttpServer::State::receive(Exchange& exchange,
                           const char* data,
                           std::size_t* size)
{
  std::size_t received = exchange.request.body.size() + *size;
  if (received > this->max_body_bytes)
    exchange.oversized = true;
  if (!exchange.oversized) {
    exchange.request.body.append(data, *size);
  } else {
    exchange.discarded += *size;
    exchange.request.body.clear();
  }
  *size = 0;
  bool endless = exchange.discarded > this->max_body_bytes * OVERSIZE_FACTOR;
  return endless ? MHD_NO : MHD_YES;
}

MHD_Result
HttpServer::State::dispatch(const std::shared_ptr<Exchange>& exchange)
{
  exchange->dispatched = true;
  exchange->request.headers =
    connection_values(exchange->connection, MHD_HEADER_KIND);
  exchange->request.query =
    connection_values(exchange->connection, MHD_GET_ARGUMENT_KIND);
  std::shared_ptr<Responder> responder = std::make_shared<Responder>(exchange);
  Respond respond = [responder](HttpResponse response) {
    responder->answer(std::move(response));
  };
  responder.reset();
  this->handler(std::move(exchange->request), std::move(respond));
  if (exchange->response)
    return this->send(*exchange);
  MHD_suspend_connection(exchange->connection);
  exchange->suspended = true;
  return MHD_YES;
}

MHD_Result
HttpServer::State::send(Exchange& exchange)
{
  if (exchange.response->status == CLOSE_CONNECTION)
    return MHD_NO;
  return queue_response(
    exchange.connection, *exchange.response, this->draining);
}

MHD_Result
HttpServer::State::reject_size(Exchange& exchange)
{
  CallError error =
    call_error(v1::ERROR_KIND_BODY_TOO_LARGE, "the request body is too large");
  error.detail.set_accepted("at most " + std::to_string(this->max_body_bytes) +
                            " bytes");
  exchange.response = error_response(error);
  return queue_response(exchange.connection, *exchange.response, true);
}

void
HttpServer::State::run()
{
  if (!this->daemon)
    return;
  MHD_run(this->daemon);
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  this->timer.reset();
  if (MHD_get_timeout(this->daemon, &timeout_ms) == MHD_YES)
    this->timer = this->timers.after(kernel::Milliseconds(timeout_ms),
                                     [this] { this->run(); });
}

// Without a thread of its own the library has no wakeup for a resumed
// connection: its epoll descriptor stays quiet.
void
HttpServer::State::schedule_run()
{
  if (std::exchange(this->run_scheduled, true))
    return;
  this->owner.post([this] {
    this->run_scheduled = false;
    this->run();
  });
}

/// Requests in flight that a drain waits for.
std::size_t
HttpServer::State::awaited() const
{
  if (!this->unread_dropped)
    return this->exchanges.size();
  return static_cast<std::size_t>(std::count_if(
    this->exchanges.begin(), this->exchanges.end(), [](const auto& item) {
      return item.second->dispatched;
    }));
}

void
HttpServer::State::check_drained()
{
  if (!this->drained || this->awaited() > 0)
    return;
  // Posted, since this may run inside the library.
  this->owner.post(std::exchange(this->drained, nullptr));
}

/// Stops waiting for requests whose body has not arrived. Nothing was done for
/// them, and their connections end with the process.
void
HttpServer::State::drop_unread()
{
  this->unread_dropped = true;
  this->check_drained();
}

void
HttpServer::State::stop()
{
  if (!this->daemon)
    return;
  this->readable.reset();
  this->timer.reset();
  this->body_limit.reset();
  // The library demands that no connection is suspended when it stops.
  for (const std::pair<Exchange* const, std::shared_ptr<Exchange>>& item :
       this->exchanges)
    item.second->resume();
  MHD_stop_daemon(std::exchange(this->daemon, nullptr));
}

HttpServer::HttpServer(kernel::Loop& loop,
                       kernel::TimerService& timers,
                       std::string address,
                       std::size_t max_body_bytes,
                       Handler handler)
  : Task(loop, "http_server")
  , state(new State{ .owner = *this,
                     .timers = timers,
                     .address = std::move(address),
                     .max_body_bytes = max_body_bytes,
                     .handler = std::move(handler),
                     .daemon = nullptr,
                     .readable = {},
                     .timer = {},
                     .body_limit = {},
                     .exchanges = {},
                     .draining = false,
                     .run_scheduled = false,
                     .unread_dropped = false,
                     .drained = nullptr })
{
}

HttpServer::~HttpServer()
{
  this->state->drained = nullptr;
  this->state->stop();
}

tl::expected<void, HttpServerError>
HttpServer::listen()
{
  AddressInfo address;
  if (!parse_address(this->state->address, address))
    return tl::unexpected(HttpServerError::ListenFailed);
  unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
  if (address.info->ai_family == AF_INET6)
    flags |= MHD_USE_IPv6;
  MHD_Daemon* daemon = MHD_start_daemon(flags,
                                        0,
                                        nullptr,
                                        nullptr,
                                        &State::on_request,
                                        this->state.get(),
                                        MHD_OPTION_SOCK_ADDR,
                                        address.info->ai_addr,
                                        MHD_OPTION_NOTIFY_COMPLETED,
                                        &State::on_completed,
                                        this->state.get(),
                                        MHD_OPTION_CONNECTION_LIMIT,
                                        MAX_CONNECTIONS,
                                        MHD_OPTION_CONNECTION_TIMEOUT,
                                        IDLE_TIMEOUT_S,
                                        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                        CONNECTION_MEMORY_BYTES,
                                        MHD_OPTION_END);
  if (!daemon)
    return tl::unexpected(HttpServerError::ListenFailed);
  this->state->daemon = daemon;
  const MHD_DaemonInfo* epoll =
    MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
  this->state->readable = this->loop.watch(
    epoll->epoll_fd, EV_READ, [this](int) { this->state->run(); });
  return {};
}

int
HttpServer::port() const
{
  if (!this->state->daemon)
    return 0;
  const MHD_DaemonInfo* info =
    MHD_get_daemon_info(this->state->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info ? info->port : 0;
}

void
HttpServer::drain(std::function<void()> done)
{
  this->state->draining = true;
  this->state->drained = std::move(done);
  if (this->state->daemon) {
    // Closing the socket resets what waits in its backlog: accept that first.
    for (int run = 0; run < ACCEPT_RUNS; ++run)
      MHD_run(this->state->daemon);
    MHD_socket listening = MHD_quiesce_daemon(this->state->daemon);
    if (listening != MHD_INVALID_SOCKET)
      close(listening);
  }
  this->state->body_limit = this->state->timers.after(
    DRAIN_BODY_LIMIT, [this] { this->state->drop_unread(); });
  this->state->check_drained();
}

std::size_t
HttpServer::in_flight() const
{
  return this->state->exchanges.size();
}

} // namespace geraniumhinge::gateway
