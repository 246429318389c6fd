#include "gateway/http_client.h"

#include <algorithm>
#include <cerrno>
#include <curl/curl.h>
#include <ev.h>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace geraniumhinge::gateway {

namespace {

// A call with a long timeout is aborted earlier if its connection transfers
// less than LOW_SPEED_BYTES_PER_S throughout LOW_SPEED_S.
constexpr long LOW_SPEED_BYTES_PER_S = 1;
constexpr long LOW_SPEED_S = 30;
constexpr std::size_t MAX_RESPONSE_BYTES = 64UL * 1'024 * 1'024;
constexpr std::size_t MAX_IDLE_HANDLES = 64;
constexpr long MAX_IDLE_CONNECTIONS = 1'024;

struct Transfer
{
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  HttpClientRequest call;
  HttpClientResponse response;
  HttpClient::Callback callback;
  bool sent = false;

  Transfer() = default;
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
  ~Transfer() { curl_slist_free_all(this->headers); }
};

std::size_t
handle_body(char* data, std::size_t, std::size_t size, void* user)
{
  HttpClientResponse& response = static_cast<Transfer*>(user)->response;
  if (response.body.size() + size > MAX_RESPONSE_BYTES)
    return 0;
  response.body.append(data, size);
  return size;
}

std::size_t
handle_header(char* data, std::size_t, std::size_t size, void* user)
{
  HttpClientResponse& response = static_cast<Transfer*>(user)->response;
  std::string_view line(data, size);
  std::size_t colon = line.find(':');
  if (colon == std::string_view::npos)
    return size;
  std::string name(line.substr(0, colon));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  std::string_view value = line.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  value = value.substr(0, value.find_last_not_of("\r\n ") + 1);
  response.headers[name] = std::string(value);
  return size;
}

/// libcurl calls this before each attempt to send the request. If a reused
/// connection fails before the first byte of the response, libcurl sends the
/// request again. The second attempt is aborted, because the first may have had
/// an effect.
int
abort_resend(void* user, char*, char*, int, int)
{
  bool sent_before = std::exchange(static_cast<Transfer*>(user)->sent, true);
  return sent_before ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

void
set_headers(Transfer& transfer)
{
  for (const std::pair<const std::string, std::string>& item :
       transfer.call.headers)
    transfer.headers = curl_slist_append(
      transfer.headers, (item.first + ": " + item.second).c_str());
  // Otherwise libcurl waits up to 1 s for 100-continue before a large body.
  transfer.headers = curl_slist_append(transfer.headers, "Expect:");
  curl_easy_setopt(transfer.easy, CURLOPT_HTTPHEADER, transfer.headers);
}

void
set_body(Transfer& transfer)
{
  const HttpClientRequest& call = transfer.call;
  if (call.method == "GET" && call.body.empty())
    return;
  curl_easy_setopt(transfer.easy, CURLOPT_POST, 1L);
  curl_easy_setopt(transfer.easy,
                   CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(call.body.size()));
  curl_easy_setopt(transfer.easy, CURLOPT_POSTFIELDS, call.body.data());
  curl_easy_setopt(transfer.easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
}

void
set_options(Transfer& transfer)
{
  CURL* easy = transfer.easy;
  const HttpClientRequest& call = transfer.call;
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  // All peers are addressed by IP address; ignore proxies in the environment.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(call.connect_timeout.count()));
  curl_easy_setopt(
    easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, LOW_SPEED_BYTES_PER_S);
  curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME, LOW_SPEED_S);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_body);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, handle_header);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, abort_resend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
  set_headers(transfer);
  set_body(transfer);
}

} // namespace

struct HttpClient::State
{
  kernel::Loop& loop;
  kernel::TimerService& timers;
  CURLM* multi = nullptr;
  kernel::Subscription timer;
  std::unordered_map<curl_socket_t, kernel::Subscription> sockets;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> transfers;
  std::vector<CURL*> idle_handles;

  static int handle_socket_change(CURL*,
                                  curl_socket_t fd,
                                  int poll_events,
                                  void* user,
                                  void*);
  static int handle_timer_change(CURLM*, long timeout_ms, void* user);

  void handle_socket_ready(curl_socket_t fd, int ready);
  std::vector<std::pair<Callback, Result>> collect_finished();
  static HttpClientError connect_error(CURL* easy);
  std::pair<Callback, Result> finish(CURL* easy, CURLcode code);
  void remove(CURL* easy);
};

