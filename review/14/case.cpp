// A job whose data lies in a rack that large jobs have taken, while the other
// racks are empty.

#include "review/stage/stage.h"

#include <fmt/format.h>
#include <map>

using namespace geraniumhinge;
using namespace geraniumhinge::review;

namespace {

constexpr int ENTRIES = 3;
constexpr int WORKERS = 11; ///< Three in a rack.
constexpr int WORKER_GPUS = 8;
constexpr char RACK[] = "r1-1";
constexpr int LARGE_JOBS = 2;
constexpr int LARGE_TASKS = 3; ///< One for each worker of the rack.
constexpr int LARGE_WORK_MS = 11'000;
constexpr int SENT_MS = 1'000; ///< Also the end of the traffic.
constexpr int WORK_MS = 9'500;
constexpr int IDLE_LIMIT_MS = 3'000;
constexpr int CHECK_MS = 50;
constexpr int END_MS = SENT_MS + FINISH_MS + 2 * IDLE_LIMIT_MS;
constexpr int LIMIT_MS = 60'000;
constexpr char JOB[] = "1000000000000001";

class Case
{
public:
  explicit Case(Stage& stage)
    : stage(stage)
  {
    stage.add_deployment(ENTRIES, WORKERS);
    if (stage.has_trouble())
      stage.at(0, [this] {
        this->stage.record("trouble: large jobs come at once");
        for (int index = 0; index < LARGE_JOBS; ++index)
          this->submit(TRIAL,
                       fmt::format("2{:015}", index),
                       LARGE_WORK_MS,
                       LARGE_TASKS,
                       WORKER_GPUS);
      });
    stage.at(SENT_MS, [this] { this->submit(BATCH, JOB, WORK_MS, 1, 1); });
    stage.at(SENT_MS + FINISH_MS, [this] {
      this->stage.record("finish_s after the end of the traffic");
      this->idle_since_ms = this->stage.now_ms();
      this->stage.every(CHECK_MS, [this] { this->check(); });
    });
    stage.at(END_MS, [this] {
      this->stage.finish(RULE_HELD, "held: the job was not left idle");
    });
  }

private:
  void submit(const std::string& queue,
              const std::string& id,
              int work_ms,
              int tasks,
              int gpus)
  {
    this->gpus_by_job[id] = gpus;
    std::string body = fmt::format(
      R"({{"task_spec":"{}","phases":[{{"count":{},"cpu":2800,"mem_mb":8200,
          "gpu":{},"estimate_ms":{},"affinity":"{}"}}]}})",
      work_ms,
      tasks,
      gpus,
      work_ms,
      RACK);
    this->stage.call("POST", queue + id, body, [this](const Reply& reply) {
      if (reply.status != 200)
        this->stage.finish(NOT_RUN, "a job was not accepted");
    });
  }

  /// Whether the job has nothing running while under half of the accelerators
  /// are in use and a worker has room for it twice over.
  bool is_left_idle() const
  {
    int used = 0;
    std::map<std::string, int> used_by_worker;
    for (const SeenRun& run : this->stage.runs) {
      std::string job = run.task.substr(0, run.task.find('.'));
      if (job == JOB)
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
      int taken = found == used_by_worker.end() ? 0 : found->second;
      has_room =
        has_room || WORKER_GPUS - taken >= 2 * this->gpus_by_job.at(JOB);
    }
    return has_room && 2 * used < WORKERS * WORKER_GPUS;
  }

  void check()
  {
    if (!this->is_left_idle())
      this->idle_since_ms = this->stage.now_ms();
    else if (this->stage.now_ms() - this->idle_since_ms >= IDLE_LIMIT_MS)
      this->stage.finish(RULE_BROKEN,
                         "broken: for 3 s the job has nothing running, though "
                         "most of the accelerators are free");
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
