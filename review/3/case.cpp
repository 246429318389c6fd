// A backend server crashes silently, starts again, announces itself, and is
// lost for good before it has answered. The task that ran on it is never
// started again.

#include "kernel/clock.h"
#include "review/harness/cluster.h"

#include <fmt/format.h>

using namespace geraniumhinge;
using namespace geraniumhinge::review;

namespace {

/// One of six is less than the share that may crash at once.
constexpr std::size_t SERVERS = 6;
constexpr char JOB[] = "00000000000000c1";
constexpr std::int64_t FIRST_SUBMIT_MS = 4'000;
constexpr std::int64_t RUN_MS = 5'000;
/// From the start of the run until its server crashes.
constexpr std::int64_t CRASH_AFTER_MS = 1'500;
/// From the crash until the server starts again.
constexpr std::int64_t DOWN_MS = 1'000;
/// From then until the server is lost for good.
constexpr std::int64_t SECOND_LIFE_MS = 250;
constexpr std::int64_t ASK_PERIOD_MS = 1'000;
/// `finish_s` and the 3 s for which a job may have nothing running.
constexpr std::int64_t IDLE_LIMIT_MS = 17'000;
/// The job is watched on, to see whether it ever starts again.
constexpr std::int64_t WATCH_MS = 30'000;
constexpr kernel::Milliseconds LIMIT{ 110'000 };

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
    cluster.on_end =
      [this](std::size_t, const Cluster::Run&, const std::string&) {
        this->idle_since_ms = kernel::boot_ms();
      };
    cluster.after(FIRST_SUBMIT_MS,
                  [this] { this->cluster.submit(0, JOB, job(), [] {}); });
    cluster.every(ASK_PERIOD_MS, [this] { this->ask(); });
  }

private:
  static nlohmann::json job()
  {
    nlohmann::json step{ { "count", 1 },
                         { "cpu", 2'800 },
                         { "mem_mb", 8'192 },
                         { "gpu", 1 },
                         { "estimate_ms", RUN_MS } };
    return { { "task_spec", "work" }, { "phases", { step } } };
  }

  void record_start(std::size_t server, const Cluster::Run& run)
  {
    if (this->idle_since_ms != 0)
      this->longest_idle_ms = std::max(this->longest_idle_ms,
                                       kernel::boot_ms() - this->idle_since_ms);
    this->idle_since_ms = 0;
    ++this->starts;
    this->cluster.after(RUN_MS, [this, server, run] {
      this->cluster.servers[server].standin->finish(run, "done");
    });
    if (this->trouble && this->starts == 1)
      this->cluster.after(CRASH_AFTER_MS,
                          [this, server] { this->crash(server); });
  }

  void crash(std::size_t server)
  {
    Cluster::Server& crashed = this->cluster.servers[server];
    this->cluster.note("server " + crashed.id + " crashes silently");
    crashed.announces = false;
    crashed.standin->hang();
    this->cluster.after(DOWN_MS, [this, &crashed] {
      this->cluster.note("server " + crashed.id + " starts again");
      crashed.standin->restart();
      crashed.standin->started_ms = kernel::unix_ms();
      crashed.announces = true;
      crashed.sequence = 0;
      this->cluster.announce(crashed);
      crashed.announces = false;
    });
    this->cluster.after(DOWN_MS + SECOND_LIFE_MS, [this, &crashed] {
      this->cluster.note("server " + crashed.id + " is lost for good");
      crashed.standin->crash();
    });
  }

  void ask()
  {
    if (this->starts == 0)
      return;
    std::int64_t now = kernel::boot_ms();
    if (this->idle_since_ms != 0)
      this->longest_idle_ms =
        std::max(this->longest_idle_ms, now - this->idle_since_ms);
    bool watched =
      this->idle_since_ms != 0 && now - this->idle_since_ms > WATCH_MS;
    this->cluster.call(
      1, "GET", JOB, "", [this, watched](int, const std::string& body) {
        bool completed = body.find("\"completed\"") != std::string::npos;
        if (completed || watched)
          this->judge(body);
      });
  }

  void judge(const std::string& state)
  {
    bool broken = this->longest_idle_ms > IDLE_LIMIT_MS;
    this->cluster.finish(
      broken ? Verdict::Broken : Verdict::Held,
      fmt::format("{}: {} starts; the task had no run for {} ms, with {} empty "
                  "servers; the job is shown as {}",
                  broken ? "LOST" : "held",
                  this->starts,
                  this->longest_idle_ms,
                  SERVERS - 1,
                  state));
  }

  Cluster& cluster;
  bool trouble;
  int starts = 0;
  std::int64_t idle_since_ms = 0; ///< 0 while the task runs.
  std::int64_t longest_idle_ms = 0;
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
