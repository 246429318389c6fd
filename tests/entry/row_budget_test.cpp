#define BOOST_TEST_MODULE row_budget
#include "entry/row_budget.h"

#include "entry/work_rows.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;

namespace {

constexpr std::size_t ROW_BYTES = 65'536;
/// Gangs have up to this many members.
constexpr std::uint32_t LARGE_GANG = 128;

core::Workflow
workflow_of(std::uint32_t tasks, bool gang)
{
  core::Workflow workflow;
  workflow.id = "5c0e7a21d94b36f8";
  workflow.steps.resize(1);
  workflow.steps.front().tasks = tasks;
  workflow.steps.front().gang = gang;
  return workflow;
}

core::Progress
open(const core::Workflow& workflow)
{
  core::Progress progress;
  core::open_due_occurrences(workflow, progress, 0, 0);
  return progress;
}

} // namespace

// Guards against a state that the store refuses because its row is too large.
// The refused transaction would be sent again forever, and no other job go on.
BOOST_AUTO_TEST_CASE(state_of_an_accepted_workflow_fits_its_row)
{
  for (std::uint32_t tasks : { 1U, 39U, 128U, 400U, 1'000U, 1'300U, 10'000U }) {
    core::Workflow workflow = workflow_of(tasks, false);
    if (!entry::fits_rows(workflow, ROW_BYTES))
      continue;
    core::Progress progress = open(workflow);
    std::size_t runs = entry::max_runs(workflow, progress, ROW_BYTES);
    for (core::TaskState& task : progress.open_occurrences[0][0]) {
      task.last_attempt = 1'000;
      task.failures = 10;
      task.failed_attempt = 1'000;
      task.checkpoint = "00000bb87a21d94b";
      if (runs == 0)
        continue;
      --runs;
      task.run = core::Run{ 1'000,
                            { "i-7f3a91c2d4", 1'700'000'000'123 },
                            "side-availability-zone-a-123",
                            true,
                            std::string(32, 't') };
    }
    BOOST_TEST(entry::encode_progress(progress).size() <= ROW_BYTES);
  }
}

// Guards against a job that stops for good, or runs its tasks again and again,
// because its tasks save checkpoints of unusual length.
BOOST_AUTO_TEST_CASE(long_checkpoints_outgrow_the_row)
{
  for (std::size_t length : { 100UL, 4'000UL, ROW_BYTES }) {
    core::Workflow workflow = workflow_of(700, false);
    core::Progress progress = open(workflow);
    for (core::TaskState& task : progress.open_occurrences[0][0])
      task.checkpoint = std::string(length, 'c');
    progress.open_occurrences[0][0].back().checkpoint = "short";
    entry::RowReduction reduction =
      entry::reduce_to_row(workflow, progress, open(workflow), ROW_BYTES);
    BOOST_TEST(entry::encode_progress(progress).size() <= ROW_BYTES);
    BOOST_TEST(reduction.checkpoints > 0U);
    BOOST_TEST(reduction.placements == 0U);
    BOOST_TEST(progress.open_occurrences[0][0].back().checkpoint == "short");
    BOOST_TEST(entry::max_runs(workflow, progress, ROW_BYTES) > 0U);
  }
}

// Names of servers and tickets have no stated length.
BOOST_AUTO_TEST_CASE(long_names_outgrow_the_row)
{
  constexpr std::uint32_t TASKS = 128;
  for (bool gang : { false, true }) {
    core::Workflow workflow = workflow_of(TASKS, gang);
    core::Progress stored = open(workflow);
    core::Progress progress = stored;
    std::uint32_t index = 0;
    for (core::TaskState& task : progress.open_occurrences[0][0])
      task.run = core::Run{ 1,
                            { "i-" + std::to_string(index++), 1 },
                            "node-1",
                            false,
                            std::string(1'000, 't') };
    entry::RowReduction reduction =
      entry::reduce_to_row(workflow, progress, stored, ROW_BYTES);
    BOOST_TEST(entry::encode_progress(progress).size() <= ROW_BYTES);
    BOOST_TEST(core::has_runs(progress) == !gang);
    BOOST_TEST((reduction.placements == TASKS) == gang);
  }
}

// Guards against the loss of runs that have been ordered.
BOOST_AUTO_TEST_CASE(stored_runs_are_dropped_from_a_long_row)
{
  core::Workflow workflow = workflow_of(2, false);
  core::Progress stored = open(workflow);
  core::Run run{ 1, { "i-1", 1 }, "node-1", false, std::string(600, 't') };
  stored.open_occurrences[0][0][1].run = run;
  core::Progress progress = stored;
  progress.open_occurrences[0][0][0].run = run;
  entry::reduce_to_row(workflow, progress, stored, 1'000);
  BOOST_TEST(!progress.open_occurrences[0][0][0].run.has_value());
  BOOST_TEST(progress.open_occurrences[0][0][1].run.has_value());
}

// Guards against limits that reject workflows of the expected size.
BOOST_AUTO_TEST_CASE(large_gangs_fit)
{
  core::Workflow workflow = workflow_of(LARGE_GANG, true);
  BOOST_TEST(entry::fits_rows(workflow, ROW_BYTES));
  BOOST_TEST(entry::max_runs(workflow, open(workflow), ROW_BYTES) >=
             LARGE_GANG);
  BOOST_TEST(entry::fits_rows(workflow_of(1'000, false), ROW_BYTES));
}

// Guards against submissions that no row can hold.
BOOST_AUTO_TEST_CASE(oversized_workflows_are_rejected)
{
  BOOST_TEST(!entry::fits_rows(workflow_of(10'000, false), ROW_BYTES));
  BOOST_TEST(!entry::fits_rows(workflow_of(1'000, true), ROW_BYTES));
  core::Workflow workflow = workflow_of(1, false);
  workflow.payload = std::string(ROW_BYTES, 'x');
  BOOST_TEST(!entry::fits_rows(workflow, ROW_BYTES));
}

// Guards against a scheduled workflow whose occurrences, all long due, fill
// the memory and the row at once.
BOOST_AUTO_TEST_CASE(open_occurrences_are_limited)
{
  core::Workflow workflow = workflow_of(100, false);
  workflow.occurrences = 1'000'000;
  workflow.period_ms = 1;
  std::size_t limit = entry::max_open_occurrences(workflow, ROW_BYTES);
  core::Progress progress;
  core::open_due_occurrences(workflow, progress, 1'000'000'000, 0, limit);
  BOOST_TEST(progress.open_occurrences.size() == limit);
  BOOST_TEST(entry::encode_progress(progress).size() <= ROW_BYTES);
  BOOST_TEST(entry::max_runs(workflow, progress, ROW_BYTES) > 0U);
}
