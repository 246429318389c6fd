#pragma once

#include "gateway/http_server.h"
#include "kernel/clock.h"
#include "kernel/loop.h"
#include "kernel/timer.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::tests {

/// An in-process stand-in for a backend server of the operators' platform.
/// Keeps runs under a lease and lists their ends.
class ServerStandin
{
public:
  using Json = nlohmann::json;
  using Run = std::pair<std::string, std::uint32_t>;
  /// One response lists at most this many ends, the oldest ones.
  static constexpr std::size_t MAX_LISTED_ENDS = 500;

  struct End
  {
    std::uint64_t number = 0;
    Run run;
    std::string end_kind;
    std::string checkpoint;
  };

  ServerStandin(kernel::Loop& loop,
                kernel::TimerService& timers,
                const std::string& address = "127.0.0.1:0")
    : loop(loop)
    , timers(timers)
  {
    this->listen(address);
    this->lease_timer =
      timers.every(kernel::Milliseconds(10), [this] { this->expire(); });
  }

  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(this->port);
  }

  std::int64_t clock_ms() const
  {
    return (kernel::boot_ms() - this->clock_start_ms) *
           (PERCENT - this->clock_slowness_percent) / PERCENT;
  }

  /// Ends all runs if their lease has expired. Also done periodically.
  void expire()
  {
    if (this->running.empty() || this->clock_ms() < this->lease_until_ms)
      return;
    std::map<Run, std::string> expired_runs = this->running;
    for (const std::pair<const Run, std::string>& item : expired_runs)
      this->end(item.first, "lapsed");
  }

  /// Ends a run as if the task had ended by itself, with the end kind
  /// `end_kind`.
  void finish(const Run& run, const std::string& end_kind)
  {
    if (!this->running.contains(run))
      return;
    this->end(run, end_kind);
  }

  /// Lists an end of a run that the agent does not know.
  void add_end(const Run& run, const std::string& end_kind)
  {
    this->ended.push_back({ this->next_end++, run, end_kind, "" });
  }

  /// What a restart does to the calls that wait for a response.
  enum class Connections
  {
    Closed,
    Kept, ///< The new instance responds, as behind a proxy that hides a
          ///< restart.
  };

  /// Simulates a crash and a restart under the same identifier: drops all
  /// state.
  void restart(Connections connections = Connections::Closed)
  {
    if (connections == Connections::Closed) {
      for (Waiting& item : this->waiting)
        item.respond({ gateway::CLOSE_CONNECTION, "", "", {} });
      this->waiting.clear();
    }
    this->drop_runs();
    this->ended.clear();
    this->starts.clear();
    this->last_attempts.clear();
    this->next_end = 1;
    this->acknowledged_ends = 0;
    this->fencing_token = 0;
    this->lease_until_ms = 0;
    this->clock_start_ms = kernel::boot_ms();
    ++this->started_ms;
  }

  /// Simulates a crash: connections are refused until `recover`.
  void crash()
  {
    this->waiting.clear();
    this->server.reset();
    this->listening = false;
    this->drop_runs();
  }

  /// Simulates a crash that leaves connections open: no request gets a
  /// response any more, until `restart` ends `silent`.
  void hang()
  {
    this->silent = true;
    for (Waiting& item : this->waiting)
      this->unanswered.push_back(std::move(item.respond));
    this->waiting.clear();
    this->drop_runs();
  }

  /// Starts a new instance at the address of the one that crashed.
  void recover()
  {
    this->listen(this->address());
    this->restart();
  }

  /// Carries out the delayed starts. Their responses are lost.
  void carry_out_delayed_starts()
  {
    std::vector<gateway::HttpRequest> requests = std::move(this->delayed);
    this->delayed_starts = 0;
    for (const gateway::HttpRequest& request : requests)
      this->handle(request, [](const gateway::HttpResponse&) {});
  }

  bool has_lease() const { return this->clock_ms() < this->lease_until_ms; }

  Json announcement(const std::string& state, std::uint64_t sequence) const
  {
    return { { "remaining_ms", this->min_stay_ms },
             { "service", "planner" },
             { "address", this->address() },
             { "zone", this->zone },
             { "version", "v1" },
             { "slots", 8 },
             { "state", state },
             { "warmup_left_ms", 0 },
             { "free_capacity",
               { { "cpu", 32'000 },
                 { "mem_mb", 131'072 },
                 { "gpu", this->accelerators } } },
             { "labels", { "a", this->rack } },
             { "clock_ms", this->clock_ms() },
             { "born", this->started_ms },
             { "sequence", sequence } };
  }

  enum class PollResponses
  {
    Delivered,
    Closed,  ///< The connection ends instead of a response.
    Missing, ///< No response arrives.
  };

  bool listening = false;
  bool silent = false; ///< Requests are read and never answered.
  PollResponses poll_responses = PollResponses::Delivered;
  /// If not 0, starts and stops are executed this much later, without a
  /// response.
  kernel::Milliseconds call_delay{ 0 };
  int clock_slowness_percent = 0; ///< To be set before the first poll.
  kernel::Milliseconds max_lease{ 6'000 };
  /// Boot time of the last response to a poll that waited its whole time.
  std::int64_t last_full_wait_ms = 0;
  /// Number of starts to execute without a response.
  int unanswered_starts = 0;
  int ignored_starts = 0; ///< Number of starts to drop without a response.
  /// Number of starts to delay until `carry_out_delayed_starts`.
  int delayed_starts = 0;
  std::vector<gateway::HttpRequest> delayed; ///< The delayed starts.
  bool rejecting_tickets = false; ///< Starts are refused for their ticket.
  bool ignoring_stops = false;    ///< Stops are dropped without a response.
  bool malformed_rows = false;    ///< Lists of tasks can't be read row by row.
  int accelerators = 8;           ///< Capacity in the announcement.
  std::string rack = "r1-1";
  std::string zone = "zone-1";
  std::int64_t min_stay_ms = 0; ///< `remaining_ms` of the announcement.
  int percent = 10;             ///< Progress in the list of running tasks.
  std::map<std::string, double> loads; ///< Load in the list of running tasks.
  std::map<std::string, int> paces;    ///< Last requested pace.
  std::int64_t started_ms = 1'000;
  std::uint64_t fencing_token = 0;
  std::map<Run, std::string> running; ///< Payload by run.
  std::vector<Run> starts;            ///< All start requests, in order.
  std::vector<Json> start_bodies;
  std::vector<End> ended;
  std::uint64_t acknowledged_ends = 0;
  /// Called when a run begins, and when a run ends, with its end kind.
  std::function<void(const Run&)> on_start = [](const Run&) {};
  std::function<void(const Run&, const std::string&)> on_end =
    [](const Run&, const std::string&) {};
  /// Called for each end that the agent acknowledges.
  std::function<void(const End&)> on_end_acknowledged = [](const End&) {};
  /// Requests with a fencing token below the highest one.
  int stale_requests = 0;

private:
  struct Waiting
  {
    gateway::HttpServer::ResponseCallback respond;
    kernel::Subscription timeout;
  };

  void drop_runs()
  {
    for (const std::pair<const Run, std::string>& item : this->running)
      this->on_end(item.first, "gone");
    this->running.clear();
  }

  void listen(const std::string& address)
  {
    this->server = std::make_unique<gateway::HttpServer>(
      this->loop,
      this->timers,
      address,
      1UL * 1'024 * 1'024,
      [this](const gateway::HttpRequest& request,
             gateway::HttpServer::ResponseCallback respond) {
        this->handle(request, std::move(respond));
      });
    this->listening = this->server->listen().has_value();
    this->port = this->server->port();
  }

  void end(const Run& run, const std::string& end_kind)
  {
    this->running.erase(run);
    this->last_attempts[run.first] =
      std::max(this->last_attempts[run.first], run.second);
    this->on_end(run, end_kind);
    this->add_end(run, end_kind);
    for (Waiting& item : this->waiting)
      this->respond_with_lists(item.respond);
    this->waiting.clear();
  }

  void handle(const gateway::HttpRequest& request,
              gateway::HttpServer::ResponseCallback respond)
  {
    if (this->silent) {
      this->unanswered.push_back(std::move(respond));
      return;
    }
    bool is_start = request.path == START_PATH;
    bool is_stop = request.path == STOP_PATH;
    if (is_start && this->delayed_starts > 0) {
      --this->delayed_starts;
      this->delayed.push_back(request);
      respond({ gateway::CLOSE_CONNECTION, "", "", {} });
      return;
    }
    if (is_stop && this->ignoring_stops) {
      respond({ gateway::CLOSE_CONNECTION, "", "", {} });
      return;
    }
    Json body = Json::parse(request.body, nullptr, false);
    if (request.path == POLL_PATH)
      respond = this->poll_response(std::move(respond));
    if ((is_start || is_stop) && this->call_delay.count() > 0) {
      this->unanswered.push_back(std::move(respond));
      this->late_calls.push_back(
        this->timers.after(this->call_delay, [this, path = request.path, body] {
          if (this->listening)
            this->execute(path, body, [](const gateway::HttpResponse&) {});
        }));
      return;
    }
    this->execute(request.path, body, std::move(respond));
  }

  /// Sends the response to a poll unless it is to be lost.
  gateway::HttpServer::ResponseCallback poll_response(
    gateway::HttpServer::ResponseCallback respond)
  {
    return [this, respond = std::move(respond)](
             gateway::HttpResponse response) mutable {
      if (this->poll_responses == PollResponses::Delivered)
        respond(std::move(response));
      else if (this->poll_responses == PollResponses::Closed)
        respond({ gateway::CLOSE_CONNECTION, "", "", {} });
      else
        this->unanswered.push_back(std::move(respond));
    };
  }

  void execute(const std::string& path,
               const Json& body,
               gateway::HttpServer::ResponseCallback respond)
  {
    std::uint64_t token = body.value("fence_token", std::uint64_t{ 0 });
    if (token < this->fencing_token) {
      ++this->stale_requests;
      this->refuse(respond, "fence");
      return;
    }
    this->fencing_token = token;
    this->expire();
    if (body.contains("deadline_ms"))
      this->extend_lease(body["deadline_ms"].get<std::int64_t>());
    if (path == START_PATH && this->rejecting_tickets)
      this->refuse(respond, "ticket");
    else if (path == START_PATH)
      this->start(body, respond);
    else if (path == STOP_PATH)
      this->stop(body, respond);
    else if (path == "/geraniumhinge/pace")
      this->pace(body, respond);
    else if (path == POLL_PATH)
      this->renew_lease(body, std::move(respond));
    else
      respond({ 404, "application/json", "{}", {} });
  }

  /// The lease is never shortened, and never longer than the longest one.
  void extend_lease(std::int64_t deadline_ms)
  {
    std::int64_t until_ms =
      std::min(deadline_ms, this->clock_ms() + this->max_lease.count());
    this->lease_until_ms = std::max(this->lease_until_ms, until_ms);
  }

  void refuse(const gateway::HttpServer::ResponseCallback& respond,
              const std::string& reason) const
  {
    Json response{ { "clock_ms", this->clock_ms() }, { "reason", reason } };
    respond({ 409, "application/json", response.dump(), {} });
  }

  void accept(const gateway::HttpServer::ResponseCallback& respond) const
  {
    Json response{ { "clock_ms", this->clock_ms() } };
    respond({ 200, "application/json", response.dump(), {} });
  }

  void start(const Json& body,
             const gateway::HttpServer::ResponseCallback& respond)
  {
    Run run{ body.at("task").get<std::string>(),
             body.at("attempt").get<std::uint32_t>() };
    if (this->ignored_starts > 0) {
      --this->ignored_starts;
      respond({ gateway::CLOSE_CONNECTION, "", "", {} });
      return;
    }
    this->starts.push_back(run);
    this->start_bodies.push_back(body);
    if (!this->running.contains(run)) {
      if (run.second <= this->last_attempts[run.first]) {
        this->refuse(respond, "old");
        return;
      }
      if (this->clock_ms() >= this->lease_until_ms) {
        this->refuse(respond, "late");
        return;
      }
      this->running[run] = body.value("task_spec", "");
      this->on_start(run);
    }
    if (this->unanswered_starts > 0) {
      --this->unanswered_starts;
      respond({ gateway::CLOSE_CONNECTION, "", "", {} });
      return;
    }
    this->accept(respond);
  }

  void stop(const Json& body,
            const gateway::HttpServer::ResponseCallback& respond)
  {
    Run run{ body.at("task").get<std::string>(),
             body.at("attempt").get<std::uint32_t>() };
    this->last_attempts[run.first] =
      std::max(this->last_attempts[run.first], run.second);
    if (this->running.contains(run))
      this->end(run, "stopped");
    this->accept(respond);
  }

  void pace(const Json& body,
            const gateway::HttpServer::ResponseCallback& respond)
  {
    this->paces[body.at("task").get<std::string>()] = body.at("percent");
    this->accept(respond);
  }

  double load_of(const std::string& task) const
  {
    std::map<std::string, double>::const_iterator found =
      this->loads.find(task);
    return found == this->loads.end() ? 0 : found->second;
  }

  void renew_lease(const Json& body,
                   gateway::HttpServer::ResponseCallback respond)
  {
    std::uint64_t acknowledged = body.value("last_seen", std::uint64_t{ 0 });
    this->acknowledged_ends = std::max(this->acknowledged_ends, acknowledged);
    std::erase_if(this->ended, [this, acknowledged](const End& item) {
      if (item.number <= acknowledged)
        this->on_end_acknowledged(item);
      return item.number <= acknowledged;
    });
    std::int64_t wait_ms = body.value("wait_ms", std::int64_t{ 0 });
    if (!this->ended.empty() || wait_ms == 0) {
      this->respond_with_lists(respond);
      return;
    }
    std::list<Waiting>::iterator item =
      this->waiting.emplace(this->waiting.end());
    item->respond = std::move(respond);
    item->timeout =
      this->timers.after(kernel::Milliseconds(wait_ms), [this, item] {
        this->last_full_wait_ms = kernel::boot_ms();
        this->respond_with_lists(item->respond);
        this->waiting.erase(item);
      });
  }

  void respond_with_lists(
    const gateway::HttpServer::ResponseCallback& respond) const
  {
    Json response{ { "clock_ms", this->clock_ms() },
                   { "born", this->started_ms },
                   { "running_tasks", Json::array() },
                   { "ended", Json::array() } };
    for (const std::pair<const Run, std::string>& item : this->running)
      response["running_tasks"].push_back({ item.first.first,
                                            item.first.second,
                                            "",
                                            this->percent,
                                            this->load_of(item.first.first) });
    for (const End& item : this->ended) {
      if (response["ended"].size() == MAX_LISTED_ENDS)
        break;
      response["ended"].push_back({ item.number,
                                    item.run.first,
                                    item.run.second,
                                    item.end_kind,
                                    item.checkpoint });
    }
    if (this->malformed_rows) {
      for (Json& row : response["running_tasks"])
        row[1] = "mistyped";
    }
    respond({ 200, "application/json", response.dump(), {} });
  }

  static constexpr char START_PATH[] = "/geraniumhinge/run-start";
  static constexpr char STOP_PATH[] = "/geraniumhinge/run-stop";
  static constexpr char POLL_PATH[] = "/geraniumhinge/hold";
  static constexpr std::int64_t PERCENT = 100;

  kernel::Loop& loop;
  kernel::TimerService& timers;
  std::unique_ptr<gateway::HttpServer> server;
  int port = 0;
  std::map<std::string, std::uint32_t>
    last_attempts; ///< Highest stopped or ended attempt, by task.
  std::list<Waiting> waiting;
  std::vector<gateway::HttpServer::ResponseCallback> unanswered;
  std::vector<kernel::Subscription> late_calls;
  std::uint64_t next_end = 1;
  std::int64_t lease_until_ms = 0;
  std::int64_t clock_start_ms = kernel::boot_ms();
  kernel::Subscription lease_timer;
};

} // namespace geraniumhinge::tests