int
HttpClient::State::handle_socket_change(CURL*,
                                        curl_socket_t fd,
                                        int poll_events,
                                        void* user,
                                        void*)
{
  State& state = *static_cast<State*>(user);
  // The old watcher must stop before a new one starts on the same socket.
  state.sockets.erase(fd);
  if (poll_events == CURL_POLL_REMOVE)
    return 0;
  int events = 0;
  if (poll_events & CURL_POLL_IN)
    events |= EV_READ;
  if (poll_events & CURL_POLL_OUT)
    events |= EV_WRITE;
  state.sockets[fd] = state.loop.watch(fd, events, [&state, fd](int ready) {
    int mask = 0;
    if (ready & EV_READ)
      mask |= CURL_CSELECT_IN;
    if (ready & EV_WRITE)
      mask |= CURL_CSELECT_OUT;
    state.handle_socket_ready(fd, mask);
  });
  return 0;
}

int
HttpClient::State::handle_timer_change(CURLM*, long timeout_ms, void* user)
{
  State& state = *static_cast<State*>(user);
  state.timer.reset();
  if (timeout_ms >= 0)
    state.timer =
      state.timers.after(kernel::Milliseconds(timeout_ms), [&state] {
        state.handle_socket_ready(CURL_SOCKET_TIMEOUT, 0);
      });
  return 0;
}

void
HttpClient::State::handle_socket_ready(curl_socket_t fd, int ready)
{
  int running = 0;
  curl_multi_socket_action(this->multi, fd, ready, &running);
  std::vector<std::pair<Callback, Result>> finished = this->collect_finished();
  // A callback may destroy the client, so no member is used from here on.
  for (std::pair<Callback, Result>& item : finished)
    item.first(std::move(item.second));
}

std::vector<std::pair<HttpClient::Callback, HttpClient::Result>>
HttpClient::State::collect_finished()
{
  std::vector<std::pair<Callback, Result>> finished;
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(this->multi, &remaining)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    CURL* easy = message->easy_handle;
    CURLcode code = message->data.result;
    finished.push_back(this->finish(easy, code));
  }
  return finished;
}

HttpClientError
HttpClient::State::connect_error(CURL* easy)
{
  long error = 0;
  curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
  return error == ECONNREFUSED ? HttpClientError::Refused
                               : HttpClientError::NotSent;
}

std::pair<HttpClient::Callback, HttpClient::Result>
HttpClient::State::finish(CURL* easy, CURLcode code)
{
  Transfer& transfer = *this->transfers.at(easy);
  Callback callback = std::move(transfer.callback);
  Result result;
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    transfer.response.status = static_cast<int>(status);
    result = std::move(transfer.response);
  } else {
    result = tl::unexpected(transfer.sent ? HttpClientError::Ambiguous
                                          : connect_error(easy));
  }
  this->remove(easy);
  return { std::move(callback), std::move(result) };
}

void
HttpClient::State::remove(CURL* easy)
{
  curl_multi_remove_handle(this->multi, easy);
  this->transfers.erase(easy);
  if (this->idle_handles.size() >= MAX_IDLE_HANDLES) {
    curl_easy_cleanup(easy);
    return;
  }
  curl_easy_reset(easy);
  this->idle_handles.push_back(easy);
}

HttpClient::HttpClient(kernel::Loop& loop,
                       kernel::TimerService& timers,
                       int max_connections_per_host)
  : Task(loop, "http_client")
  , state(new State{ .loop = loop,
                     .timers = timers,
                     .multi = nullptr,
                     .timer = {},
                     .sockets = {},
                     .transfers = {},
                     .idle_handles = {} })
{
  static std::once_flag initialised;
  std::call_once(initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  this->state->multi = curl_multi_init();
  CURLM* multi = this->state->multi;
  curl_multi_setopt(
    multi, CURLMOPT_SOCKETFUNCTION, &State::handle_socket_change);
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this->state.get());
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &State::handle_timer_change);
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this->state.get());
  curl_multi_setopt(multi,
                    CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(max_connections_per_host));
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
}

HttpClient::~HttpClient()
{
  while (!this->state->transfers.empty())
    this->state->remove(this->state->transfers.begin()->first);
  for (CURL* easy : this->state->idle_handles)
    curl_easy_cleanup(easy);
  curl_multi_cleanup(this->state->multi);
}

void
HttpClient::call(HttpClientRequest call, Callback callback)
{
  std::unique_ptr<Transfer> transfer = std::make_unique<Transfer>();
  transfer->call = std::move(call);
  transfer->callback = std::move(callback);
  if (this->state->idle_handles.empty()) {
    transfer->easy = curl_easy_init();
  } else {
    transfer->easy = this->state->idle_handles.back();
    this->state->idle_handles.pop_back();
  }
  set_options(*transfer);
  CURL* easy = transfer->easy;
  this->state->transfers.emplace(easy, std::move(transfer));
  curl_multi_add_handle(this->state->multi, easy);
}

} // namespace geraniumhinge::gateway
