#include "review/probe/worker.h"

#include "tests/support/ports.h"

#include <algorithm>
#include <fmt/format.h>

namespace geraniumhinge::review {

namespace {

constexpr kernel::Milliseconds HEARTBEAT_PERIOD{ 1'500 };
constexpr kernel::Milliseconds HEARTBEAT_TIMEOUT{ 1'000 };
constexpr std::int64_t MAX_LEASE_MS = 6'000;
constexpr std::int64_t MAX_WAIT_MS = 2'000;
constexpr std::size_t MAX_LISTED_ENDS = 500;
constexpr std::size_t MAX_BODY_BYTES = 1UL * 1'024 * 1'024;
constexpr int OK = 200;
constexpr int NOT_FOUND = 404;
constexpr int CONFLICT = 409;
constexpr int MISDIRECTED = 421;
constexpr int UNAVAILABLE = 503;

} // namespace

Worker::Worker(kernel::Loop& loop,
               kernel::TimerService& timers,
               gateway::HttpClient& client,
               WorkerOptions options,
               Hook hook)
  : options(std::move(options))
  , loop(loop)
  , timers(timers)
  , client(client)
  , hook(std::move(hook))
  , address(tests::free_address())
{
}

void
Worker::start()
{
  this->server = std::make_unique<gateway::HttpServer>(
    this->loop,
    this->timers,
    this->address,
    MAX_BODY_BYTES,
    [this](const gateway::HttpRequest& request,
           gateway::HttpServer::ResponseCallback respond) {
      this->handle(request, std::move(respond));
    });
  if (!this->server->listen())
    this->server.reset();
  this->born_ms = kernel::unix_ms();
  this->clock_start_ms = kernel::boot_ms();
  this->sequence = 0;
  this->fence = 0;
  this->lease_until_ms = 0;
  this->lease_held = false;
  this->next_end = 1;
  this->ended.clear();
  this->last_attempts.clear();
  this->announcements =
    this->timers.every(HEARTBEAT_PERIOD, [this] { this->announce(); });
  this->announce();
}

void
Worker::crash()
{
  this->announcements.reset();
  this->waiting.clear();
  this->server.reset();
  for (const std::pair<const Run, RunState>& item : this->running)
    this->hook("gone", item.first);
  this->running.clear();
}

void
Worker::announce()
{
  Json body{ { "service", this->options.service },
             { "address", this->address },
             { "zone", "zone-1" },
             { "version", "v1" },
             { "slots", 8 },
             { "state", "ready" },
             { "warmup_left_ms", 0 },
             { "free_capacity",
               { { "cpu", 32'000 },
                 { "mem_mb", 131'072 },
                 { "gpu", this->options.accelerators } } },
             { "labels", { this->options.kind, this->options.rack } },
             { "clock_ms", this->clock_ms() },
             { "born", this->born_ms },
             { "sequence", ++this->sequence } };
  gateway::HttpClientRequest call;
  call.url = fmt::format("http://{}/geraniumhinge/instances/{}/heartbeat",
                         this->options.registry,
                         this->options.id);
  call.headers["Content-Type"] = "application/json";
  call.body = body.dump();
  call.timeout = HEARTBEAT_TIMEOUT;
  this->client.call(std::move(call), [](const gateway::HttpClient::Result&) {});
}

std::int64_t
Worker::clock_ms() const
{
  return kernel::boot_ms() - this->clock_start_ms;
}

void
Worker::end(const Run& run, const std::string& kind)
{
  if (this->running.erase(run) == 0)
    return;
  std::uint32_t& last = this->last_attempts[run.first];
  last = std::max(last, run.second);
  this->ended.push_back({ this->next_end++, run, kind });
  this->hook(kind, run);
  for (Waiting& item : this->waiting)
    this->send_lists(item.respond);
  this->waiting.clear();
}

void
Worker::expire_lease()
{
  if (!this->lease_held || this->clock_ms() < this->lease_until_ms)
    return;
  this->lease_held = false;
  this->hook("lease over", {});
  while (!this->running.empty()) {
    Run run = this->running.begin()->first;
    this->end(run, "lapsed");
  }
}

void
Worker::handle(const gateway::HttpRequest& request,
               gateway::HttpServer::ResponseCallback respond)
{
  std::map<std::string, std::string>::const_iterator expected =
    request.headers.find("expected-instance");
  if (expected != request.headers.end() &&
      expected->second != this->options.id) {
    this->answer(respond, MISDIRECTED);
    return;
  }
  Json body = Json::parse(request.body, nullptr, false);
  std::uint64_t token = body.value("fence_token", std::uint64_t{ 0 });
  if (token < this->fence) {
    this->answer(respond, CONFLICT, "fence");
    return;
  }
  this->fence = token;
  this->expire_lease();
  this->extend_lease(body);
  if (request.path == "/geraniumhinge/run-start")
    this->handle_start(body, respond);
  else if (request.path == "/geraniumhinge/run-stop")
    this->handle_stop(body, respond);
  else if (request.path == "/geraniumhinge/hold")
    this->handle_hold(body, std::move(respond));
  else if (request.path == "/geraniumhinge/pace")
    this->answer(respond, OK);
  else
    this->answer(respond, NOT_FOUND);
}

/// A lease never gets shorter, and is never longer than the longest one.
void
Worker::extend_lease(const Json& body)
{
  if (!body.contains("deadline_ms"))
    return;
  std::int64_t until_ms = std::min(body["deadline_ms"].get<std::int64_t>(),
                                   this->clock_ms() + MAX_LEASE_MS);
  if (until_ms <= this->lease_until_ms)
    return;
  this->lease_until_ms = until_ms;
  this->lease_held = this->clock_ms() < until_ms;
  this->renewed_ms = kernel::boot_ms();
}

std::string
Worker::make_ticket()
{
  return std::to_string(kernel::boot_ms());
}

bool
Worker::has_valid_ticket(const Json& body) const
{
  std::string ticket = body.value("ticket", "");
  return !ticket.empty() && kernel::boot_ms() - std::stoll(ticket) <=
                              this->options.ticket_validity_ms;
}

void
Worker::handle_start(const Json& body,
                     const gateway::HttpServer::ResponseCallback& respond)
{
  Run run{ body.at("task").get<std::string>(),
           body.at("attempt").get<std::uint32_t>() };
  std::string spec = body.value("task_spec", "");
  if (this->running.contains(run)) {
    this->answer(respond, OK);
  } else if (this->shedding) {
    this->hook("rejected: 503", run);
    this->answer(respond, UNAVAILABLE);
  } else if (run.second <= this->last_attempts[run.first]) {
    this->answer(respond, CONFLICT, "old");
  } else if (this->clock_ms() >= this->lease_until_ms) {
    this->answer(respond, CONFLICT, "late");
  } else if (!this->options.ticket_spec.empty() &&
             spec == this->options.ticket_spec &&
             !this->has_valid_ticket(body)) {
    this->hook("rejected: ticket", run);
    this->answer(respond, CONFLICT, "ticket");
  } else {
    this->running[run] = { spec, kernel::boot_ms(), 0, 0, this->failing };
    this->hook("start", run);
    this->answer(respond, OK);
  }
}

void
Worker::handle_stop(const Json& body,
                    const gateway::HttpServer::ResponseCallback& respond)
{
  Run run{ body.at("task").get<std::string>(),
           body.at("attempt").get<std::uint32_t>() };
  std::uint32_t& last = this->last_attempts[run.first];
  last = std::max(last, run.second);
  this->end(run, "stopped");
  this->answer(respond, OK);
}

void
Worker::handle_hold(const Json& body,
                    gateway::HttpServer::ResponseCallback respond)
{
  std::uint64_t seen = body.value("last_seen", std::uint64_t{ 0 });
  while (!this->ended.empty() && this->ended.front().number <= seen) {
    this->hook("noted: " + this->ended.front().kind, this->ended.front().run);
    this->ended.pop_front();
  }
  std::int64_t wait_ms =
    std::min(body.value("wait_ms", std::int64_t{ 0 }), MAX_WAIT_MS);
  if (!this->ended.empty() || wait_ms == 0) {
    this->send_lists(respond);
    return;
  }
  std::list<Waiting>::iterator item =
    this->waiting.emplace(this->waiting.end());
  item->respond = std::move(respond);
  item->timeout =
    this->timers.after(kernel::Milliseconds(wait_ms), [this, item] {
      gateway::HttpServer::ResponseCallback waiting_call = item->respond;
      this->waiting.erase(item);
      this->send_lists(waiting_call);
    });
}

void
Worker::send_lists(const gateway::HttpServer::ResponseCallback& respond) const
{
  Json response{ { "clock_ms", this->clock_ms() },
                 { "born", this->born_ms },
                 { "running_tasks", Json::array() },
                 { "ended", Json::array() } };
  for (const std::pair<const Run, RunState>& item : this->running)
    response["running_tasks"].push_back(
      { item.first.first, item.first.second, "", item.second.percent, 0 });
  for (const End& item : this->ended) {
    if (response["ended"].size() == MAX_LISTED_ENDS)
      break;
    response["ended"].push_back(
      { item.number, item.run.first, item.run.second, item.kind, "" });
  }
  respond({ OK, "application/json", response.dump(), {} });
}

void
Worker::answer(const gateway::HttpServer::ResponseCallback& respond,
               int status,
               const std::string& reason) const
{
  Json body{ { "clock_ms", this->clock_ms() }, { "born", this->born_ms } };
  if (!reason.empty())
    body["reason"] = reason;
  respond({ status, "application/json", body.dump(), {} });
}

} // namespace geraniumhinge::review
