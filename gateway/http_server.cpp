#include "gateway/http_server.h"

#include "gateway/connection_table.h"
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
// An oversized body is read and discarded up to this multiple of the size
// limit, so that the client gets the response instead of a connection reset.
// The connection of a larger body is closed.
constexpr std::size_t MAX_DISCARD_FACTOR = 8;
// A client that sends its body very slowly must not delay a drain forever.
constexpr kernel::Milliseconds DRAIN_BODY_TIMEOUT{ 10'000 };
// MHD_run accepts only a few connections; this many calls empty the backlog.
constexpr int MAX_ACCEPT_RUNS = 64;
// Growth of the buffer of a body without a declared length, as a fraction.
constexpr std::size_t GROWTH_NUMERATOR = 3;
constexpr std::size_t GROWTH_DENOMINATOR = 2;
constexpr int HTTP_UNAVAILABLE = 503;
constexpr char RETRY_AFTER_S[] = "1";

struct AddressInfo
{
  addrinfo* info = nullptr;
  ~AddressInfo()
  {
    if (this->info)
      freeaddrinfo(this->info);
  }
};

/// Capacity of the buffer of a body that gets `size` bytes long. A buffer of a
/// declared length is not larger than it.
std::size_t
body_capacity(const Exchange& exchange, std::size_t size, std::size_t max_bytes)
{
  std::size_t capacity = exchange.request.body.capacity();
  if (size <= capacity)
    return capacity;
  std::size_t limit =
    exchange.declared_bytes > 0 ? exchange.declared_bytes : max_bytes;
  std::size_t grown = capacity * GROWTH_NUMERATOR / GROWTH_DENOMINATOR;
  return std::max(size, std::min(grown, limit));
}

/// Parses host:port, where host is an IP address, in brackets for IPv6.
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
  kernel::Subscription epoll_watch;
  kernel::Subscription run_timer;
  kernel::Subscription drain_body_timer;
  std::unique_ptr<ConnectionTable> table; ///< Null without a budget.
  std::unordered_map<Exchange*, std::shared_ptr<Exchange>> exchanges;
  bool draining = false;
  bool run_scheduled = false;
  bool incomplete_ignored = false;
  std::function<void()> drain_callback;

  static MHD_Result handle_request(void* cls,
                                   MHD_Connection* connection,
                                   const char* url,
                                   const char* method,
                                   const char* version,
                                   const char* data,
                                   std::size_t* size,
                                   void** context);
  static void handle_completed(void* cls,
                               MHD_Connection* connection,
                               void** context,
                               MHD_RequestTerminationCode code);
  static MHD_Result admit_connection(void* cls,
                                     const sockaddr* address,
                                     socklen_t size);
  static void handle_connection(void* cls,
                                MHD_Connection* connection,
                                void** context,
                                MHD_ConnectionNotificationCode code);

  MHD_Result begin_request(MHD_Connection* connection,
                           const char* url,
                           const char* method,
                           void** context);
  MHD_Result receive_body(Exchange& exchange,
                          const char* data,
                          std::size_t* size);
  MHD_Result dispatch(const std::shared_ptr<Exchange>& exchange);
  MHD_Result send_response(Exchange& exchange);
  MHD_Result reject_oversized(Exchange& exchange);
  MHD_Result refuse(Exchange& exchange);
  void run();
  void schedule_run();
  std::size_t awaited_requests() const;
  void check_drained();
  void ignore_incomplete();
  void stop();
};

MHD_Result
HttpServer::State::handle_request(void* cls,
                                  MHD_Connection* connection,
                                  const char* url,
                                  const char* method,
                                  const char*,
                                  const char* data,
                                  std::size_t* size,
                                  void** context)
{
  State& state = *static_cast<State*>(cls);
  if (!*context)
    return state.begin_request(connection, url, method, context);
  std::shared_ptr<Exchange> exchange =
    state.exchanges.at(static_cast<Exchange*>(*context));
  if (*size > 0)
    return state.receive_body(*exchange, data, size);
  if (exchange->response)
    return state.send_response(*exchange);
  if (exchange->oversized)
    return state.reject_oversized(*exchange);
  // A request resumed without a response: the server is being destroyed.
  if (exchange->dispatched)
    return MHD_NO;
  return state.dispatch(exchange);
}

