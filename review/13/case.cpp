// A job that takes far longer than estimated, a gang that waits for its worker,
// and a small job for which most of the fleet is free.

#include "review/stage/stage.h"

#include <fmt/format.h>
#include <map>

using namespace geraniumhinge;
using namespace geraniumhinge::review;

namespace {

constexpr int ENTRIES = 3;
constexpr int WORKERS = 7;
constexpr int WORKER_GPUS = 8;
constexpr int WORK_MS = 6'800;
constexpr int SMALL_WORK_MS = 9'500;
/// Factor on the time of the long job.
constexpr int LONG_FACTOR = 4;
/// Ordinary jobs before them, so that one in twenty is long.
constexpr int SHORT_JOBS = 18;
constexpr int SHORT_WORK_MS = 500;
constexpr int LONG_SENT_MS = 1'500;
constexpr int GANG_SENT_MS = 2'500;
constexpr int TRAFFIC_END_MS = 3'500;
constexpr int IDLE_LIMIT_MS = 3'000;
constexpr int CHECK_MS = 50;
constexpr int END_MS = TRAFFIC_END_MS + FINISH_MS + 2 * IDLE_LIMIT_MS;
constexpr int LIMIT_MS = 60'000;
constexpr char LONG_JOB[] = "1000000000000001";
constexpr char GANG_JOB[] = "2000000000000002";
constexpr char SMALL_JOB[] = "3000000000000003";

class Case
{
public:
  explicit Case(Stage& stage)
    : stage(stage)
  {
    stage.add_deployment(ENTRIES, WORKERS);
    int long_ms = stage.has_trouble() ? WORK_MS * LONG_FACTOR : WORK_MS;
    stage.at(0, [this] {
      for (int index = 0; index < SHORT_JOBS; ++index)
        this->submit(TRIAL,
                     fmt::format("4{:015}", index),
                     SHORT_WORK_MS,
                     SHORT_WORK_MS,
                     1,
                     1,
                     false);
    });
    stage.at(LONG_SENT_MS, [this, long_ms] {
      this->submit(TRIAL, LONG_JOB, long_ms, WORK_MS, 1, WORKER_GPUS, false);
    });
    stage.at(GANG_SENT_MS, [this] {
      this->submit(
        TRIAL, GANG_JOB, WORK_MS, WORK_MS, WORKERS, WORKER_GPUS, true);
    });
    stage.at(TRAFFIC_END_MS, [this] {
      this->submit(BATCH, SMALL_JOB, SMALL_WORK_MS, SMALL_WORK_MS, 1, 1, false);
    });
    stage.at(TRAFFIC_END_MS + FINISH_MS, [this] {
      this->stage.record("finish_s after the end of the traffic");
      this->idle_since_ms = this->stage.now_ms();
      this->stage.every(CHECK_MS, [this] { this->check(); });
    });
    stage.at(END_MS, [this] {
      this->stage.finish(RULE_HELD, "held: the small job was not left idle");
    });
  }

private:
  void submit(const std::string& queue,
              const std::string& id,
              int work_ms,
              int estimate_ms,
              int tasks,
              int gpus,
              bool gang)
  {
    this->gpus_by_job[id] = gpus;
    std::string body = fmt::format(
      R"({{"task_spec":"{}","phases":[{{"count":{},"cpu":2800,"mem_mb":8200,
          "gpu":{},"estimate_ms":{},"gang":{}}}]}})",
      work_ms,
      tasks,
      gpus,
      estimate_ms,
      gang);
    this->stage.call("POST", queue + id, body, [this](const Reply& reply) {
      if (reply.status != 200)
        this->stage.finish(NOT_RUN, "a job was not accepted");
    });
  }

  /// Whether the small job has nothing running while under half of the
  /// accelerators are in use and one worker has room for it twice over.
  bool is_left_idle() const
  {
    int used = 0;
    std::map<std::string, int> used_by_worker;
    for (const SeenRun& run : this->stage.runs) {
      std::string job = run.task.substr(0, run.task.find('.'));
      if (job == SMALL_JOB)
        return false;
      if (run.ended_ms != 0)
        continue;
      used += this->gpus_by_job.at(job);
      used_by_worker[run.worker] += this->gpus_by_job.at(job);
    }
    bool has_room = false;
    for (const Worker& worker : this->stage.workers) {
      std::map<std::string, int>::const_iterator found =
        used_by_worker.find(worker.id);
      int free =
        WORKER_GPUS - (found == used_by_worker.end() ? 0 : found->second);
      has_room = has_room || free >= 2 * this->gpus_by_job.at(SMALL_JOB);
    }
    return has_room && 2 * used < WORKERS * WORKER_GPUS;
  }

  void check()
  {
    if (!this->is_left_idle()) {
      this->idle_since_ms = this->stage.now_ms();
      return;
    }
    if (this->stage.now_ms() - this->idle_since_ms >= IDLE_LIMIT_MS)
      this->stage.finish(RULE_BROKEN,
                         "broken: for 3 s the small job has nothing running, "
                         "though most of the accelerators are free");
  }

  Stage& stage;
  std::map<std::string, int> gpus_by_job;
  std::int64_t idle_since_ms = 0;
};

} // namespace

int
main(int argc, char** argv)
{
  Stage stage(argc, argv);
  Case review_case(stage);
  return stage.run(LIMIT_MS);
}
