// The owner is cut off from the store while it places a job, and the other
// entry freezes after it has accepted the cancelling of that job. When the cut
// heals, the owner stores the placement from before, and the job starts.

#include "kernel/clock.h"
#include "review/harness/cluster.h"

#include <fmt/format.h>

using namespace geraniumhinge;
using namespace geraniumhinge::review;

namespace {

constexpr std::size_t ENTRIES = 2;
constexpr std::size_t OWNER = 0;
constexpr std::size_t OTHER = 1;
constexpr std::size_t SERVERS = 1;
constexpr std::uint32_t ACCELERATORS = 8;
constexpr char FIRST_JOB[] = "00000000000000d0";
constexpr char CANCELLED_JOB[] = "00000000000000d1";
constexpr std::int64_t FIRST_SUBMIT_MS = 4'000;
/// From the start of the first job.
constexpr std::int64_t SUBMIT_MS = 1'000;
constexpr std::int64_t CUT_MS = 2'000;
/// From the cut on.
constexpr std::int64_t FIRST_JOB_ENDS_MS = 450;
constexpr std::int64_t CANCEL_MS = 300;
constexpr std::int64_t FREEZE_MS = 900;
constexpr std::int64_t HEAL_MS = 3'600;
constexpr std::int64_t WAKE_MS = 4'600;
constexpr std::int64_t END_MS = 10'000;
/// `cancel_ms`.
constexpr std::int64_t CANCEL_LIMIT_MS = 3'000;
constexpr std::int64_t RUN_MS = 2'500;
constexpr kernel::Milliseconds LIMIT{ 60'000 };

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
      this->cluster.submit(OWNER, FIRST_JOB, job(), [] {});
    });
  }

private:
  static nlohmann::json job()
  {
    nlohmann::json step{ { "count", 1 },
                         { "cpu", 13'000 },
                         { "mem_mb", 38'000 },
                         { "gpu", ACCELERATORS },
                         { "estimate_ms", RUN_MS } };
    return { { "task_spec", "work" }, { "phases", { step } } };
  }

  void record_start(std::size_t server, const Cluster::Run& run)
  {
    if (run.first.starts_with(FIRST_JOB)) {
      this->schedule(server, run);
      return;
    }
    std::int64_t now = kernel::boot_ms();
    this->cluster.after(RUN_MS, [this, server, run] {
      this->cluster.servers[server].standin->finish(run, "done");
    });
    if (this->cancelled_ms != 0)
      this->latest_start_ms = now - this->cancelled_ms;
  }

  /// The first job fills the only server, so that the second one waits.
  void schedule(std::size_t server, const Cluster::Run& run)
  {
    this->cluster.after(SUBMIT_MS, [this] {
      this->cluster.submit(OTHER, CANCELLED_JOB, job(), [] {});
    });
    this->cluster.after(CUT_MS + FIRST_JOB_ENDS_MS, [this, server, run] {
      this->cluster.servers[server].standin->finish(run, "done");
    });
    this->cluster.after(CUT_MS + CANCEL_MS, [this] { this->cancel(); });
    this->cluster.after(CUT_MS + END_MS, [this] { this->judge(); });
    if (!this->trouble)
      return;
    this->cluster.after(CUT_MS,
                        [this] { this->cluster.cut_from_store(OWNER); });
    this->cluster.after(CUT_MS + FREEZE_MS,
                        [this] { this->cluster.freeze_entry(OTHER); });
    this->cluster.after(CUT_MS + HEAL_MS,
                        [this] { this->cluster.heal(OWNER); });
    this->cluster.after(CUT_MS + WAKE_MS,
                        [this] { this->cluster.resume_entry(OTHER); });
  }

  void cancel()
  {
    this->cluster.call(OTHER,
                       "DELETE",
                       CANCELLED_JOB,
                       "",
                       [this](int status, const std::string&) {
                         if (status == 200)
                           this->cancelled_ms = kernel::boot_ms();
                       });
  }

  void judge()
  {
    if (this->cancelled_ms == 0) {
      this->cluster.finish(Verdict::CouldNotRun, "the cancelling had no 200");
      return;
    }
    bool broken = this->latest_start_ms > CANCEL_LIMIT_MS;
    this->cluster.finish(
      broken ? Verdict::Broken : Verdict::Held,
      fmt::format(
        "{}: the last start of the cancelled job came {} ms after the "
        "acknowledgement; cancel_ms is {}",
        broken ? "UNASKED" : "held",
        this->latest_start_ms,
        CANCEL_LIMIT_MS));
  }

  Cluster& cluster;
  bool trouble;
  std::int64_t cancelled_ms = 0;
  /// After the acknowledgement, -1 if there was none.
  std::int64_t latest_start_ms = -1;
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
