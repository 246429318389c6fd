// A job of many tasks whose checkpoints are longer than the system expects. Its
// state no longer fits into a row. Ends are taken note of without being stored,
// and tasks that have ended done are started again and again.

#include "review/harness/cluster.h"

#include <fmt/format.h>
#include <map>
#include <set>

using namespace geraniumhinge;
using namespace geraniumhinge::review;

namespace {

constexpr std::size_t SERVERS = 3;
constexpr std::uint32_t TASKS = 700;
constexpr char JOB[] = "00000000000000b1";
/// The length in the example of the protocol, and a longer text such as the
/// path of a file.
constexpr std::size_t SHORT_CHECKPOINT_BYTES = 16;
constexpr std::size_t LONG_CHECKPOINT_BYTES = 100;
constexpr std::int64_t FIRST_SUBMIT_MS = 4'000;
/// Longer than a checkpoint period, so that a run leaves a checkpoint.
constexpr std::int64_t RUN_MS = 2'500;
constexpr std::int64_t LEASE_CHECK_MS = 10;
constexpr std::int64_t ASK_PERIOD_MS = 1'000;
/// From the first repeated start until the case ends.
constexpr std::int64_t WATCH_MS = 20'000;
constexpr kernel::Milliseconds LIMIT{ 110'000 };

class Case
{
public:
  Case(Cluster& cluster, bool trouble)
    : cluster(cluster)
    , checkpoint_bytes(trouble ? LONG_CHECKPOINT_BYTES : SHORT_CHECKPOINT_BYTES)
  {
    cluster.on_start = [this](std::size_t server, const Cluster::Run& run) {
      this->record_start(run);
      this->cluster.after(RUN_MS,
                          [this, server, run] { this->end(server, run); });
    };
    cluster.on_end_acknowledged = [this](std::size_t,
                                         const tests::ServerStandin::End& end) {
      if (end.end_kind == "done" && this->held_ends.erase(end.run) > 0)
        this->noted.insert(end.run.first);
    };
    cluster.every(LEASE_CHECK_MS, [this] { this->drop_lapsed_ends(); });
    cluster.after(FIRST_SUBMIT_MS, [this] {
      this->cluster.submit(0, JOB, job(), [this] { this->accepted = true; });
    });
    cluster.every(ASK_PERIOD_MS, [this] { this->ask(); });
  }

private:
  static nlohmann::json job()
  {
    nlohmann::json step{ { "count", TASKS },
                         { "cpu", 100 },
                         { "mem_mb", 64 },
                         { "estimate_ms", RUN_MS },
                         { "checkpoints", true } };
    return { { "task_spec", "work" }, { "phases", { step } } };
  }

  /// A start breaks the rule if an end `done` of the same task was taken note
  /// of before.
  void record_start(const Cluster::Run& run)
  {
    this->begun.insert(run.first);
    if (!this->noted.contains(run.first))
      return;
    ++this->repeated_starts;
    if (this->repeated_starts > 1)
      return;
    this->cluster.note("TWICE: " + run.first +
                       " begins again after its end was taken note of");
    this->cluster.after(WATCH_MS, [this] { this->judge(); });
  }

  /// An end does not count if the lease lapses before it is taken note of.
  void drop_lapsed_ends()
  {
    std::erase_if(
      this->held_ends,
      [this](const std::pair<const Cluster::Run, std::size_t>& item) {
        return !this->cluster.servers[item.second].standin->has_lease();
      });
  }

  /// Ends a run as done and lists its checkpoint.
  void end(std::size_t server, const Cluster::Run& run)
  {
    std::string number = std::to_string(++this->ends);
    this->held_ends[run] = server;
    this->cluster.end_with_checkpoint(
      server,
      run,
      std::string(this->checkpoint_bytes - number.size(), '0') + number);
  }

  void ask()
  {
    if (!this->accepted)
      return;
    this->cluster.call(1, "GET", JOB, "", [this](int, const std::string& body) {
      bool completed = body.find("\"completed\"") != std::string::npos;
      if (completed && this->repeated_starts == 0)
        this->cluster.finish(Verdict::Held, "held: completed");
    });
  }

  void judge()
  {
    this->cluster.finish(
      Verdict::Broken,
      fmt::format("TWICE: {} starts of tasks that had ended done and whose end "
                  "had been taken note of; {} of {} tasks have begun, {} runs "
                  "have ended done",
                  this->repeated_starts,
                  this->begun.size(),
                  TASKS,
                  this->ends));
  }

  Cluster& cluster;
  std::size_t checkpoint_bytes;
  bool accepted = false;
  std::size_t ends = 0;
  std::size_t repeated_starts = 0;
  std::set<std::string> begun;
  /// Ends not taken note of yet, by run, with their server.
  std::map<Cluster::Run, std::size_t> held_ends;
  std::set<std::string> noted; ///< Tasks with an end done taken note of.
};

} // namespace

int
main(int argc, char** argv)
{
  ClusterOptions options;
  options.servers = SERVERS;
  std::unique_ptr<Case> running;
  return run_case(
    argc, argv, options, LIMIT, [&running](Cluster& cluster, bool trouble) {
      running = std::make_unique<Case>(cluster, trouble);
    });
}
