// Stand-in of a backend server with the interface of platform/backend_http.h.
// The input describes the task or run:
// {"run_ms": 200, "output": "x", "exit": 0}
// With any other input, the task or run ends at once and outputs its input.
#include "gateway/http_server.h"
#include "kernel/clock.h"
#include "tests/standins/backend_requests.h"

#include <algorithm>
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;
using ResponseCallback = gateway::HttpServer::ResponseCallback;

namespace {

constexpr kernel::Milliseconds LEASE_CHECK_PERIOD{ 20 };
constexpr std::int64_t USAGE_LAG_MS = 2'000;
constexpr std::size_t MAX_BODY_BYTES = 16UL * 1'024 * 1'024;
constexpr std::uint32_t MILLI = 1'000;
constexpr std::uint32_t FULL_SPEED = 100;

struct Capacity
{
  std::uint32_t slots = 0;
  std::uint32_t accelerators = 0;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
};

struct Task
{
  std::uint64_t accelerators = 0;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  Work work;
  std::int64_t lease_until_ms = 0;
  std::int64_t done_ms = 0;    // Run time at full speed, up to `updated_ms`.
  std::int64_t updated_ms = 0; // Boot time.
  std::uint32_t percent = FULL_SPEED;
  std::string state = "running";
  std::vector<ResponseCallback> pending_waits;
  kernel::Subscription end;

  bool running() const { return this->state == "running"; }
};

struct Faults
{
  bool fail_all = false;
  bool refuse = false;
  bool freeze = false;
  bool drop_answer = false;
  std::int64_t slow_ms = 0;
};

HttpResponse
task_response(const Task& task)
{
  bool final = task.state == "succeeded" || task.state == "failed";
  HttpResponse response = binary_response(final ? task.work.output : "");
  response.headers["task-state"] = task.state;
  return response;
}

class BackendServer
{
public:
  BackendServer(kernel::Loop& loop,
                kernel::TimerService& timers,
                const std::string& address,
                Capacity capacity)
    : timers(timers)
    , capacity(capacity)
    , server(
        loop,
        timers,
        address,
        MAX_BODY_BYTES,
        [this](const HttpRequest& request, const ResponseCallback& respond) {
          this->handle(request, respond);
        })
  {
    this->lease_checks =
      timers.every(LEASE_CHECK_PERIOD, [this] { this->expire_leases(); });
  }

  bool listen() { return this->server.listen().has_value(); }

private:
  void record(const std::string& event,
              const TaskKey& key,
              std::uint64_t attempt)
  {
    this->journal.push_back({ { "event", event },
                              { "job", std::get<0>(key) },
                              { "generation", std::get<1>(key) },
                              { "member", std::get<2>(key) },
                              { "attempt", std::to_string(attempt) },
                              { "boot_ms", kernel::boot_ms() } });
  }

  void handle(const HttpRequest& request, const ResponseCallback& respond)
  {
    this->expire_leases();
    if (request.path == "/journal")
      return respond({ 200, "application/json", this->journal.dump(), {} });
    if (request.path == "/faults")
      return this->set_faults(request.body, respond);
    if (this->faults.refuse)
      return respond(error_response("refused", 503));
    this->dispatch(request, this->with_faults(respond));
  }

  void dispatch(const HttpRequest& request, const ResponseCallback& respond)
  {
    if (request.path == "/run")
      return this->run(request, respond);
    if (request.path == "/usage")
      return respond({ 200, "application/json", this->usage().dump(), {} });
    if (request.path == "/tasks/start")
      return respond(this->start(request));
    std::map<TaskKey, Task>::iterator found =
      this->tasks.find(task_key(request));
    if (found == this->tasks.end()) {
      if (request.path == "/tasks/stop")
        this->refused_starts.insert(task_key(request));
      return respond(error_response("no_such_task", 404));
    }
    this->dispatch_task(found->first, found->second, request, respond);
  }

