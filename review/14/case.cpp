// Heartbeats of another writer, for a service that the configuration doesn't
// name, reach the agents beside those of their workers.

#include "review/stage/stage.h"

#include "kernel/clock.h"
#include "tests/support/ports.h"

#include <fmt/format.h>

using namespace geraniumhinge;
using namespace geraniumhinge::review;

namespace {

constexpr int WORKERS = 3;
constexpr int WORKER_GPUS = 8;
constexpr int WORK_MS = 9'500;
constexpr int TRAFFIC_END_MS = 1'000;
constexpr int FOREIGN_DELAY_MS = 1200;
constexpr int LIMIT_MS = 90'000;
constexpr char JOB[] = "1000000000000001";

class Case
{
public:
  explicit Case(Stage& stage)
    : stage(stage)
    , foreign_address(tests::free_address())
  {
    stage.add_entry();
    for (int index = 0; index < WORKERS; ++index)
      stage.add_worker("r1-1");
    if (stage.has_trouble())
      stage.at(0, [this] {
        this->born_ms = kernel::unix_ms();
        this->stage.on_heartbeat = [this](const Worker& worker) {
          this->stage.after(FOREIGN_DELAY_MS,
                            [this, &worker] { this->send_foreign(worker); });
        };
      });
    stage.at(TRAFFIC_END_MS, [this] { this->submit(); });
    stage.at(40000, [this] { this->stage.finish(RULE_HELD, "end"); });
  }

private:
  void send_foreign(const Worker& worker)
  {
    this->stage.send_foreign_heartbeat(
      worker,
      "i-foreign",
      { { "service", "elsewhere" },
        { "address", this->foreign_address },
        { "zone", "zone-1" },
        { "version", "v1" },
        { "slots", 8 },
        { "state", "ready" },
        { "free_capacity",
          { { "cpu", 32'000 }, { "mem_mb", 131'072 }, { "gpu", 8 } } },
        { "labels", { "a", "r1-1" } },
        { "clock_ms", 482'113 },
        { "born", kernel::unix_ms() },
        { "sequence", ++this->sequence } });
  }

  void submit()
  {
    std::string body = fmt::format(
      R"({{"task_spec":"{}","phases":[{{"count":3,"cpu":2800,"mem_mb":8200,
          "gpu":{},"estimate_ms":{}}}]}})",
      WORK_MS,
      WORKER_GPUS,
      WORK_MS);
    this->stage.call(
      "POST", std::string(TRIAL) + JOB, body, [this](const Reply& reply) {
        if (reply.status != 200)
          this->stage.finish(NOT_RUN, "the job was not accepted");
        this->stage.every(1000, [this] { this->stage.call(
      "GET", std::string(TRIAL) + JOB, "", [](const Reply&) {}); });
      });
  }

  Stage& stage;
  std::string foreign_address;
  std::int64_t born_ms = 0; ///< Of the other writer.
  std::uint64_t sequence = 0;
};

} // namespace

int
main(int argc, char** argv)
{
  Stage stage(argc, argv);
  Case review_case(stage);
  return stage.run(LIMIT_MS);
}
