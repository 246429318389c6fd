#include "review/probe/world.h"

#include "tests/support/ports.h"

#include <algorithm>
#include <fmt/format.h>

namespace geraniumhinge::review {

namespace {

using Json = nlohmann::json;

constexpr kernel::Milliseconds WORK_PERIOD{ 10 };
constexpr int WAIT_PERIOD_MS = 10;
constexpr int READY_LIMIT_MS = 15'000;
/// From the readiness of the entries until all workers have been reported.
constexpr int SETTLE_MS = 4'000;
constexpr std::int64_t GANG_WAIT_MS = 3'000;
/// After this time, a worker that fails all that it starts lists the end.
constexpr std::int64_t FAIL_AFTER_MS = 100;
constexpr kernel::Milliseconds CALL_LIMIT{ 3'500 };
constexpr std::size_t MAX_ADVICE_BODY_BYTES = 65'536;
constexpr int OK = 200;
constexpr std::size_t TERM_FIELD_LENGTH = sizeof " term=" - 1;
constexpr int PERCENT = 100;
constexpr int MAX_UNFINISHED_PERCENT = 99;

/// The part of the task's name that all members of a gang share.
std::string
step_of(const std::string& task)
{
  return task.substr(0, task.rfind('.') + 1);
}

/// Whether the policy of the queues with advice allows the worker: not every
/// sixth one, from the third on.
bool
is_allowed(const std::string& worker)
{
  constexpr int PERIOD = 6;
  constexpr int FIRST = 3;
  constexpr std::size_t ID_PREFIX_LENGTH = sizeof "i-" - 1;
  return std::stoi(worker.substr(ID_PREFIX_LENGTH)) % PERIOD != FIRST;
}

} // namespace

std::string
submission(const std::string& spec, int tasks, int accelerators, bool gang)
{
  Json step{ { "count", tasks },
             { "cpu", 1'000 },
             { "mem_mb", 1'024 },
             { "gpu", accelerators },
             { "estimate_ms", 4'000 } };
  if (gang)
    step["gang"] = true;
  return Json{
    { "task_spec", spec }, { "phases", Json::array({ step }) }
  }.dump();
}

World::World(std::string programs,
             std::string folder,
             const std::string& record)
  : programs(std::move(programs))
  , folder(std::move(folder))
  , record(record)
  , advice_server(loop,
                  timers,
                  "127.0.0.1:0",
                  MAX_ADVICE_BODY_BYTES,
                  [this](const gateway::HttpRequest& request,
                         const gateway::HttpServer::ResponseCallback& respond) {
                    this->advise(request, respond);
                  })
{
  if (!this->advice_server.listen())
    this->note("the advice service does not listen");
  this->work_timer = this->timers.every(WORK_PERIOD, [this] { this->work(); });
}

World::~World()
{
  this->agents.clear();
  this->entries.clear();
  // The workers use the loop, which is destroyed before them.
  this->workers.clear();
}

std::int64_t
World::now_ms() const
{
  return kernel::boot_ms() - this->begin_ms;
}

void
World::note(const std::string& line)
{
  this->record << fmt::format("{:7} ms  {}", this->now_ms(), line) << std::endl;
}

nlohmann::json
World::route(const std::string& prefix, int attempts)
{
  return { { "name", "r" + prefix.substr(1, 4) },
           { "host", HOST },
           { "path_prefix", prefix },
           { "service", "planner" },
           { "priority", 1 },
           { "attempts", attempts },
           { "slo_factor", 3.0 },
           { "slo_ms", 1'000 } };
}

void
World::configure(std::uint64_t version, const nlohmann::json& routes)
{
  Json config{ { "version", version },
               { "routes", routes },
               { "services", { { { "name", "planner" } } } },
               { "tenants",
                 { { { "name", "porto" },
                     { "api_keys", { TOKEN } },
                     { "guaranteed", { { "gpu", 8 } } } } } } };
  this->store.put({ "op", "", "config" }, config.dump());
  this->note(fmt::format("operator: configuration {} acknowledged", version));
}

void
World::start_program(const std::string& name,
                     const std::string& program,
                     const nlohmann::json& settings,
                     std::vector<std::unique_ptr<tests::Process>>& group)
{
  std::string path = this->folder + "/" + name + ".json";
  std::ofstream(path) << settings.dump(2);
  group.push_back(std::make_unique<tests::Process>(
    std::vector<std::string>{
      this->programs + "/" + program, "serve", "--settings", path },
    this->folder + "/" + name + ".log"));
}

/// The settings have the values that the deploy templates give with the bounds
/// of the site file rota-sabores.
void
World::add_entry()
{
  std::string name = fmt::format("edge-{}", this->caller_addresses.size() + 1);
  this->caller_addresses.push_back(tests::free_address());
  this->ready_addresses.push_back(tests::free_address());
  Json platform{ { "caller_listen", this->caller_addresses.back() },
                 { "ready_listen", this->ready_addresses.back() },
                 { "store_address", this->front.address() },
                 { "max_lease_ms", 6'000 },
                 { "advice_address",
                   fmt::format("127.0.0.1:{}", this->advice_server.port()) },
                 { "stop_grace_ms", 900 },
                 { "rack_penalty", 3 },
                 { "checkpoint_s", 2 },
                 { "core_share", 0.25 },
                 { "max_row_bytes", 65'536 },
                 { "early_ms", 250 },
                 { "retention_s", 120 } };
  this->start_program(name,
                      "geraniumhinge",
                      { { "name", name },
                        { "zone", "zone-1" },
                        { "peer", { { "listen", tests::free_address() } } },
                        { "http", { { "listen", tests::free_address() } } },
                        { "platform", platform } },
                      this->entries);
}

void
World::add_worker(const std::string& ticket_spec, const std::string& kind)
{
  std::size_t index = this->workers.size();
  std::string name = fmt::format("side-{}", index + 1);
  std::string registry = tests::free_address();
  this->start_program(name,
                      "geraniumhinge-agent",
                      { { "name", name },
                        { "zone", "zone-1" },
                        { "peer", { { "listen", tests::free_address() } } },
                        { "http", { { "listen", tests::free_address() } } },
                        { "platform",
                          { { "registry_listen", registry },
                            { "store_address", this->front.address() },
                            { "service", "planner" },
                            { "max_lease_ms", 6'000 },
                            { "heartbeat_ms", 1'500 } } } },
                      this->agents);
  WorkerOptions options;
  options.id = fmt::format("i-{}", index + 1);
  options.registry = registry;
  options.ticket_spec = ticket_spec;
  options.kind = kind;
  options.ticket_validity_ms = this->ticket_validity_ms;
  this->workers.push_back(std::make_unique<Worker>(
    this->loop,
    this->timers,
    this->client,
    options,
    [this, index](const std::string& event, const Run& run) {
      this->see(index, event, run);
    }));
}

bool
World::wait_ready()
{
  for (std::unique_ptr<Worker>& worker : this->workers)
    worker->start();
  for (std::size_t entry = 0; entry < this->ready_addresses.size(); ++entry) {
    bool ready = false;
    bool served = this->wait(READY_LIMIT_MS, [this, entry, &ready] {
      gateway::HttpClientRequest request;
      request.method = "GET";
      request.url =
        "http://" + this->ready_addresses[entry] + "/geraniumhinge/ready";
      this->client.call(std::move(request),
                        [&ready](const gateway::HttpClient::Result& response) {
                          ready = response && response->status == OK;
                        });
      return ready;
    });
    if (!served)
      return false;
  }
  this->pause(SETTLE_MS);
  return true;
}

bool
World::wait(int limit_ms, const std::function<bool()>& condition)
{
  std::int64_t until_ms = kernel::boot_ms() + limit_ms;
  bool held = false;
  kernel::Subscription check =
    this->timers.every(kernel::Milliseconds(WAIT_PERIOD_MS), [&] {
      held = condition();
      if (held || kernel::boot_ms() >= until_ms)
        this->loop.stop();
    });
  this->loop.run();
  return held;
}

void
World::pause(int length_ms)
{
  this->wait(length_ms, [] { return false; });
}

kernel::Subscription
World::after(int delay_ms, std::function<void()> action)
{
  return this->timers.after(kernel::Milliseconds(delay_ms), std::move(action));
}

gateway::HttpClientRequest
World::make_call(const std::string& method,
                 const std::string& path,
                 const std::string& body,
                 std::size_t entry) const
{
  gateway::HttpClientRequest request;
  request.method = method;
  request.url = "http://" + this->caller_addresses[entry] + path;
  request.headers = { { "Host", HOST },
                      { "Authorization", std::string("Bearer ") + TOKEN },
                      { "Content-Type", "application/json" },
                      { "Deadline-Ms", "3000" } };
  request.body = body;
  request.timeout = CALL_LIMIT;
  return request;
}

void
World::call_beside(const std::string& method,
                   const std::string& path,
                   const std::string& body,
                   std::size_t entry)
{
  this->client.call(this->make_call(method, path, body, entry),
                    [](const gateway::HttpClient::Result&) {});
}

Reply
World::call(const std::string& method,
            const std::string& path,
            const std::string& body,
            std::size_t entry)
{
  gateway::HttpClientRequest request =
    this->make_call(method, path, body, entry);
  std::shared_ptr<std::optional<Reply>> reply =
    std::make_shared<std::optional<Reply>>();
  this->client.call(
    std::move(request), [reply](const gateway::HttpClient::Result& response) {
      *reply = response ? Reply{ response->status, response->body } : Reply{};
    });
  this->wait(static_cast<int>(CALL_LIMIT.count()) + PERCENT,
             [&reply] { return reply->has_value(); });
  Reply result = reply->value_or(Reply{});
  this->note(fmt::format("client: {} {} at edge-{} -> {} {}",
                         method,
                         path,
                         entry + 1,
                         result.status,
                         result.body));
  return result;
}

std::string
World::state(const std::string& id, std::size_t entry)
{
  Reply reply = this->call("GET", QUEUE + id, "", entry);
  Json body = Json::parse(reply.body, nullptr, false);
  return reply.status == OK && body.is_object() ? body.value("state", "") : "";
}

std::optional<std::size_t>
World::owner() const
{
  std::optional<std::size_t> owner;
  std::uint64_t newest_term = 0;
  for (std::size_t index = 0; index < this->entries.size(); ++index) {
    std::ifstream log(fmt::format("{}/edge-{}.log", this->folder, index + 1));
    for (std::string line; std::getline(log, line);) {
      std::size_t term = line.find(" term=");
      if (line.find("ownership_taken") == std::string::npos ||
          term == std::string::npos)
        continue;
      std::uint64_t number = std::stoull(line.substr(term + TERM_FIELD_LENGTH));
      if (number <= newest_term)
        continue;
      newest_term = number;
      owner = index;
    }
  }
  return owner;
}

std::size_t
World::count(const std::string& event, const std::string& task) const
{
  return static_cast<std::size_t>(
    std::count_if(this->sightings.begin(),
                  this->sightings.end(),
                  [&event, &task](const Sighting& item) {
                    return item.event == event && item.run.first == task;
                  }));
}

void
World::fail(std::size_t worker, const Run& run)
{
  this->workers[worker]->end(run, "failed");
  this->break_gang(run);
}

std::optional<std::size_t>
World::worker_of(const Run& run) const
{
  for (std::size_t index = 0; index < this->workers.size(); ++index) {
    if (this->workers[index]->running.contains(run))
      return index;
  }
  return std::nullopt;
}

void
World::see(std::size_t worker, const std::string& event, const Run& run)
{
  this->sightings.push_back({ this->now_ms(), worker, event, run });
  if (run.first.empty())
    this->note(fmt::format("worker i-{}: {}", worker + 1, event));
  else
    this->note(fmt::format("worker i-{}: {} attempt {}: {}",
                           worker + 1,
                           run.first,
                           run.second,
                           event));
}

/// Handles one call at a time, as all calls come from one machine.
void
World::advise(const gateway::HttpRequest& request,
              const gateway::HttpServer::ResponseCallback& respond)
{
  ++this->advice_calls;
  Json body = Json::parse(request.body, nullptr, false);
  this->advice_queue.push_back({ body.at("workers"), respond });
  if (this->advice_queue.size() == 1)
    this->advise_next();
}

/// Answers, after the stated time, which of the workers named may run the step.
void
World::advise_next()
{
  std::size_t workers = this->advice_queue.front().workers.size();
  kernel::Milliseconds delay(this->advice_times.decide_ms +
                             this->advice_times.per_worker_ms *
                               static_cast<int>(workers));
  this->advice_timer = this->timers.after(delay, [this, workers] {
    AdviceCall call = std::move(this->advice_queue.front());
    this->advice_queue.pop_front();
    Json good = Json::array();
    for (const Json& worker : call.workers) {
      if (is_allowed(worker.get<std::string>()))
        good.push_back({ worker, Worker::make_ticket() });
    }
    this->note(fmt::format(
      "advice on {} workers: tickets for {} are issued", workers, good.size()));
    call.respond(
      { OK, "application/json", Json{ { "good", good } }.dump(), {} });
    if (!this->advice_queue.empty())
      this->advise_next();
  });
}

void
World::work()
{
  for (std::unique_ptr<Worker>& worker : this->workers) {
    worker->expire_lease();
    this->work_on(*worker);
  }
}

/// Lets the runs of a worker work, and ends those that are finished.
void
World::work_on(Worker& worker)
{
  std::map<Run, Worker::RunState> now = worker.running;
  for (const std::pair<const Run, Worker::RunState>& item : now) {
    const Run& run = item.first;
    std::map<Run, Worker::RunState>::iterator found = worker.running.find(run);
    if (found == worker.running.end())
      continue;
    std::size_t members = this->gang_size(item.second.spec);
    Worker::RunState& state = found->second;
    if (members == 0 && state.working_since_ms == 0)
      state.working_since_ms = kernel::boot_ms();
    if (members > 0)
      this->advance_gang(run, item.second.spec);
    found = worker.running.find(run);
    if (found == worker.running.end())
      continue;
    if (found->second.working_since_ms == 0) {
      if (kernel::boot_ms() - found->second.started_ms > GANG_WAIT_MS)
        worker.end(run, "alone");
      continue;
    }
    if (found->second.will_fail) {
      if (kernel::boot_ms() - found->second.started_ms > FAIL_AFTER_MS)
        worker.end(run, "failed");
      continue;
    }
    WorkPlan work_plan =
      this->plans.try_emplace(run, this->plan(run, item.second.spec))
        .first->second;
    std::int64_t worked_ms = kernel::boot_ms() - found->second.working_since_ms;
    found->second.percent = static_cast<int>(std::min<std::int64_t>(
      worked_ms * PERCENT / std::max<std::int64_t>(work_plan.work_ms, 1),
      MAX_UNFINISHED_PERCENT));
    if (worked_ms < work_plan.work_ms)
      continue;
    worker.end(run, work_plan.end);
    if (members > 0 && work_plan.end != "done")
      this->break_gang(run);
  }
}

/// The members of a gang work from the moment when all of them are there. A
/// member that is missing afterwards ends the others as broken.
void
World::advance_gang(const Run& run, const std::string& spec)
{
  std::vector<Worker::RunState*> members;
  for (std::unique_ptr<Worker>& worker : this->workers) {
    for (std::pair<const Run, Worker::RunState>& item : worker->running) {
      if (item.first.second == run.second &&
          step_of(item.first.first) == step_of(run.first))
        members.push_back(&item.second);
    }
  }
  bool complete = members.size() == this->gang_size(spec);
  bool working =
    std::any_of(members.begin(), members.end(), [](Worker::RunState* member) {
      return member->working_since_ms != 0;
    });
  if (complete && !working) {
    for (Worker::RunState* member : members)
      member->working_since_ms = kernel::boot_ms();
  } else if (!complete && working) {
    bool finished =
      std::any_of(this->sightings.begin(),
                  this->sightings.end(),
                  [&run](const Sighting& item) {
                    return item.event == "done" &&
                           item.run.second == run.second &&
                           step_of(item.run.first) == step_of(run.first);
                  });
    if (!finished)
      this->break_gang(run);
  }
}

/// Ends all members of the run's gang as broken.
void
World::break_gang(const Run& run)
{
  for (std::unique_ptr<Worker>& worker : this->workers) {
    std::map<Run, Worker::RunState> now = worker->running;
    for (const std::pair<const Run, Worker::RunState>& item : now) {
      if (item.first.second == run.second &&
          step_of(item.first.first) == step_of(run.first))
        worker->end(item.first, "broken");
    }
  }
}

} // namespace geraniumhinge::review