  void dispatch_task(const TaskKey& key,
                     Task& task,
                     const HttpRequest& request,
                     const ResponseCallback& respond)
  {
    if (request.path == "/tasks/wait")
      return this->wait(task, int_parameter(request, "timeout_ms"), respond);
    if (request.path == "/tasks/checkpoint")
      return respond(this->checkpoint(key, task));
    if (request.path == "/tasks/throttle") {
      this->set_speed(
        key,
        task,
        static_cast<std::uint32_t>(int_parameter(request, "percent")));
      return respond(binary_response(""));
    }
    if (request.path == "/tasks/renew" && task.state == "lease_expired")
      return respond(error_response("lease_expired"));
    if (request.path == "/tasks/renew")
      task.lease_until_ms =
        std::max(task.lease_until_ms, int_parameter(request, "lease_until_ms"));
    else if (request.path == "/tasks/stop" && task.running())
      this->end_task(key, task, "stopped", "stop");
    else if (request.path != "/tasks/stop")
      return respond(error_response("no_such_method", 404));
    respond(task_response(task));
  }

  /// Applies the faults that are set at the time of the response.
  ResponseCallback with_faults(const ResponseCallback& respond)
  {
    return [this, respond](const HttpResponse& response) {
      // The responder is kept, so that the connection stays open.
      if (this->faults.drop_answer)
        return this->dropped_responses.push_back(respond);
      if (this->faults.freeze)
        return this->frozen_responses.push_back({ respond, response });
      if (this->faults.slow_ms == 0)
        return respond(response);
      this->run_after(this->faults.slow_ms,
                      [respond, response] { respond(response); });
    };
  }

  void run_after(std::int64_t delay_ms, std::function<void()> callback)
  {
    std::uint64_t id = this->next_timer++;
    this->delayed_calls[id] =
      this->timers.after(kernel::Milliseconds(delay_ms),
                         [this, id, callback = std::move(callback)] {
                           callback();
                           this->delayed_calls.erase(id);
                         });
  }

  void set_faults(const std::string& body, const ResponseCallback& respond)
  {
    nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
      return respond(error_response("malformed", 400));
    this->faults = { json.value("fail_all", false),
                     json.value("refuse", false),
                     json.value("freeze", false),
                     json.value("drop_answer", false),
                     json.value("slow_ms", std::int64_t(0)) };
    if (!this->faults.freeze) {
      for (std::pair<ResponseCallback, HttpResponse>& item :
           this->frozen_responses)
        item.first(std::move(item.second));
      this->frozen_responses.clear();
    }
    respond(binary_response(""));
  }

  std::uint32_t slots_used() const
  {
    std::uint32_t used = this->active_runs;
    for (const std::pair<const TaskKey, Task>& item : this->tasks)
      used += item.second.running() ? 1 : 0;
    return used;
  }

  bool fits(const Task& requested) const
  {
    std::uint64_t requested_accelerators = requested.accelerators;
    std::uint64_t all_accelerators =
      this->capacity.accelerators >= 64
        ? ~std::uint64_t(0)
        : (std::uint64_t(1) << this->capacity.accelerators) - 1;
    std::uint32_t cores = requested.cores;
    std::uint32_t memory_mb = requested.memory_mb;
    bool accelerators_overlap = false;
    for (const std::pair<const TaskKey, Task>& item : this->tasks) {
      const Task& task = item.second;
      if (!task.running())
        continue;
      accelerators_overlap = accelerators_overlap ||
                             (task.accelerators & requested_accelerators) != 0;
      cores += task.cores;
      memory_mb += task.memory_mb;
    }
    return !accelerators_overlap &&
           (requested_accelerators & ~all_accelerators) == 0 &&
           cores <= this->capacity.cores &&
           memory_mb <= this->capacity.memory_mb &&
           this->slots_used() < this->capacity.slots;
  }

