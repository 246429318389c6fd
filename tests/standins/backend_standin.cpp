// Stand-in of a backend server. Interface: platform/backend_http.h. A task or
// run is described by its input, {"run_ms": 200, "output": "x", "exit": 0}; any
// other input ends at once and is its own output.
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
using Respond = gateway::HttpServer::Respond;

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
  std::int64_t done_ms = 0;    // Work done up to `counted_ms`.
  std::int64_t counted_ms = 0; // Boot time.
  std::uint32_t percent = FULL_SPEED;
  std::string state = "running";
  std::vector<Respond> waiting;
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
report(const Task& task)
{
  bool final = task.state == "succeeded" || task.state == "failed";
  HttpResponse response = whole(final ? task.work.output : "");
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
    , server(loop,
             timers,
             address,
             MAX_BODY_BYTES,
             [this](const HttpRequest& request, const Respond& respond) {
               this->handle(request, respond);
             })
  {
    this->lease_checks =
      timers.every(LEASE_CHECK_PERIOD, [this] { this->expire_leases(); });
  }

  bool listen() { return this->server.listen().has_value(); }

private:
  void record(const std::string& event, const Key& key, std::uint64_t attempt)
  {
    this->journal.push_back({ { "event", event },
                              { "job", std::get<0>(key) },
                              { "generation", std::get<1>(key) },
                              { "member", std::get<2>(key) },
                              { "attempt", std::to_string(attempt) },
                              { "boot_ms", kernel::boot_ms() } });
  }

  void handle(const HttpRequest& request, const Respond& respond)
  {
    this->expire_leases();
    if (request.path == "/journal")
      return respond({ 200, "application/json", this->journal.dump(), {} });
    if (request.path == "/faults")
      return this->set_faults(request.body, respond);
    if (this->faults.refuse)
      return respond(error("refused", 503));
    this->act(request, this->with_faults(respond));
  }

  void act(const HttpRequest& request, const Respond& respond)
  {
    if (request.path == "/run")
      return this->run(request, respond);
    if (request.path == "/usage")
      return respond({ 200, "application/json", this->usage().dump(), {} });
    if (request.path == "/tasks/start")
      return respond(this->start(request));
    std::map<Key, Task>::iterator found = this->tasks.find(key_of(request));
    if (found == this->tasks.end()) {
      if (request.path == "/tasks/stop")
        this->refused.insert(key_of(request));
      return respond(error("no_such_task", 404));
    }
    this->act_on(found->first, found->second, request, respond);
  }

  void act_on(const Key& key,
              Task& task,
              const HttpRequest& request,
              const Respond& respond)
  {
    if (request.path == "/tasks/wait")
      return this->wait(task, number(request, "timeout_ms"), respond);
    if (request.path == "/tasks/checkpoint")
      return respond(this->checkpoint(key, task));
    if (request.path == "/tasks/throttle") {
      this->set_speed(
        key, task, static_cast<std::uint32_t>(number(request, "percent")));
      return respond(whole(""));
    }
    if (request.path == "/tasks/renew" && task.state == "lease_expired")
      return respond(error("lease_expired"));
    if (request.path == "/tasks/renew")
      task.lease_until_ms =
        std::max(task.lease_until_ms, number(request, "lease_until_ms"));
    else if (request.path == "/tasks/stop" && task.running())
      this->end_task(key, task, "stopped", "stop");
    else if (request.path != "/tasks/stop")
      return respond(error("no_such_method", 404));
    respond(report(task));
  }

  /// Wraps an answer in the faults that are on when it is given.
  Respond with_faults(const Respond& respond)
  {
    return [this, respond](const HttpResponse& answer) {
      // A dropped answer is kept, so that the connection stays silent.
      if (this->faults.drop_answer)
        return this->dropped.push_back(respond);
      if (this->faults.freeze)
        return this->frozen.push_back({ respond, answer });
      if (this->faults.slow_ms == 0)
        return respond(answer);
      this->later(this->faults.slow_ms, [respond, answer] { respond(answer); });
    };
  }

  void later(std::int64_t delay_ms, std::function<void()> fn)
  {
    std::uint64_t id = this->next_timer++;
    this->delayed[id] = this->timers.after(kernel::Milliseconds(delay_ms),
                                           [this, id, fn = std::move(fn)] {
                                             fn();
                                             this->delayed.erase(id);
                                           });
  }

  void set_faults(const std::string& body, const Respond& respond)
  {
    nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
      return respond(error("malformed", 400));
    this->faults = { json.value("fail_all", false),
                     json.value("refuse", false),
                     json.value("freeze", false),
                     json.value("drop_answer", false),
                     json.value("slow_ms", std::int64_t(0)) };
    if (!this->faults.freeze) {
      for (std::pair<Respond, HttpResponse>& item : this->frozen)
        item.first(std::move(item.second));
      this->frozen.clear();
    }
    respond(whole(""));
  }

  std::uint32_t slots_used() const
  {
    std::uint32_t used = this->runs;
    for (const std::pair<const Key, Task>& item : this->tasks)
      used += item.second.running() ? 1 : 0;
    return used;
  }

  bool fits(const Task& wanted) const
  {
    std::uint64_t mask = wanted.accelerators;
    std::uint64_t all =
      this->capacity.accelerators >= 64
        ? ~std::uint64_t(0)
        : (std::uint64_t(1) << this->capacity.accelerators) - 1;
    std::uint32_t cores = wanted.cores;
    std::uint32_t memory_mb = wanted.memory_mb;
    bool overlap = false;
    for (const std::pair<const Key, Task>& item : this->tasks) {
      const Task& task = item.second;
      if (!task.running())
        continue;
      overlap = overlap || (task.accelerators & mask) != 0;
      cores += task.cores;
      memory_mb += task.memory_mb;
    }
    return !overlap && (mask & ~all) == 0 && cores <= this->capacity.cores &&
           memory_mb <= this->capacity.memory_mb &&
           this->slots_used() < this->capacity.slots;
  }

  HttpResponse start(const HttpRequest& request)
  {
    Key key = key_of(request);
    std::map<Key, Task>::iterator known = this->tasks.find(key);
    if (known != this->tasks.end())
      return known->second.state == "lease_expired" ? error("lease_expired")
                                                    : whole("");
    std::uint32_t& newest = this->newest[std::get<0>(key)];
    if (std::get<1>(key) < newest || this->refused.count(key) != 0)
      return error("older_generation");
    newest = std::get<1>(key);
    Task task;
    task.accelerators = std::stoull("0" + text(request, "accelerators"));
    task.cores = static_cast<std::uint32_t>(number(request, "cores"));
    task.memory_mb = static_cast<std::uint32_t>(number(request, "memory_mb"));
    task.lease_until_ms = number(request, "lease_until_ms");
    task.work = parse_work(request.body);
    if (task.lease_until_ms <= kernel::boot_ms())
      return error("lease_expired");
    if (!this->fits(task))
      return error("no_slot");
    std::string checkpoint = text(request, "checkpoint_key");
    if (!checkpoint.empty())
      task.done_ms = std::stoll(checkpoint.substr(checkpoint.rfind('/') + 1));
    if (this->faults.fail_all)
      task.work.exit = 1;
    task.counted_ms = kernel::boot_ms();
    Task& stored = this->tasks[key] = std::move(task);
    this->record("start", key, 0);
    this->schedule_end(key, stored);
    return whole("");
  }

  void schedule_end(const Key& key, Task& task)
  {
    std::int64_t left_ms =
      this->faults.fail_all
        ? 0
        : (task.work.run_ms - task.done_ms) * FULL_SPEED / task.percent;
    task.end = this->timers.after(
      kernel::Milliseconds(std::max<std::int64_t>(left_ms, 0)),
      [this, key, &task] {
        // The lease may have run out while the process was paused.
        this->expire_leases();
        if (task.running())
          this->end_task(
            key, task, task.work.exit == 0 ? "succeeded" : "failed", "end");
      });
  }

  void count_work(Task& task)
  {
    std::int64_t now = kernel::boot_ms();
    task.done_ms += (now - task.counted_ms) * task.percent / FULL_SPEED;
    task.counted_ms = now;
  }

  void set_speed(const Key& key, Task& task, std::uint32_t percent)
  {
    if (!task.running())
      return;
    this->count_work(task);
    task.percent = std::clamp(percent, 1U, FULL_SPEED);
    this->schedule_end(key, task);
  }

  HttpResponse checkpoint(const Key& key, Task& task)
  {
    if (!task.running())
      return error("no_such_task", 404);
    this->count_work(task);
    this->record("checkpoint", key, 0);
    return whole(fmt::format(
      "checkpoint/{}/{}/{}", std::get<0>(key), std::get<2>(key), task.done_ms));
  }

  void end_task(const Key& key,
                Task& task,
                const std::string& state,
                const std::string& event)
  {
    task.state = state;
    task.end.reset();
    this->record(event, key, 0);
    for (Respond& respond : std::exchange(task.waiting, {}))
      respond(report(task));
  }

  void expire_leases()
  {
    std::int64_t now = kernel::boot_ms();
    for (std::pair<const Key, Task>& item : this->tasks) {
      if (item.second.running() && now >= item.second.lease_until_ms)
        this->end_task(item.first, item.second, "lease_expired", "lapse");
    }
  }

  void wait(Task& task, std::int64_t timeout_ms, const Respond& respond)
  {
    if (!task.running())
      return respond(report(task));
    std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    Respond once = [answered, respond](HttpResponse answer) {
      if (!std::exchange(*answered, true))
        respond(std::move(answer));
    };
    task.waiting.push_back(once);
    this->later(timeout_ms, [once, &task] { once(report(task)); });
  }

  void run(const HttpRequest& request, const Respond& respond)
  {
    std::uint64_t attempt = std::stoull("0" + text(request, "attempt"));
    if (attempt != 0 && !this->attempts.insert(attempt).second)
      return respond(error("repeated"));
    if (this->slots_used() >= this->capacity.slots)
      return respond(error("no_slot"));
    Work work = parse_work(request.body);
    bool failed = work.exit != 0 || this->faults.fail_all;
    this->runs++;
    this->record("run", {}, attempt);
    std::function<void()> end = [this, attempt, work, failed, respond] {
      this->runs--;
      this->record("run_end", {}, attempt);
      respond(failed ? error("failed", 500) : whole(work.output));
    };
    if (work.run_ms == 0)
      end();
    else
      this->later(work.run_ms, end);
  }

  nlohmann::json usage()
  {
    std::int64_t now = kernel::boot_ms();
    if (now - this->usage_ms < USAGE_LAG_MS)
      return this->last_usage;
    this->usage_ms = now;
    nlohmann::json previous =
      std::exchange(this->last_usage, nlohmann::json::array());
    for (std::pair<const Key, Task>& item : this->tasks) {
      if (!item.second.running())
        continue;
      this->count_work(item.second);
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
  std::map<Key, Task> tasks;
  std::map<std::string, std::uint32_t> newest;
  std::set<Key> refused;
  std::set<std::uint64_t> attempts;
  std::uint32_t runs = 0;
  std::vector<Respond> dropped;
  std::vector<std::pair<Respond, HttpResponse>> frozen;
  std::map<std::uint64_t, kernel::Subscription> delayed;
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
