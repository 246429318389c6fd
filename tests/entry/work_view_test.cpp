#define BOOST_TEST_MODULE work_view
#include "entry/work_rows.h"
#include "entry/work_view.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;
using entry::WorkRowKind;

namespace {

constexpr char JOB[] = "5c0e7a21d94b36f8";

platform::StoredRow
stored(WorkRowKind kind, std::uint64_t version)
{
  core::Workflow workflow;
  workflow.id = JOB;
  workflow.steps = { core::Step{} };
  workflow.steps.front().tasks = 1;
  std::string value =
    kind == WorkRowKind::Workflow ? entry::encode_workflow(workflow) : "";
  return { entry::work_row(kind, JOB), value, version, false };
}

platform::StoredRow
removed(WorkRowKind kind, std::uint64_t version)
{
  return { entry::work_row(kind, JOB), "", version, true };
}

const entry::WorkItem*
item_of(const entry::WorkView& view)
{
  entry::WorkView::Items::const_iterator found = view.items().find(JOB);
  return found == view.items().end() ? nullptr : &found->second;
}

} // namespace

// Guards against a job that runs although it was cancelled before it was
// stored, and against one that an older cancelling stops.
BOOST_AUTO_TEST_CASE(cancel_before_the_workflow_is_forgotten)
{
  for (bool workflow_first : { true, false }) {
    entry::WorkView view;
    view.apply(stored(WorkRowKind::Cancel, 5));
    if (workflow_first) {
      view.apply(stored(WorkRowKind::Workflow, 7));
      BOOST_TEST(!view.find(JOB)->cancelled);
    }
    view.apply(stored(WorkRowKind::Cancel, 7));
    view.apply(stored(WorkRowKind::Workflow, 7));
    BOOST_TEST(view.find(JOB)->cancelled);
  }
}

// Guards against cancel rows that are never removed: each time the rows are
// read again, their retention would start anew.
BOOST_AUTO_TEST_CASE(reload_extends_the_life_of_a_cancel_row)
{
  entry::WorkView view;
  view.apply(stored(WorkRowKind::Cancel, 5));
  std::int64_t read_ms = item_of(view)->cancel_read_ms;
  BOOST_TEST(read_ms != 0);
  platform::RowPage page;
  page.rows = { stored(WorkRowKind::Cancel, 5) };
  page.version = 9;
  view.replace(page);
  BOOST_REQUIRE(item_of(view) != nullptr);
  BOOST_TEST(item_of(view)->cancel_read_ms == read_ms);
  BOOST_TEST(item_of(view)->cancelled);
  page.rows.clear();
  view.replace(page);
  BOOST_TEST(item_of(view) == nullptr);
}

// Guards against a cancel row that is dropped with the rows of the workflow
// before it; it would stay in the store for good.
BOOST_AUTO_TEST_CASE(late_removal_drops_a_newer_cancel_row)
{
  entry::WorkView view;
  view.apply(stored(WorkRowKind::Workflow, 3));
  view.apply(stored(WorkRowKind::Cancel, 8));
  view.apply(removed(WorkRowKind::Workflow, 6));
  view.apply(removed(WorkRowKind::Progress, 6));
  view.apply(removed(WorkRowKind::Cancel, 6));
  BOOST_TEST(view.find(JOB) == nullptr);
  BOOST_REQUIRE(item_of(view) != nullptr);
  BOOST_TEST(item_of(view)->cancelled);
  BOOST_TEST(item_of(view)->cancel_version == 8U);
  view.apply(removed(WorkRowKind::Cancel, 9));
  BOOST_TEST(item_of(view) == nullptr);
}

// Guards against cancel rows without a workflow that count as waiting jobs.
BOOST_AUTO_TEST_CASE(cancel_row_counts_as_a_waiting_job)
{
  entry::WorkView view;
  view.apply(stored(WorkRowKind::Cancel, 5));
  BOOST_TEST(view.find(JOB) == nullptr);
  BOOST_TEST(entry::count_waiting_workflows(view, "") == 0U);
}
