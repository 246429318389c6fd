// Measures processor time, memory, bytes sent and received and table accesses
// of entries and agents, which run as separate processes on the loopback
// interface. Prints the results as one JSON document.

#include "tests/support/organisations.h"
#include "tests/support/wait.h"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;
using nlohmann::json;
using std::this_thread::sleep_for;

namespace {

constexpr kernel::Milliseconds IDLE_WINDOW{ 10'000 };
constexpr kernel::Milliseconds GANG_WINDOW{ 6'000 };
// Longer than the agents' heartbeat period of 5 s: a heartbeat may carry the
// last digest.
constexpr kernel::Milliseconds CHANGE_WINDOW{ 6'000 };
constexpr std::uint32_t CONFIG_CHANGES = 10;
constexpr kernel::Milliseconds QUEUE_IDLE_WINDOW{ 2'000 };
constexpr std::size_t SHORT_JOBS = 40;
constexpr std::size_t ORGANISATIONS = 74; // With three entries; else 1.
constexpr int SHORT_RUN_MS = 100;
constexpr int LONG_RUN_MS = 600'000;
constexpr std::uint32_t SERVER_ACCELERATORS = 8;
constexpr std::uint32_t QUEUE_LIMIT = 10'000;
constexpr int SUBMITTERS = 8;
constexpr double NS_PER_MS = 1e6;
constexpr double MS_PER_S = 1e3;
const std::string QUEUE_GAUGE = "geraniumhinge_entry_jobs_queued";
constexpr kernel::Milliseconds WAIT_LIMIT{ 30'000 };

struct ProcessNode
{
  std::string role;
  pid_t pid;
  std::string address;
};

using Metrics = std::map<std::string, double>;

struct Snapshot
{
  std::int64_t time_ms = 0;
  std::vector<Metrics> nodes;
  Metrics table;
};

struct DeploymentSize
{
  std::size_t agents;
  std::size_t entries;
  std::uint32_t gang_members;
  bool with_changes;
};

const std::vector<DeploymentSize> DEPLOYMENT_SIZES{
  { 10, 1, 8, true },    { 50, 1, 32, false }, { 100, 1, 64, false },
  { 200, 1, 128, true }, { 10, 2, 0, false },  { 10, 3, 0, true }
};

std::string
read_text(const std::string& path)
{
  std::ifstream file(path);
  return { std::istreambuf_iterator<char>(file), {} };
}

/// Returns the id of the child process whose command line contains `argument`,
/// or 0 if there is none.
pid_t
find_child_process(const std::string& argument)
{
  std::istringstream children(
    read_text(fmt::format("/proc/self/task/{}/children", getpid())));
  pid_t pid = 0;
  while (children >> pid) {
    std::string line = read_text(fmt::format("/proc/{}/cmdline", pid));
    if (line.find(argument) != std::string::npos)
      return pid;
  }
  return 0;
}

/// Returns the processor time of all threads of a process. The 10 ms resolution
/// of /proc/PID/stat is too coarse for an agent that uses less than 10 ms per
/// second.
double
read_cpu_ms(pid_t pid)
{
  double total = 0;
  for (const std::filesystem::directory_entry& thread :
       std::filesystem::directory_iterator(fmt::format("/proc/{}/task", pid)))
    total += std::stod(read_text(thread.path().string() + "/schedstat"));
  return total / NS_PER_MS;
}

double
read_memory_kb(pid_t pid)
{
  std::string text = read_text(fmt::format("/proc/{}/status", pid));
  return std::stod(text.substr(text.find("VmRSS:") + 6));
}

void
read_metrics(const std::string& address, Metrics& metrics)
{
  std::optional<HttpReply> response =
    call_http({ "http://" + address + "/metrics", "", {}, WAIT_LIMIT });
  std::istringstream lines(response ? response->body : "");
  std::string line;
  while (std::getline(lines, line)) {
    std::string name = line.substr(0, line.find(' '));
    if (name.find("_peer_") != std::string::npos || name == QUEUE_GAUGE)
      metrics[name] = std::stod(line.substr(name.size()));
  }
}

/// Returns the size of the table service's response to a scan of the first 100
/// rows with this prefix.
std::size_t
scan_response_bytes(Deployment& deployment, const std::string& prefix)
{
  std::string url = "http://" + deployment.store_relay().address();
  json body{ { "prefix", prefix }, { "after", "" }, { "limit", 100 } };
  HttpCall call{ url + "/table/scan", body.dump(), {}, WAIT_LIMIT };
  return call_http(call).value().body.size();
}

/// Measures the resource use of all entries and agents in a time window. The
/// requests to /metrics are sent outside the window, so that the processor time
/// does not include them.
class Observer
{
public:
  explicit Observer(Deployment& deployment)
    : deployment(deployment)
  {
    for (const EntryNode& node : this->deployment.entries())
      this->nodes.push_back(
        { "entry", find_child_process(node.settings_path), node.http_address });
    for (const ServerNode& node : this->deployment.servers())
      this->nodes.push_back(
        { "agent", find_child_process(node.settings_path), node.http_address });
  }

  Snapshot take_snapshot(bool at_start) const
  {
    Snapshot result;
    result.nodes.resize(this->nodes.size());
    if (at_start)
      this->read_all_metrics(result);
    result.time_ms = kernel::boot_ms();
    for (std::size_t i = 0; i < this->nodes.size(); i++) {
      result.nodes[i]["cpu_ms"] = read_cpu_ms(this->nodes[i].pid);
      result.nodes[i]["memory_kb"] = read_memory_kb(this->nodes[i].pid);
    }
    if (!at_start)
      this->read_all_metrics(result);
    return result;
  }

  json measure(const std::function<void()>& work) const
  {
    Snapshot before = this->take_snapshot(true);
    work();
    Snapshot after = this->take_snapshot(false);
    double seconds =
      static_cast<double>(after.time_ms - before.time_ms) / MS_PER_S;
    json result{ { "seconds", seconds } };
    result["load"] = read_text("/proc/loadavg");
    result["cell_bytes"] = scan_response_bytes(this->deployment, "cell/");
    result["config_bytes"] = scan_response_bytes(this->deployment, "config");
    for (const char* role : { "entry", "agent" })
      result[role] = this->summarize_role(role, before, after, seconds);
    for (const Metrics::value_type& item : after.table)
      result["table"][item.first] = item.second - before.table.at(item.first);
    return result;
  }

private:
  void read_all_metrics(Snapshot& result) const
  {
    for (std::size_t i = 0; i < this->nodes.size(); i++)
      read_metrics(this->nodes[i].address, result.nodes[i]);
    result.table = this->deployment.store_counters().get<Metrics>();
  }

  /// Returns mean and maximum over the processes of a role: memory in
  /// kilobytes, all other values as changes per second.
  json summarize_role(const std::string& role,
                      const Snapshot& before,
                      const Snapshot& after,
                      double seconds) const
  {
    std::map<std::string, std::vector<double>> values;
    for (std::size_t i = 0; i < this->nodes.size(); i++) {
      if (this->nodes[i].role != role)
        continue;
      for (const Metrics::value_type& item : after.nodes[i]) {
        Metrics::const_iterator previous = before.nodes[i].find(item.first);
        if (item.first == "memory_kb")
          values[item.first].push_back(item.second);
        else if (previous != before.nodes[i].end())
          values[item.first].push_back((item.second - previous->second) /
                                       seconds);
      }
    }
    json result;
    for (std::pair<const std::string, std::vector<double>>& item : values) {
      std::sort(item.second.begin(), item.second.end());
      double sum = std::reduce(item.second.begin(), item.second.end());
      double count = static_cast<double>(item.second.size());
      result[item.first] = { { "mean", sum / count },
                             { "max", item.second.back() } };
    }
    return result;
  }

  Deployment& deployment;
  std::vector<ProcessNode> nodes;
};

JobPlan
make_job(const std::string& id, std::uint32_t members, int run_ms)
{
  return { .request_id = id,
           .members = members,
           .accelerators = SERVER_ACCELERATORS,
           .run_ms = run_ms };
}

json
measure_gang(const Observer& observer,
             const Caller& caller,
             std::uint32_t members)
{
  JobResult job = caller.submit(make_job("gang", members, LONG_RUN_MS));
  bool running = job && wait_until(WAIT_LIMIT, [&] {
                   JobResult found = caller.get(job->id());
                   return found && found->state() == v1::JOB_STATE_RUNNING;
                 });
  json result = observer.measure([] { sleep_for(GANG_WINDOW); });
  result["members"] = running ? members : 0;
  if (job && caller.cancel(job->id()))
    caller.wait(job->id(), WAIT_LIMIT);
  return result;
}

json
measure_jobs(const Observer& observer, const Caller& caller)
{
  int done = 0;
  json result = observer.measure([&] {
    std::vector<JobResult> jobs(SHORT_JOBS);
    for (std::size_t i = 0; i < SHORT_JOBS; i++)
      jobs[i] =
        caller.submit(make_job(fmt::format("job-{}", i), 1, SHORT_RUN_MS));
    for (const JobResult& job : jobs)
      done += job && caller.wait(job->id(), WAIT_LIMIT) ? 1 : 0;
  });
  result["jobs_done"] = done;
  return result;
}

json
measure_changes(const Observer& observer, const Operator& operator_calls)
{
  int done = 0;
  json result = observer.measure([&] {
    v1::Limits limits = wide_limits();
    for (std::uint32_t i = 0; i < CONFIG_CHANGES; i++) {
      limits.set_max_queued_jobs(QUEUE_LIMIT - i);
      done += operator_calls.limit("organisation-0", limits) ? 1 : 0;
      sleep_for(CHANGE_WINDOW / CONFIG_CHANGES);
    }
  });
  result["changes_done"] = done;
  return result;
}

std::vector<OrganisationCaller>
start_with_organisations(Deployment& deployment, const DeploymentSize& size)
{
  if (!deployment.start())
    return {};
  std::vector<std::string> names(size.entries == 3 ? ORGANISATIONS : 1);
  for (std::size_t i = 0; i < names.size(); i++)
    names[i] = fmt::format("organisation-{}", i);
  return create_organisations(deployment, size.entries, names);
}

json
measure_size(const DeploymentSize& size)
{
  json result{ { "agents", size.agents }, { "entries", size.entries } };
  Deployment deployment(small_plan(size.entries, 1, size.agents));
  std::vector<OrganisationCaller> organisations =
    start_with_organisations(deployment, size);
  if (organisations.empty()) {
    result["error"] = "the deployment did not start";
    return result;
  }
  Observer observer(deployment);
  result["idle"] = observer.measure([] { sleep_for(IDLE_WINDOW); });
  if (size.gang_members > 0)
    result["gang"] =
      measure_gang(observer, organisations[0].caller, size.gang_members);
  result["jobs"] = measure_jobs(observer, organisations[0].caller);
  if (size.with_changes)
    result["changes"] =
      measure_changes(observer, Operator(deployment.operator_client()));
  return result;
}

int
submit_concurrently(const Caller& caller, int from, int to)
{
  std::atomic<int> next = from;
  std::atomic<int> accepted = 0;
  std::vector<std::thread> threads(SUBMITTERS);
  for (std::thread& thread : threads)
    thread = std::thread([&] {
      for (int i = next++; i < to; i = next++) {
        JobPlan job = make_job(fmt::format("queued-{}", i), 1, LONG_RUN_MS);
        accepted += caller.submit(job) ? 1 : 0;
      }
    });
  for (std::thread& thread : threads)
    thread.join();
  return accepted;
}

/// Replaces the entry and waits until the new one has restored all queued jobs.
json
measure_restart(Deployment& deployment, int queued)
{
  json before = deployment.store_counters();
  std::int64_t begin = kernel::boot_ms();
  deployment.replace_entry(0);
  wait_until(WAIT_LIMIT, [&] { return deployment.is_ready(0); });
  std::int64_t ready_ms = kernel::boot_ms() - begin;
  json at_ready = deployment.store_counters();
  bool queue_restored = wait_until(WAIT_LIMIT, [&] {
    Metrics metrics;
    read_metrics(deployment.entries()[0].http_address, metrics);
    return metrics[QUEUE_GAUGE] >= queued;
  });
  std::int64_t queue_restored_ms = kernel::boot_ms() - begin;
  Snapshot after = Observer(deployment).take_snapshot(false);
  return { { "ready_ms", ready_ms },
           { "queue_known_ms", queue_restored ? queue_restored_ms : -1 },
           { "entry", after.nodes[0] },
           { "table_before", before },
           { "table_at_ready", at_ready },
           { "table_after", after.table } };
}

json
measure_queue()
{
  Deployment deployment(small_plan(1, 1, 1));
  std::vector<OrganisationCaller> organisations =
    start_with_organisations(deployment, { 1, 1, 0, false });
  if (organisations.empty())
    return { { "error", "the deployment did not start" } };
  v1::Limits limits = wide_limits();
  limits.set_max_queued_jobs(QUEUE_LIMIT);
  Operator(deployment.operator_client()).limit("organisation-0", limits);
  json result = json::array();
  int submitted = 0;
  for (int total : { 1, 101, 1'001, 4'001 }) {
    Observer observer(deployment);
    json& step = result.emplace_back(json{ { "open_jobs", total } });
    step["submit"] = observer.measure([&] {
      step["accepted"] =
        submit_concurrently(organisations[0].caller, submitted, total);
    });
    submitted = total;
    step["idle"] = observer.measure([] { sleep_for(QUEUE_IDLE_WINDOW); });
    step["restart"] = measure_restart(deployment, total - 1);
  }
  return result;
}

} // namespace

int
main()
{
  json result;
  std::int64_t begin = kernel::boot_ms();
  for (const DeploymentSize& size : DEPLOYMENT_SIZES)
    result["sizes"].push_back(measure_size(size));
  result["queue"] = measure_queue();
  result["seconds"] = static_cast<double>(kernel::boot_ms() - begin) / MS_PER_S;
  std::cout << result.dump(2) << '\n';
  return 0;
}