void
HttpServer::State::handle_completed(void* cls,
                                    MHD_Connection* connection,
                                    void** context,
                                    MHD_RequestTerminationCode)
{
  State& state = *static_cast<State*>(cls);
  state.exchanges.erase(static_cast<Exchange*>(*context));
  *context = nullptr;
  if (state.table)
    state.table->finish(connection);
  state.check_drained();
}

/// A connection that is not admitted is closed without a response.
MHD_Result
HttpServer::State::admit_connection(void* cls, const sockaddr*, socklen_t)
{
  const State& state = *static_cast<State*>(cls);
  return !state.table || state.table->admits() ? MHD_YES : MHD_NO;
}

void
HttpServer::State::handle_connection(void* cls,
                                     MHD_Connection* connection,
                                     void**,
                                     MHD_ConnectionNotificationCode code)
{
  const State& state = *static_cast<State*>(cls);
  if (!state.table)
    return;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    state.table->open(connection);
  else
    state.table->close(connection);
}

MHD_Result
HttpServer::State::begin_request(MHD_Connection* connection,
                                 const char* url,
                                 const char* method,
                                 void** context)
{
  std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>();
  exchange->connection = connection;
  exchange->schedule_run = [this] { this->schedule_run(); };
  exchange->request.method = method;
  exchange->request.path = url;
  std::size_t length = content_length(connection);
  exchange->oversized = length > this->max_body_bytes;
  exchange->declared_bytes = length;
  *context = exchange.get();
  this->exchanges.emplace(exchange.get(), exchange);
  if (this->table && !this->table->begin(*exchange))
    return MHD_NO;
  if (length > this->max_body_bytes * MAX_DISCARD_FACTOR)
    return this->reject_oversized(*exchange);
  return MHD_YES;
}

MHD_Result
HttpServer::State::receive_body(Exchange& exchange,
                                const char* data,
                                std::size_t* size)
{
  std::size_t received = exchange.request.body.size() + *size;
  if (received > this->max_body_bytes)
    exchange.oversized = true;
  if (!exchange.oversized) {
    std::size_t capacity =
      body_capacity(exchange, received, this->max_body_bytes);
    if (this->table && !this->table->receive(exchange, capacity))
      return MHD_NO;
    exchange.request.body.reserve(capacity);
    exchange.request.body.append(data, *size);
  } else {
    exchange.discarded_bytes += *size;
    exchange.request.body.clear();
  }
  *size = 0;
  bool exceeds_discard_limit =
    exchange.discarded_bytes > this->max_body_bytes * MAX_DISCARD_FACTOR;
  return exceeds_discard_limit ? MHD_NO : MHD_YES;
}

MHD_Result
HttpServer::State::dispatch(const std::shared_ptr<Exchange>& exchange)
{
  if (exchange->tracked && exchange->tracked->refused)
    return MHD_NO;
  if (this->table && !this->table->dispatch(*exchange))
    return this->refuse(*exchange);
  exchange->dispatched = true;
  exchange->request.headers =
    connection_values(exchange->connection, MHD_HEADER_KIND);
  exchange->request.query =
    connection_values(exchange->connection, MHD_GET_ARGUMENT_KIND);
  std::shared_ptr<Responder> responder = std::make_shared<Responder>(exchange);
  ResponseCallback respond = [responder](HttpResponse response) {
    responder->respond(std::move(response));
  };
  responder.reset();
  this->handler(std::move(exchange->request), std::move(respond));
  if (exchange->response)
    return this->send_response(*exchange);
  MHD_suspend_connection(exchange->connection);
  exchange->suspended = true;
  return MHD_YES;
}

MHD_Result
HttpServer::State::send_response(Exchange& exchange)
{
  if (exchange.response->status == CLOSE_CONNECTION)
    return MHD_NO;
  if (this->table)
    this->table->respond(exchange);
  return queue_response(
    exchange.connection, *exchange.response, this->draining);
}

/// Refuses a complete request before it reaches its handler.
MHD_Result
HttpServer::State::refuse(Exchange& exchange)
{
  std::string().swap(exchange.request.body);
  exchange.response = HttpResponse{ HTTP_UNAVAILABLE,
                                    "application/json",
                                    "{}",
                                    { { "Retry-After", RETRY_AFTER_S } } };
  return queue_response(exchange.connection, *exchange.response, true);
}

