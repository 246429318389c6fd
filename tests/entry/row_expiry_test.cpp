#define BOOST_TEST_MODULE row_expiry
#include "entry/row_expiry.h"

#include "entry/work_rows.h"
#include "kernel/clock.h"
#include "tests/gateway/loop_fixture.h"
#include "tests/platform/row_store_standin.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;
using entry::WorkRowKind;

namespace {

constexpr char JOB[] = "5c0e7a21d94b36f8";
constexpr std::int64_t ANY_TIME = std::numeric_limits<std::int64_t>::max();
constexpr kernel::Milliseconds COMMIT_TIMEOUT{ 1'000 };
constexpr std::size_t MAX_STORE_ENTRIES = 100;

std::string
job_id(std::size_t number)
{
  return fmt::format("{:016x}", number);
}

/// An owner's view of the rows in the store.
struct Fixture : LoopFixture
{
  kernel::Log log{ "test", kernel::Severity::Error };
  kernel::Metrics metrics;
  gateway::HttpClient client{ loop, timers, 8 };
  RowStoreStandin standin{ loop, timers };
  platform::Store store{ loop, log, metrics, client, standin.address() };
  entry::WorkView view;
  std::uint64_t term = 0;

  Fixture()
  {
    standin.put({ "owner", "main", "owner" }, "this entry");
    term = standin.rows.at({ "owner", "main", "owner" }).version;
  }

  static RowStoreStandin::Name name(WorkRowKind kind, const std::string& id)
  {
    platform::RowName row = entry::work_row(kind, id);
    return { row.table, row.part, row.key };
  }

  void put(WorkRowKind kind, const std::string& id, const std::string& value)
  {
    standin.put(name(kind, id), value);
    view.apply(platform::StoredRow{ entry::work_row(kind, id),
                                    value,
                                    standin.rows.at(name(kind, id)).version,
                                    false });
  }

  void put_ended_workflow(const std::string& id)
  {
    core::Workflow workflow;
    workflow.id = id;
    workflow.steps = { core::Step{} };
    workflow.steps.front().tasks = 1;
    put(WorkRowKind::Workflow, id, entry::encode_workflow(workflow));
    core::Progress progress;
    progress.outcome = core::Outcome::Completed;
    put(WorkRowKind::Progress, id, entry::encode_progress(progress));
  }

  std::size_t work_rows() const
  {
    std::size_t count = 0;
    for (const std::pair<const RowStoreStandin::Name, RowStoreStandin::Row>&
           item : standin.rows)
      count += std::get<0>(item.first) == platform::WORK_TABLE ? 1 : 0;
    return count;
  }

  bool commit(const platform::RowChange& change)
  {
    std::optional<bool> applied;
    store.commit(change,
                 COMMIT_TIMEOUT,
                 [&applied](const platform::Store::CommitResult& result) {
                   applied = result.has_value();
                 });
    run_until([&applied] { return applied.has_value(); });
    return *applied;
  }
};

} // namespace

// Guards against cancel rows of identifiers that never existed and stay for
// good, and against one that is removed while its submission may be on its way.
BOOST_FIXTURE_TEST_CASE(cancel_row_without_a_workflow_is_kept_for_good, Fixture)
{
  put(WorkRowKind::Cancel, JOB, "");
  std::int64_t read_ms = view.items().at(JOB).cancel_read_ms;
  BOOST_TEST(entry::make_removal(view, term, read_ms).removals.empty());
  platform::RowChange removal = entry::make_removal(view, term, read_ms + 1);
  BOOST_TEST(commit(removal));
  BOOST_TEST(work_rows() == 0U);
}

// A cancelled workflow keeps its rows until its own outcome has expired.
BOOST_FIXTURE_TEST_CASE(cancel_row_of_an_open_workflow_is_removed, Fixture)
{
  core::Workflow workflow;
  workflow.id = JOB;
  workflow.steps = { core::Step{} };
  workflow.steps.front().tasks = 1;
  put(WorkRowKind::Workflow, JOB, entry::encode_workflow(workflow));
  put(WorkRowKind::Cancel, JOB, "");
  BOOST_TEST(entry::make_removal(view, term, ANY_TIME).removals.empty());
}

// Guards against a removal that is performed late and takes the rows of a later
// submission, or of a later cancelling, with it.
BOOST_FIXTURE_TEST_CASE(late_removal_takes_newer_rows_with_it, Fixture)
{
  put_ended_workflow(JOB);
  put(WorkRowKind::Cancel, job_id(1), "");
  platform::RowChange workflow_removal =
    entry::make_removal(view, term, ANY_TIME);
  BOOST_TEST(workflow_removal.removals.size() == 3U);
  put_ended_workflow(JOB);
  BOOST_TEST(!commit(workflow_removal));
  platform::RowChange cancel_removal =
    entry::make_removal(view, term, ANY_TIME);
  put(WorkRowKind::Cancel, job_id(1), "");
  BOOST_TEST(!commit(cancel_removal));
  BOOST_TEST(work_rows() == 3U);
}

// Guards against a transaction that the store rejects for its length.
BOOST_FIXTURE_TEST_CASE(removal_exceeds_the_limit_of_the_store, Fixture)
{
  for (std::size_t number = 0; number < MAX_STORE_ENTRIES; ++number) {
    if (number % 2 == 0)
      put_ended_workflow(job_id(number));
    put(WorkRowKind::Cancel, job_id(number), "");
  }
  platform::RowChange removal = entry::make_removal(view, term, ANY_TIME);
  std::size_t entries = removal.conditions.size() + removal.removals.size();
  BOOST_TEST(entries <= MAX_STORE_ENTRIES);
  BOOST_TEST(removal.removals.size() > MAX_STORE_ENTRIES / 2);
}

// Guards against rows that come faster than they are removed.
BOOST_FIXTURE_TEST_CASE(rows_pile_up_behind_a_batch_per_period, Fixture)
{
  constexpr std::size_t ROWS = 400;
  constexpr std::int64_t RETENTION_MS = 1;
  for (std::size_t number = 0; number < ROWS; ++number)
    put(WorkRowKind::Cancel, job_id(number), "");
  entry::RowExpiry expiry(
    loop, timers, log, metrics, store, view, RETENTION_MS);
  expiry.start_term(term);
  run_until([this] { return work_rows() < ROWS; });
  std::int64_t first_ms = kernel::boot_ms();
  run_until([this] { return work_rows() == 0; });
  BOOST_TEST(kernel::boot_ms() - first_ms < 5'000);
  BOOST_TEST(view.items().empty());
}

// Guards against an entry that removes rows although it is no longer the owner.
BOOST_FIXTURE_TEST_CASE(former_owner_removes_rows, Fixture)
{
  put(WorkRowKind::Cancel, JOB, "");
  platform::RowChange removal = entry::make_removal(view, term, ANY_TIME);
  standin.put({ "owner", "main", "owner" }, "another entry");
  BOOST_TEST(!commit(removal));
  BOOST_TEST(work_rows() == 1U);
}
