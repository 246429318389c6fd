// A gang fails for the last time that its queue allows while the agent of the
// failed member stands still.

#include "review/stage/stage.h"

#include "kernel/clock.h"

#include <fmt/format.h>

using namespace geraniumhinge;
using namespace geraniumhinge::review;

namespace {

constexpr int ENTRIES = 3;
constexpr int WORKERS = 11;
constexpr int ATTEMPTS = 4; ///< Of the queue.
constexpr int MEMBERS = 2;
constexpr int WORK_MS = 6'800;
/// From the start of an attempt until its first member fails.
constexpr int FAIL_AFTER_MS = 1'000;
/// The last attempt runs for longer before the agent is frozen.
constexpr int SETTLED_MS = 3'000;
constexpr int FREEZE_MS = 2'400;
/// Agents report once in this time.
constexpr int REPORT_MS = 1'000;
/// From the last report of the agent until it is frozen, about.
constexpr int MIN_REPORT_AGE_MS = 500;
constexpr int MAX_REPORT_AGE_MS = 900;
/// From the last renewal of the lease until the agent is frozen, so that the
/// lease outlasts the freeze.
constexpr int MAX_LEASE_AGE_MS = 80;
constexpr int END_AFTER_MS = 8'000;
constexpr int LIMIT_MS = 90'000;
constexpr char JOB[] = "1000000000000001";
constexpr char FAILING_TASK[] = "1000000000000001.0.0.0";

class Case
{
public:
  explicit Case(Stage& stage)
    : stage(stage)
  {
    stage.add_deployment(ENTRIES, WORKERS);
    stage.on_end = [this](const SeenRun& run) { this->end_gang(run); };
    stage.at(0, [this] { this->submit(); });
  }

private:
  void submit()
  {
    std::string body = fmt::format(
      R"({{"task_spec":"{}","phases":[{{"count":{},"cpu":13000,"mem_mb":38000,
          "gpu":8,"estimate_ms":{},"gang":true}}]}})",
      WORK_MS,
      MEMBERS,
      WORK_MS);
    this->stage.call(
      "POST", std::string(TRIAL) + JOB, body, [this](const Reply& reply) {
        if (reply.status != 200)
          this->stage.finish(NOT_RUN, "the job was not accepted");
        else
          this->stage.every(20, [this] { this->fail_members(); });
      });
  }

  /// Ends the other members when one has ended.
  void end_gang(const SeenRun& run)
  {
    this->stage.after(1, [this, run] {
      for (const SeenRun& other : std::vector<SeenRun>(this->stage.runs)) {
        if (other.attempt == run.attempt && other.ended_ms == 0)
          this->stage.worker(other.worker)
            .standin->finish({ other.task, other.attempt }, "broken");
      }
    });
  }

  /// Fails the first member of an attempt by its own fault.
  void fail_members()
  {
    for (const SeenRun& run : std::vector<SeenRun>(this->stage.runs)) {
      if (run.ended_ms != 0 || run.task != FAILING_TASK)
        continue;
      std::int64_t age_ms = this->stage.now_ms() - run.started_ms;
      bool last = run.attempt == ATTEMPTS;
      if (!last && age_ms >= FAIL_AFTER_MS)
        this->fail(run);
      else if (last && age_ms >= SETTLED_MS)
        this->fail_last(run);
    }
  }

  void fail(const SeenRun& run)
  {
    this->stage.worker(run.worker)
      .standin->finish({ run.task, run.attempt }, "failed");
  }

  /// Fails the last attempt, just after its agent was frozen.
  void fail_last(const SeenRun& run)
  {
    Worker& worker = this->stage.worker(run.worker);
    if (this->stage.has_trouble()) {
      if (!this->is_due(worker))
        return;
      this->stage.record("trouble: the machine of " + worker.agent +
                         " freezes");
      this->stage.process(worker.agent).freeze();
      this->stage.after(FREEZE_MS, [this, &worker] {
        this->stage.process(worker.agent).resume();
        this->stage.record("trouble: " + worker.agent + " wakes");
      });
    }
    this->fail(run);
    this->stage.after(END_AFTER_MS, [this] { this->judge(); });
  }

  /// Whether the agent has not reported for some time, and has just renewed the
  /// lease.
  bool is_due(const Worker& worker) const
  {
    std::int64_t now = kernel::boot_ms();
    std::int64_t report_age_ms =
      (now - this->stage.process_started_ms(worker.agent)) % REPORT_MS;
    return report_age_ms >= MIN_REPORT_AGE_MS &&
           report_age_ms <= MAX_REPORT_AGE_MS &&
           now - worker.standin->last_full_wait_ms <= MAX_LEASE_AGE_MS;
  }

  void judge()
  {
    int failed = 0;
    std::int64_t last_failed_ms = 0;
    std::int64_t started_ms = 0;
    for (const SeenRun& run : this->stage.runs) {
      if (run.task != FAILING_TASK)
        continue;
      if (run.end_kind == "failed" && run.noted_ms != 0 && !run.lease_lapsed) {
        ++failed;
        last_failed_ms = run.ended_ms;
      }
      started_ms = run.started_ms;
    }
    std::string seen =
      fmt::format("{} runs have ended `failed` and these ends are noted, the "
                  "last one at {} ms; the last start was at {} ms",
                  failed,
                  last_failed_ms,
                  started_ms);
    bool broken = failed >= ATTEMPTS && started_ms > last_failed_ms;
    this->stage.finish(broken ? RULE_BROKEN : RULE_HELD,
                       (broken ? "broken: " : "held: ") + seen);
  }

  Stage& stage;
};

} // namespace

int
main(int argc, char** argv)
{
  Stage stage(argc, argv);
  Case review_case(stage);
  return stage.run(LIMIT_MS);
}
