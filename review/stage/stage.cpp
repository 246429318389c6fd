#include "review/stage/stage.h"

#include "kernel/clock.h"
#include "tests/support/ports.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>

namespace geraniumhinge::review {

namespace {

using tests::ServerStandin;

constexpr int HEARTBEAT_MS = 1'500;
constexpr int RACK_SIZE = 3;
constexpr int READY_POLL_MS = 200;
constexpr int PROGRESS_MS = 50;
constexpr int COMPLETE_PERCENT = 100;
constexpr int MAX_READY_POLLS = 100;
/// For the first reports of the agents to the owner.
constexpr int SETTLE_MS = 4'000;
constexpr int CALL_TIMEOUT_MS = 3'500;
constexpr char TOKEN[] = "key-of-porto";
constexpr int HTTP_OK = 200;

std::string
configuration()
{
  std::string routes;
  int priority = 0;
  for (const char* prefix : { URGENT, TRIAL, BATCH }) {
    routes += fmt::format(
      R"({}{{"name":"r-{}","host":"127.0.0.1","path_prefix":"{}",
         "service":"planner","attempts":4,"priority":{},"slo_factor":3.0,
         "slo_ms":1000}})",
      priority == 0 ? "" : ",",
      priority,
      prefix,
      priority);
    ++priority;
  }
  return fmt::format(R"({{"version":3,"routes":[{}],"services":[
      {{"name":"planner"}}],"tenants":[{{"name":"porto","api_keys":["{}"],
      "guaranteed":{{"gpu":8}}}}]}})",
                     routes,
                     TOKEN);
}

