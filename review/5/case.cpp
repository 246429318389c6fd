// A backend server is lost for good and silently, just before jobs are placed
// on it. None of them begins until capacity is free elsewhere. The queue no
// longer counts them as waiting.

#include "kernel/clock.h"
#include "review/harness/cluster.h"

#include <fmt/format.h>
#include <map>
#include <set>

using namespace geraniumhinge;
using namespace geraniumhinge::review;

namespace {

constexpr std::size_t ENTRIES = 3;
/// One of six is less than the share that may be lost at once.
constexpr std::size_t SERVERS = 6;
constexpr std::uint32_t ACCELERATORS = 8;
/// Jobs that fill a server each; one server stays empty.
constexpr std::size_t FIRST_JOBS = SERVERS - 1;
constexpr char FIRST_PREFIX[] = "00000000000000e";
constexpr int WAITING_JOBS = 5;
constexpr std::int64_t FIRST_SUBMIT_MS = 4'000;
/// From the loss of the server until the jobs are submitted.
constexpr std::int64_t SUBMIT_DELAY_MS = 300;
/// Without the disruption, a run of a waiting job takes this long. The first
/// job runs for longer than the case watches the queue.
constexpr std::int64_t RUN_MS = 1'000;
constexpr std::int64_t FIRST_RUN_MS = 20'000;
/// The bound on jobs that must be counted: `visible_ms` and 2 s.
constexpr std::int64_t COUNTED_AFTER_MS = 5'000;
/// Slack for the way of the answers.
constexpr std::int64_t SLACK_MS = 500;
constexpr std::int64_t ASK_PERIOD_MS = 500;
constexpr std::int64_t WATCH_MS = 12'000;
constexpr kernel::Milliseconds LIMIT{ 100'000 };

class Case
{
public:
  Case(Cluster& cluster, bool trouble)
    : cluster(cluster)
    , trouble(trouble)
  {
    cluster.on_start = [this](std::size_t server, const Cluster::Run& run) {
      this->record_start(server, run);
    };
    cluster.after(FIRST_SUBMIT_MS, [this] {
      for (std::size_t index = 0; index < FIRST_JOBS; ++index)
        this->cluster.submit(index % ENTRIES,
                             fmt::format("{}{}", FIRST_PREFIX, index),
                             job(ACCELERATORS),
                             [] {});
    });
    cluster.every(ASK_PERIOD_MS, [this] { this->ask(); });
  }

private:
  static nlohmann::json job(std::uint32_t accelerators)
  {
    nlohmann::json step{ { "count", 1 },
                         { "cpu", 1'000 },
                         { "mem_mb", 1'024 },
                         { "gpu", accelerators },
                         { "estimate_ms", RUN_MS } };
    return { { "task_spec", "work" }, { "phases", { step } } };
  }

  void record_start(std::size_t server, const Cluster::Run& run)
  {
    std::string id = run.first.substr(0, run.first.find('.'));
    this->begun.insert(id);
    bool is_first = id.starts_with(FIRST_PREFIX);
    this->cluster.after(is_first ? FIRST_RUN_MS : RUN_MS, [this, server, run] {
      this->cluster.servers[server].standin->finish(run, "done");
    });
    if (is_first)
      this->full_servers.insert(server);
    if (is_first && this->full_servers.size() == FIRST_JOBS && !this->submitted)
      this->lose_empty_server();
  }

  void lose_empty_server()
  {
    this->submitted = true;
    for (std::size_t index = 0; index < SERVERS && this->trouble; ++index) {
      if (this->full_servers.contains(index))
        continue;
      Cluster::Server& empty = this->cluster.servers[index];
      this->cluster.note("server " + empty.id + " is lost for good");
      empty.announces = false;
      empty.standin->hang();
    }
    this->cluster.after(SUBMIT_DELAY_MS, [this] { this->submit_jobs(); });
    this->cluster.after(SUBMIT_DELAY_MS + WATCH_MS, [this] { this->judge(); });
  }

  void submit_jobs()
  {
    for (int index = 1; index <= WAITING_JOBS; ++index) {
      std::string id = fmt::format("00000000000000f{}", index);
      this->cluster.submit(
        static_cast<std::size_t>(index) % ENTRIES, id, job(1), [this, id] {
          this->accepted_ms[id] = kernel::boot_ms();
        });
    }
  }

  /// Jobs that were accepted long before the time and have not begun.
  std::set<std::string> waiting_jobs(std::int64_t asked_ms) const
  {
    std::set<std::string> waiting;
    for (const std::pair<const std::string, std::int64_t>& item :
         this->accepted_ms) {
      bool old = asked_ms - item.second > COUNTED_AFTER_MS + SLACK_MS;
      if (old && !this->begun.contains(item.first))
        waiting.insert(item.first);
    }
    return waiting;
  }

  void ask()
  {
    if (!this->submitted)
      return;
    std::int64_t asked_ms = kernel::boot_ms();
    for (std::size_t entry = 0; entry < ENTRIES; ++entry)
      this->cluster.call(
        entry,
        "GET",
        "",
        "",
        [this, asked_ms, entry](int status, const std::string& body) {
          if (status == 200)
            this->compare(asked_ms, entry, body);
        });
  }

  void compare(std::int64_t asked_ms,
               std::size_t entry,
               const std::string& body)
  {
    nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    std::size_t reported = answer.value("num_waiting", std::size_t{ 0 });
    // Those that have not begun by the time of the answer either.
    std::size_t waiting = this->waiting_jobs(asked_ms).size();
    if (reported * 2 >= waiting)
      return;
    ++this->wrong_answers;
    this->cluster.note(
      fmt::format("MIXED: entry-{} gives num_waiting {}, but {} jobs were "
                  "accepted over {} ms ago and have not begun",
                  entry,
                  reported,
                  waiting,
                  COUNTED_AFTER_MS));
  }

  void judge()
  {
    bool broken = this->wrong_answers > 0;
    this->cluster.finish(
      broken ? Verdict::Broken : Verdict::Held,
      fmt::format("{}: {} wrong answers, {} of {} jobs begun",
                  broken ? "broken" : "held",
                  this->wrong_answers,
                  this->begun.size(),
                  WAITING_JOBS + FIRST_JOBS));
  }

  Cluster& cluster;
  bool trouble;
  bool submitted = false;
  int wrong_answers = 0;
  std::set<std::size_t> full_servers;
  std::set<std::string> begun;
  std::map<std::string, std::int64_t> accepted_ms;
};

} // namespace

int
main(int argc, char** argv)
{
  ClusterOptions options;
  options.entries = ENTRIES;
  options.servers = SERVERS;
  std::unique_ptr<Case> running;
  return run_case(
    argc, argv, options, LIMIT, [&running](Cluster& cluster, bool trouble) {
      running = std::make_unique<Case>(cluster, trouble);
    });
}