  HttpResponse start(const HttpRequest& request)
  {
    TaskKey key = task_key(request);
    std::map<TaskKey, Task>::iterator known = this->tasks.find(key);
    if (known != this->tasks.end())
      return known->second.state == "lease_expired"
               ? error_response("lease_expired")
               : binary_response("");
    std::uint32_t& newest_generation =
      this->newest_generation[std::get<0>(key)];
    if (std::get<1>(key) < newest_generation ||
        this->refused_starts.count(key) != 0)
      return error_response("older_generation");
    newest_generation = std::get<1>(key);
    Task task;
    task.accelerators =
      std::stoull("0" + text_parameter(request, "accelerators"));
    task.cores = static_cast<std::uint32_t>(int_parameter(request, "cores"));
    task.memory_mb =
      static_cast<std::uint32_t>(int_parameter(request, "memory_mb"));
    task.lease_until_ms = int_parameter(request, "lease_until_ms");
    task.work = parse_work(request.body);
    if (task.lease_until_ms <= kernel::boot_ms())
      return error_response("lease_expired");
    if (!this->fits(task))
      return error_response("no_slot");
    std::string checkpoint = text_parameter(request, "checkpoint_key");
    if (!checkpoint.empty())
      task.done_ms = std::stoll(checkpoint.substr(checkpoint.rfind('/') + 1));
    if (this->faults.fail_all)
      task.work.exit = 1;
    task.updated_ms = kernel::boot_ms();
    Task& stored_task = this->tasks[key] = std::move(task);
    this->record("start", key, 0);
    this->schedule_end(key, stored_task);
    return binary_response("");
  }

  void schedule_end(const TaskKey& key, Task& task)
  {
    std::int64_t remaining_ms =
      this->faults.fail_all
        ? 0
        : (task.work.run_ms - task.done_ms) * FULL_SPEED / task.percent;
    task.end = this->timers.after(
      kernel::Milliseconds(std::max<std::int64_t>(remaining_ms, 0)),
      [this, key, &task] {
        // The lease may have expired while the process was paused.
        this->expire_leases();
        if (task.running())
          this->end_task(
            key, task, task.work.exit == 0 ? "succeeded" : "failed", "end");
      });
  }

  void update_work(Task& task)
  {
    std::int64_t now = kernel::boot_ms();
    task.done_ms += (now - task.updated_ms) * task.percent / FULL_SPEED;
    task.updated_ms = now;
  }

  void set_speed(const TaskKey& key, Task& task, std::uint32_t percent)
  {
    if (!task.running())
      return;
    this->update_work(task);
    task.percent = std::clamp(percent, 1U, FULL_SPEED);
    this->schedule_end(key, task);
  }

  HttpResponse checkpoint(const TaskKey& key, Task& task)
  {
    if (!task.running())
      return error_response("no_such_task", 404);
    this->update_work(task);
    this->record("checkpoint", key, 0);
    return binary_response(fmt::format(
      "checkpoint/{}/{}/{}", std::get<0>(key), std::get<2>(key), task.done_ms));
  }

  void end_task(const TaskKey& key,
                Task& task,
                const std::string& state,
                const std::string& event)
  {
    task.state = state;
    task.end.reset();
    this->record(event, key, 0);
    for (ResponseCallback& respond : std::exchange(task.pending_waits, {}))
      respond(task_response(task));
  }

  void expire_leases()
  {
    std::int64_t now = kernel::boot_ms();
    for (std::pair<const TaskKey, Task>& item : this->tasks) {
      if (item.second.running() && now >= item.second.lease_until_ms)
        this->end_task(item.first, item.second, "lease_expired", "lapse");
    }
  }

  void wait(Task& task,
            std::int64_t timeout_ms,
            const ResponseCallback& respond)
  {
    if (!task.running())
      return respond(task_response(task));
    std::shared_ptr<bool> has_responded = std::make_shared<bool>(false);
    ResponseCallback respond_once = [has_responded,
                                     respond](HttpResponse response) {
      if (!std::exchange(*has_responded, true))
        respond(std::move(response));
    };
    task.pending_waits.push_back(respond_once);
    this->run_after(
      timeout_ms, [respond_once, &task] { respond_once(task_response(task)); });
  }