nlohmann::json
common_settings(const std::string& name)
{
  return { { "name", name },
           { "zone", "zone-1" },
           { "peer", { { "listen", tests::free_address() } } },
           { "http", { { "listen", tests::free_address() } } },
           { "limits", { { "memory_mb", 260 }, { "max_descriptors", 4'100 } } },
           { "platform", { { "max_lease_ms", 6'000 } } } };
}

} // namespace

Stage::Stage(int argc, char** argv)
  : programs_folder(argc > 1 ? argv[1] : "target/bin")
  , record_file(std::string(argc > 2 ? argv[2] : ".") + "/record.txt")
{
  const char* setting = std::getenv("TROUBLE");
  this->trouble = !setting || std::string(setting) != "0";
  std::string name =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  this->folder = mkdtemp(name.data()) ? name : std::string();
  this->store.put({ "op", "", "config" }, configuration());
  this->work_ms = [](const Worker& worker, const ServerStandin::Run& run) {
    return std::atoi(worker.standin->running.at(run).c_str());
  };
  this->end_kind = [](const Worker&, const ServerStandin::Run&) {
    return std::string("done");
  };
}

Stage::~Stage()
{
  this->programs.clear();
  // Their timers must end before the loop does.
  this->workers.clear();
  this->subscriptions.clear();
  if (!this->folder.empty() && !std::getenv("KEEP_LOGS"))
    std::filesystem::remove_all(this->folder);
}

std::int64_t
Stage::now_ms() const
{
  return this->begin_ms == 0 ? 0 : kernel::boot_ms() - this->begin_ms;
}

void
Stage::record(const std::string& line)
{
  std::string text = fmt::format("{:>7} ms  {}", this->now_ms(), line);
  this->record_file << text << std::endl;
  fmt::print("{}\n", text);
  std::fflush(stdout);
}

void
Stage::start_process(const std::string& name,
                     const std::string& program,
                     const nlohmann::json& settings)
{
  std::string path = this->folder + "/" + name + ".json";
  std::ofstream(path) << settings.dump(2);
  this->programs[name].arguments = {
    this->programs_folder + "/" + program, "serve", "--settings", path
  };
  this->start_process(name);
}

/// Starts the process, or starts it again after its end.
void
Stage::start_process(const std::string& name)
{
  Program& program = this->programs.at(name);
  program.process.reset();
  program.process = std::make_unique<tests::Process>(
    program.arguments, this->folder + "/" + name + ".log");
  program.started_ms = kernel::boot_ms();
}

std::int64_t
Stage::process_started_ms(const std::string& name) const
{
  return this->programs.at(name).started_ms;
}

Worker&
Stage::worker(const std::string& id)
{
  return *std::find_if(this->workers.begin(),
                       this->workers.end(),
                       [&id](const Worker& item) { return item.id == id; });
}

tests::Process&
Stage::process(const std::string& name)
{
  return *this->programs.at(name).process;
}

void
Stage::add_deployment(int entry_count, int worker_count)
{
  for (int index = 0; index < entry_count; ++index)
    this->add_entry();
  for (int index = 0; index < worker_count; ++index)
    this->add_worker(fmt::format("r1-{}", index / RACK_SIZE + 1));
}

void
Stage::add_front(Worker& worker)
{
  worker.front = std::make_unique<FailingFront>(
    this->loop, this->timers, worker.standin->address());
}

void
Stage::add_entry()
{
  std::string name = fmt::format("entry-{}", this->caller_addresses.size() + 1);
  nlohmann::json settings = common_settings(name);
  this->caller_addresses.push_back(tests::free_address());
  this->ready_addresses.push_back(tests::free_address());
  nlohmann::json& platform = settings["platform"];
  platform["caller_listen"] = this->caller_addresses.back();
  platform["ready_listen"] = this->ready_addresses.back();
  platform["store_address"] = this->store.address();
  platform["stop_grace_ms"] = 900;
  platform["rack_penalty"] = 3;
  platform["checkpoint_s"] = 2;
  platform["core_share"] = 0.25;
  platform["max_row_bytes"] = 65'536;
  platform["early_ms"] = 250;
  platform["retention_s"] = 120;
  this->start_process(name, "geraniumhinge", settings);
}

Worker&
Stage::add_worker(const std::string& rack)
{
  Worker& worker = this->workers.emplace_back();
  std::size_t number = this->workers.size();
  worker.id = fmt::format("i-{:08x}", number);
  worker.agent = fmt::format("side-{}", number);
  worker.standin = std::make_unique<ServerStandin>(this->loop, this->timers);
  worker.standin->rack = rack;
  worker.standin->started_ms = kernel::unix_ms();
  worker.registry_address = tests::free_address();
  worker.standin->on_start = [this, &worker](const ServerStandin::Run& run) {
    this->handle_start(worker, run);
  };
  worker.standin->on_end = [this, &worker](const ServerStandin::Run& run,
                                           const std::string& end_kind) {
    this->handle_end(worker, run, end_kind);
  };
  worker.standin->on_end_acknowledged =
    [this, &worker](const ServerStandin::End& end) {
      this->handle_noted(worker, end);
    };
  nlohmann::json settings = common_settings(worker.agent);
  settings["limits"]["memory_mb"] = 128;
  settings["limits"]["max_descriptors"] = 4'096;
  nlohmann::json& platform = settings["platform"];
  platform["registry_listen"] = worker.registry_address;
  platform["store_address"] = this->store.address();
  platform["service"] = "planner";
  platform["heartbeat_ms"] = HEARTBEAT_MS;
  this->start_process(worker.agent, "geraniumhinge-agent", settings);
  return worker;
}

void
Stage::send_heartbeat(const Worker& worker,
                      const std::string& id,
                      const nlohmann::json& body)
{
  gateway::HttpClientRequest request;
  request.url = fmt::format("http://{}/geraniumhinge/instances/{}/heartbeat",
                            worker.registry_address,
                            id);
  request.headers["Content-Type"] = "application/json";
  request.body = body.dump();
  request.timeout = kernel::Milliseconds(1'000);
  this->client.call(std::move(request),
                    [](const gateway::HttpClient::Result&) {});
}

void
Stage::announce(Worker& worker)
{
  if (!worker.is_up)
    return;
  nlohmann::json body =
    worker.standin->announcement("ready", ++worker.sequence);
  if (worker.front)
    body["address"] = worker.front->address();
  this->send_heartbeat(worker, worker.id, body);
  this->on_heartbeat(worker);
}

std::unique_ptr<ServerStandin>
Stage::make_foreign_worker()
{
  std::unique_ptr<ServerStandin> standin =
    std::make_unique<ServerStandin>(this->loop, this->timers);
  standin->started_ms = kernel::unix_ms();
  return standin;
}

void
Stage::send_foreign_heartbeat(const Worker& worker,
                              const std::string& id,
                              const nlohmann::json& body)
{
  this->record(fmt::format("trouble: heartbeat of another writer at {}: {} {}",
                           worker.agent,
                           id,
                           body.dump()));
  this->send_heartbeat(worker, id, body);
}

void
Stage::handle_start(Worker& worker, const ServerStandin::Run& run)
{
  this->record(
    fmt::format("{}: starts {} attempt {}", worker.id, run.first, run.second));
  int work_ms = std::max(this->work_ms(worker, run), 1);
  this->runs.push_back({ run.first,
                         run.second,
                         worker.id,
                         this->now_ms(),
                         work_ms,
                         0,
                         "",
                         0,
                         false });
  worker.ends[run] =
    this->timers.after(kernel::Milliseconds(work_ms), [this, &worker, run] {
      worker.standin->finish(run, this->end_kind(worker, run));
    });
}

/// Sets the progress that the backend servers list, of their oldest runs.
void
Stage::update_progress()
{
  for (Worker& worker : this->workers) {
    for (const SeenRun& run : this->runs) {
      if (run.worker != worker.id || run.ended_ms != 0)
        continue;
      std::int64_t done_ms = this->now_ms() - run.started_ms;
      worker.standin->percent = static_cast<int>(std::min<std::int64_t>(
        done_ms * COMPLETE_PERCENT / run.work_ms, COMPLETE_PERCENT - 1));
      break;
    }
  }
}

void
Stage::handle_end(Worker& worker,
                  const ServerStandin::Run& run,
                  const std::string& end_kind)
{
  worker.ends.erase(run);
  this->record(fmt::format(
    "{}: ends {} attempt {}: {}", worker.id, run.first, run.second, end_kind));
  for (SeenRun& seen : this->runs) {
    if (seen.task != run.first || seen.attempt != run.second ||
        seen.worker != worker.id || seen.ended_ms != 0)
      continue;
    seen.ended_ms = this->now_ms();
    seen.end_kind = end_kind;
    SeenRun ended = seen;
    this->on_end(ended);
    break;
  }
}

void
Stage::handle_noted(const Worker& worker, const ServerStandin::End& end)
{
  for (SeenRun& seen : this->runs) {
    if (seen.task != end.run.first || seen.attempt != end.run.second ||
        seen.worker != worker.id || seen.noted_ms != 0)
      continue;
    seen.noted_ms = this->now_ms();
    this->record(fmt::format("{}: the end of {} attempt {} is noted",
                             worker.id,
                             seen.task,
                             seen.attempt));
  }
}

/// Marks the ended runs whose worker's lease has lapsed before their end was
/// noted.
void
Stage::check_leases()
{
  for (SeenRun& seen : this->runs) {
    if (seen.ended_ms != 0 && seen.noted_ms == 0 &&
        !this->worker(seen.worker).standin->has_lease())
      seen.lease_lapsed = true;
  }
}

void
Stage::at(int ms, std::function<void()> action)
{
  this->scheduled.emplace_back(ms, std::move(action));
}

void
Stage::after(int ms, std::function<void()> action)
{
  this->subscriptions.push_back(
    this->timers.after(kernel::Milliseconds(ms), std::move(action)));
}

void
Stage::every(int ms, std::function<void()> action)
{
  this->subscriptions.push_back(
    this->timers.every(kernel::Milliseconds(ms), std::move(action)));
}

void
Stage::call(const std::string& method,
            const std::string& path,
            const std::string& body,
            std::function<void(const Reply&)> done,
            std::size_t entry)
{
  gateway::HttpClientRequest request;
  request.method = method;
  request.url = "http://" + this->caller_addresses[entry] + path;
  request.headers["Authorization"] = std::string("Bearer ") + TOKEN;
  request.headers["Deadline-Ms"] = "3000";
  if (!body.empty())
    request.headers["Content-Type"] = "application/json";
  request.body = body;
  request.timeout = kernel::Milliseconds(CALL_TIMEOUT_MS);
  this->record(fmt::format("caller: {} {} {}", method, path, body));
  this->client.call(
    std::move(request),
    [this, method, path, done = std::move(done)](
      const gateway::HttpClient::Result& result) {
      Reply reply;
      if (result)
        reply = { result->status, result->body };
      this->record(fmt::format(
        "caller: {} {} -> {} {}", method, path, reply.status, reply.body));
      done(reply);
    });
}

void
Stage::crash(Worker& worker, int down_ms)
{
  this->record(fmt::format("trouble: {} crashes", worker.id));
  worker.is_up = false;
  worker.standin->crash();
  this->after(down_ms, [this, &worker] {
    worker.standin->recover();
    worker.standin->started_ms = kernel::unix_ms();
    worker.sequence = 0;
    worker.is_up = true;
    this->record(fmt::format("trouble: {} is back", worker.id));
    this->announce(worker);
  });
}

void
Stage::poll_ready(int polls_left)
{
  if (polls_left == 0) {
    this->finish(NOT_RUN, "no entry got ready");
    return;
  }
  gateway::HttpClientRequest request;
  request.method = "GET";
  request.url =
    "http://" + this->ready_addresses.back() + "/geraniumhinge/ready";
  this->client.call(
    std::move(request),
    [this, polls_left](const gateway::HttpClient::Result& result) {
      if (!result || result->status != HTTP_OK) {
        this->after(READY_POLL_MS,
                    [this, polls_left] { this->poll_ready(polls_left - 1); });
        return;
      }
      this->after(SETTLE_MS, [this] {
        this->begin_ms = kernel::boot_ms();
        this->record(this->trouble ? "traffic starts, with the trouble"
                                   : "traffic starts, without the trouble");
        for (std::pair<int, std::function<void()>>& item : this->scheduled)
          this->after(item.first, item.second);
      });
    });
}

int
Stage::run(int limit_ms)
{
  this->every(HEARTBEAT_MS, [this] {
    for (Worker& worker : this->workers)
      this->announce(worker);
  });
  this->every(PROGRESS_MS, [this] {
    this->update_progress();
    this->check_leases();
  });
  this->after(limit_ms, [this] { this->finish(NOT_RUN, "out of time"); });
  this->poll_ready(MAX_READY_POLLS);
  this->loop.run();
  for (std::pair<const std::string, Program>& item : this->programs) {
    if (this->exit_code == NOT_RUN && !item.second.process->is_running())
      this->record(item.first + " has ended by itself");
  }
  return this->exit_code;
}

void
Stage::finish(int exit_code, const std::string& verdict)
{
  this->exit_code = exit_code;
  this->record(verdict);
  this->loop.stop();
}

} // namespace geraniumhinge::review