MHD_Result
HttpServer::State::reject_oversized(Exchange& exchange)
{
  CallError error =
    call_error(v1::ERROR_KIND_BODY_TOO_LARGE, "the request body is too large");
  error.detail.set_accepted("at most " + std::to_string(this->max_body_bytes) +
                            " bytes");
  exchange.response = error_response(error);
  if (this->table)
    this->table->respond(exchange);
  return queue_response(exchange.connection, *exchange.response, true);
}

void
HttpServer::State::run()
{
  if (!this->daemon)
    return;
  MHD_run(this->daemon);
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  this->run_timer.reset();
  if (MHD_get_timeout(this->daemon, &timeout_ms) == MHD_YES)
    this->run_timer = this->timers.after(kernel::Milliseconds(timeout_ms),
                                         [this] { this->run(); });
}

// Without a thread of its own, libmicrohttpd does not make its epoll descriptor
// readable for a resumed connection, so MHD_run must be called explicitly.
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

/// Number of requests in flight that a drain waits for.
std::size_t
HttpServer::State::awaited_requests() const
{
  if (!this->incomplete_ignored)
    return this->exchanges.size();
  return static_cast<std::size_t>(std::count_if(
    this->exchanges.begin(), this->exchanges.end(), [](const auto& item) {
      return item.second->dispatched;
    }));
}

void
HttpServer::State::check_drained()
{
  if (!this->drain_callback || this->awaited_requests() > 0)
    return;
  // Posted, because libmicrohttpd may be the caller of this function.
  this->owner.post(std::exchange(this->drain_callback, nullptr));
}

/// Lets a drain end without the requests whose body has not arrived. They had
/// no effect, and their connections close with the process.
void
HttpServer::State::ignore_incomplete()
{
  this->incomplete_ignored = true;
  this->check_drained();
}

void
HttpServer::State::stop()
{
  if (!this->daemon)
    return;
  this->epoll_watch.reset();
  this->run_timer.reset();
  this->drain_body_timer.reset();
  // MHD_stop_daemon requires that no connection is suspended.
  for (const std::pair<Exchange* const, std::shared_ptr<Exchange>>& item :
       this->exchanges)
    item.second->resume();
  MHD_stop_daemon(std::exchange(this->daemon, nullptr));
}

HttpServer::HttpServer(kernel::Loop& loop,
                       kernel::TimerService& timers,
                       std::string address,
                       std::size_t max_body_bytes,
                       Handler handler,
                       RequestBudget* budget)
  : Task(loop, "http_server")
  , state(new State{ .owner = *this,
                     .timers = timers,
                     .address = std::move(address),
                     .max_body_bytes = max_body_bytes,
                     .handler = std::move(handler),
                     .daemon = nullptr,
                     .epoll_watch = {},
                     .run_timer = {},
                     .drain_body_timer = {},
                     .table = nullptr,
                     .exchanges = {},
                     .draining = false,
                     .run_scheduled = false,
                     .incomplete_ignored = false,
                     .drain_callback = nullptr })
{
  if (budget)
    this->state->table = std::make_unique<ConnectionTable>(
      timers, *budget, [this] { this->state->schedule_run(); });
}

HttpServer::~HttpServer()
{
  this->state->drain_callback = nullptr;
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
                                        &State::admit_connection,
                                        this->state.get(),
                                        &State::handle_request,
                                        this->state.get(),
                                        MHD_OPTION_SOCK_ADDR,
                                        address.info->ai_addr,
                                        MHD_OPTION_NOTIFY_COMPLETED,
                                        &State::handle_completed,
                                        this->state.get(),
                                        MHD_OPTION_NOTIFY_CONNECTION,
                                        &State::handle_connection,
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
  if (this->state->table)
    limit_buffers(
      MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd);
  const MHD_DaemonInfo* epoll =
    MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
  this->state->epoll_watch = this->loop.watch(
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
  this->state->drain_callback = std::move(done);
  if (this->state->daemon) {
    // Closing the socket resets the connections in its backlog; accept them
    // first.
    for (int run = 0; run < MAX_ACCEPT_RUNS; ++run)
      MHD_run(this->state->daemon);
    MHD_socket listening = MHD_quiesce_daemon(this->state->daemon);
    if (listening != MHD_INVALID_SOCKET)
      close(listening);
  }
  this->state->drain_body_timer = this->state->timers.after(
    DRAIN_BODY_TIMEOUT, [this] { this->state->ignore_incomplete(); });
  this->state->check_drained();
}

std::size_t
HttpServer::in_flight() const
{
  return this->state->exchanges.size();
}

} // namespace geraniumhinge::gateway