  void run(const HttpRequest& request, const ResponseCallback& respond)
  {
    std::uint64_t attempt =
      std::stoull("0" + text_parameter(request, "attempt"));
    if (attempt != 0 && !this->seen_attempts.insert(attempt).second)
      return respond(error_response("repeated"));
    if (this->slots_used() >= this->capacity.slots)
      return respond(error_response("no_slot"));
    Work work = parse_work(request.body);
    bool failed = work.exit != 0 || this->faults.fail_all;
    this->active_runs++;
    this->record("run", {}, attempt);
    std::function<void()> end = [this, attempt, work, failed, respond] {
      this->active_runs--;
      this->record("run_end", {}, attempt);
      respond(failed ? error_response("failed", 500)
                     : binary_response(work.output));
    };
    if (work.run_ms == 0)
      end();
    else
      this->run_after(work.run_ms, end);
  }

  nlohmann::json usage()
  {
    std::int64_t now = kernel::boot_ms();
    if (now - this->usage_ms < USAGE_LAG_MS)
      return this->last_usage;
    this->usage_ms = now;
    nlohmann::json previous =
      std::exchange(this->last_usage, nlohmann::json::array());
    for (std::pair<const TaskKey, Task>& item : this->tasks) {
      if (!item.second.running())
        continue;
      this->update_work(item.second);
      this->last_usage.push_back(
        { { "job", std::get<0>(item.first) },
          { "generation", std::get<1>(item.first) },
          { "member", std::get<2>(item.first) },
          { "cores_used_milli",
            item.second.cores * MILLI * item.second.percent / FULL_SPEED },
          { "memory_used_mb", item.second.memory_mb },
          { "run_time_ms", item.second.done_ms } });
    }
    return previous;
  }

  kernel::TimerService& timers;
  Capacity capacity;
  Faults faults;
  nlohmann::json journal = nlohmann::json::array();
  nlohmann::json last_usage = nlohmann::json::array();
  std::int64_t usage_ms = 0;
  std::map<TaskKey, Task> tasks;
  std::map<std::string, std::uint32_t> newest_generation;
  std::set<TaskKey> refused_starts;
  std::set<std::uint64_t> seen_attempts;
  std::uint32_t active_runs = 0;
  std::vector<ResponseCallback> dropped_responses;
  std::vector<std::pair<ResponseCallback, HttpResponse>> frozen_responses;
  std::map<std::uint64_t, kernel::Subscription> delayed_calls;
  std::uint64_t next_timer = 0;
  kernel::Subscription lease_checks;
  gateway::HttpServer server;
};

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options options("backend_standin", "Stand-in of a backend server");
  options.add_options()("listen", "host:port", cxxopts::value<std::string>())(
    "slots", "", cxxopts::value<std::uint32_t>()->default_value("8"))(
    "accelerators", "", cxxopts::value<std::uint32_t>()->default_value("8"))(
    "cores", "", cxxopts::value<std::uint32_t>()->default_value("32"))(
    "memory-mb", "", cxxopts::value<std::uint32_t>()->default_value("131072"));
  cxxopts::ParseResult arguments = options.parse(argc, argv);
  kernel::Loop loop;
  kernel::TimerService timers(loop);
  BackendServer server(loop,
                       timers,
                       arguments["listen"].as<std::string>(),
                       { arguments["slots"].as<std::uint32_t>(),
                         arguments["accelerators"].as<std::uint32_t>(),
                         arguments["cores"].as<std::uint32_t>(),
                         arguments["memory-mb"].as<std::uint32_t>() });
  if (!server.listen()) {
    std::cerr << "can't listen\n";
    return 1;
  }
  kernel::Subscription on_term =
    loop.watch_signal(SIGTERM, [&loop] { loop.stop(); });
  loop.run();
  return 0;
}
