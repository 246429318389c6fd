#pragma once

#include "gateway/http_client.h"
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
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::review {

/// Task name and attempt.
using Run = std::pair<std::string, std::uint32_t>;

struct WorkerOptions
{
  std::string id;
  std::string registry; ///< Address of the agent's registry.
  std::string service = "planner";
  std::string kind = "a";
  std::string rack = "r1-1";
  int accelerators = 8;
  /// Queue whose starts need a ticket, as the task_spec of its jobs; empty for
  /// none. A start without a valid ticket is rejected.
  std::string ticket_spec{};
  std::int64_t ticket_validity_ms = 20'000; ///< From the issue of a ticket.
};

/// A stand-in for a worker: runs tasks under a lease, lists their ends and
/// announces itself to the agent on its machine. `World` lets the tasks work.
class Worker
{
public:
  using Json = nlohmann::json;

  struct RunState
  {
    std::string spec;
    std::int64_t started_ms = 0;
    std::int64_t working_since_ms = 0; ///< 0 while a gang is incomplete.
    int percent = 0;
    bool will_fail = false;
  };

  struct End
  {
    std::uint64_t number = 0;
    Run run;
    std::string kind;
  };

  /// What happened to a run: "start", an end kind, "gone", or "noted: " and an
  /// end kind. "lease over" comes with an empty run.
  using Hook = std::function<void(const std::string& event, const Run& run)>;

  Worker(kernel::Loop& loop,
         kernel::TimerService& timers,
         gateway::HttpClient& client,
         WorkerOptions options,
         Hook hook);

  /// A ticket that is issued now.
  static std::string make_ticket();

  /// Starts a new incarnation.
  void start();
  /// Ends the incarnation without a word: connections are refused.
  void crash();
  bool is_up() const { return this->server != nullptr; }

  /// Lists the end of a run that is there.
  void end(const Run& run, const std::string& kind);
  /// Ends all runs if the lease is over.
  void expire_lease();

  std::map<Run, RunState> running;
  /// Boot time of the last call that extended the lease.
  std::int64_t renewed_ms = 0;
  /// The worker is unhealthy: starts get status 503 and do nothing.
  bool shedding = false;
  /// Runs that start now will fail.
  bool failing = false;
  const WorkerOptions options;

private:
  struct Waiting
  {
    gateway::HttpServer::ResponseCallback respond;
    kernel::Subscription timeout;
  };

  void announce();
  std::int64_t clock_ms() const;
  void handle(const gateway::HttpRequest& request,
              gateway::HttpServer::ResponseCallback respond);
  void extend_lease(const Json& body);
  bool has_valid_ticket(const Json& body) const;
  void handle_start(const Json& body,
                    const gateway::HttpServer::ResponseCallback& respond);
  void handle_stop(const Json& body,
                   const gateway::HttpServer::ResponseCallback& respond);
  void handle_hold(const Json& body,
                   gateway::HttpServer::ResponseCallback respond);
  void send_lists(const gateway::HttpServer::ResponseCallback& respond) const;
  void answer(const gateway::HttpServer::ResponseCallback& respond,
              int status,
              const std::string& reason = "") const;

  kernel::Loop& loop;
  kernel::TimerService& timers;
  gateway::HttpClient& client;
  Hook hook;
  std::string address;
  std::unique_ptr<gateway::HttpServer> server;
  kernel::Subscription announcements;
  std::int64_t born_ms = 0;
  std::int64_t clock_start_ms = 0;
  std::uint64_t sequence = 0;
  std::uint64_t fence = 0;
  std::int64_t lease_until_ms = 0;
  bool lease_held = false;
  std::uint64_t next_end = 1;
  std::list<End> ended;
  std::map<std::string, std::uint32_t> last_attempts;
  std::list<Waiting> waiting;
};

} // namespace geraniumhinge::review
