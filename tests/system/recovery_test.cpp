#define BOOST_TEST_MODULE recovery
#include "tests/support/fixture.h"

#include <fmt/format.h>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

constexpr int JOBS = 12;
constexpr int RUN_MS = 3'000;
constexpr kernel::Milliseconds RECOVERY_LIMIT{ 90'000 };

DeploymentPlan
recovery_plan()
{
  DeploymentPlan plan = small_plan(2, 2, 2);
  plan.entry_settings["jobs"]["orphan_ms"] = 4'000;
  plan.agent_settings["membership"]["orphan_ms"] = 4'000;
  plan.agent_settings["membership"]["heartbeat_ms"] = 500;
  return plan;
}

std::vector<std::string>
submit_jobs(const Fleet& fleet)
{
  std::vector<std::string> jobs;
  jobs.reserve(JOBS);
  for (int i = 0; i < JOBS; i++) {
    JobPlan plan;
    plan.request_id = fmt::format("job-{}", i);
    plan.members = i % 3 == 0 ? 2 : 1;
    plan.accelerators = 4;
    plan.run_ms = RUN_MS;
    plan.idempotent = i % 4 != 3;
    jobs.push_back(submit(fleet.alpha(), plan));
  }
  return jobs;
}

/// Accelerators in use as reported by the first entry; none if the entry does
/// not respond.
std::optional<std::uint32_t>
used_accelerators(const Fleet& fleet)
{
  std::optional<v1::GetStatusResponse> status = fleet.deployment.status(0);
  if (!status)
    return std::nullopt;
  std::uint32_t used = 0;
  for (const v1::CellStatus& cell : status->cells())
    used += cell.accelerators() - cell.accelerators_free();
  return used;
}

/// Checks that every accepted job ends with a true outcome, that no two
/// generations of a job ran at the same time, and that no accelerator stays
/// allocated.
void
check_recovery(const Fleet& fleet, const std::vector<std::string>& jobs)
{
  for (const std::string& id : jobs) {
    JobResult job = fleet.alpha().wait(id, RECOVERY_LIMIT);
    BOOST_REQUIRE_MESSAGE(job.has_value(), "no response for job " << id);
    std::vector<TaskSpan> spans = fleet.spans();
    bool ran =
      std::any_of(spans.begin(), spans.end(), [&](const TaskSpan& span) {
        return span.job == id;
      });
    BOOST_TEST(job->outcome() != v1::OUTCOME_UNSPECIFIED);
    BOOST_TEST(!(job->outcome() == v1::OUTCOME_NOT_RUN && ran));
    if (job->spec().idempotent())
      BOOST_TEST(job->outcome() == v1::OUTCOME_SUCCEEDED);
    if (!job->spec().idempotent()) {
      std::int64_t runs =
        std::count_if(spans.begin(), spans.end(), [&](const TaskSpan& span) {
          return span.job == id && span.member == 0;
        });
      BOOST_TEST(runs <= 1);
    }
  }
  BOOST_TEST(overlapping_generations(fleet.spans()) == 0);
  BOOST_TEST(wait_until(WAIT_LIMIT, [&] {
    std::optional<std::uint32_t> used = used_accelerators(fleet);
    return used && *used == 0;
  }));
}

void
replace_entries(Fleet& fleet)
{
  for (EntryNode& node : fleet.deployment.entries())
    node.process->kill();
  for (std::size_t i = 0; i < fleet.entry_count; i++)
    fleet.deployment.start_entry(i);
}

void
replace_agents(Fleet& fleet)
{
  for (ServerNode& node : fleet.deployment.servers())
    node.agent->kill();
  for (std::size_t i = 0; i < fleet.deployment.servers().size(); i++)
    fleet.deployment.start_agent(i);
}

bool
wait_for_first_start(const Fleet& fleet)
{
  return wait_until(WAIT_LIMIT, [&] { return !fleet.spans().empty(); });
}

} // namespace

// Guards against jobs or accelerators that are lost when all entries restart
// without their state in memory.
BOOST_AUTO_TEST_CASE(all_entries_replaced_at_once)
{
  Fleet fleet(recovery_plan());
  std::vector<std::string> jobs = submit_jobs(fleet);
  BOOST_REQUIRE(wait_for_first_start(fleet));
  replace_entries(fleet);
  check_recovery(fleet, jobs);
}

// Guards against jobs or accelerators that are lost when all agents restart
// without their state in memory.
BOOST_AUTO_TEST_CASE(all_agents_replaced_at_once)
{
  Fleet fleet(recovery_plan());
  std::vector<std::string> jobs = submit_jobs(fleet);
  BOOST_REQUIRE(wait_for_first_start(fleet));
  replace_agents(fleet);
  check_recovery(fleet, jobs);
}

// Guards against jobs or accelerators that are lost when all entries and agents
// restart at once without their state in memory.
BOOST_AUTO_TEST_CASE(all_processes_replaced_at_once)
{
  Fleet fleet(recovery_plan());
  std::vector<std::string> jobs = submit_jobs(fleet);
  BOOST_REQUIRE(wait_for_first_start(fleet));
  for (ServerNode& node : fleet.deployment.servers())
    node.agent->kill();
  replace_entries(fleet);
  replace_agents(fleet);
  check_recovery(fleet, jobs);
}
