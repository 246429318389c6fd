#define BOOST_TEST_MODULE caller_api
#include "entry/caller_api.h"

#include "entry/work_rows.h"
#include "kernel/clock.h"
#include "tests/gateway/loop_fixture.h"
#include "tests/platform/row_store_standin.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

using platform::CallerOperation;
using platform::CallerResult;

constexpr char JOB[] = "5c0e7a21d94b36f8";
constexpr char OTHER_JOB[] = "5c0e7a21d94b36f9";
constexpr int ALL = 1'000;
constexpr kernel::Milliseconds DEADLINE{ 1'000 };
constexpr kernel::Milliseconds READ_TIMEOUT{ 1'000 };

RowStoreStandin::Name
row_name(entry::WorkRowKind kind, const std::string& id = JOB)
{
  platform::RowName row = entry::work_row(kind, id);
  return { row.table, row.part, row.key };
}

/// An entry's interface for callers, without other entries to forward to and
/// without a watch of the rows.
struct Entry
{
  kernel::Metrics metrics;
  platform::Store store;
  entry::WorkView view;
  entry::Relay relay;
  entry::CallerApi api;

  Entry(LoopFixture& fixture,
        const kernel::Log& log,
        gateway::HttpClient& client,
        const std::string& store_address,
        const entry::CallerApiHooks& hooks)
    : store(fixture.loop, log, metrics, client, store_address)
    , relay(fixture.loop,
            fixture.timers,
            log,
            store,
            client,
            "entry",
            "127.0.0.1:7000")
    , api(fixture.loop, fixture.timers, log, metrics, store, view, relay, hooks)
  {
  }
};

struct Fixture : LoopFixture
{
  kernel::Log log{ "test", kernel::Severity::Error };
  gateway::HttpClient client{ loop, timers, 8 };
  RowStoreStandin standin{ loop, timers };
  core::OperatorConfig operator_config;
  Entry first{ *this, log, client, standin.address(), hooks() };
  Entry second{ *this, log, client, standin.address(), hooks() };

  Fixture()
  {
    core::Queue queue;
    queue.host = "host";
    queue.path_prefix = "/queue/";
    queue.allows_anonymous = true;
    operator_config.version = 1;
    operator_config.queues = { queue };
  }

  entry::CallerApiHooks hooks()
  {
    entry::CallerApiHooks hooks;
    hooks.operator_config = [this]() -> const core::OperatorConfig& {
      return operator_config;
    };
    hooks.data_is_current = [] { return true; };
    hooks.can_be_stored = [](const core::Workflow&) { return true; };
    hooks.workflow_accepted = [] {};
    return hooks;
  }

  static platform::CallerRequest request(CallerOperation operation,
                                         const std::string& id = JOB,
                                         int tasks = 1)
  {
    platform::CallerRequest request;
    request.operation = operation;
    request.host = "host";
    request.path = "/queue/" + id;
    request.deadline = DEADLINE;
    if (operation == CallerOperation::Submit)
      request.body = fmt::format(
        R"({{"task_spec":"text","phases":[{{"count":{},"cpu":1000}}]}})",
        tasks);
    return request;
  }

  CallerResult call(Entry& entry, platform::CallerRequest request)
  {
    std::optional<CallerResult> result;
    entry.api.handle(std::move(request),
                     [&result](const platform::CallerResponse& response) {
                       result = response.result;
                     });
    run_until([&result] { return result.has_value(); });
    return *result;
  }

  CallerResult submit(Entry& entry)
  {
    return call(entry, request(CallerOperation::Submit));
  }

  CallerResult cancel(Entry& entry, const std::string& id = JOB)
  {
    return call(entry, request(CallerOperation::Cancel, id));
  }

  /// The rows as an entry reads them that takes over.
  entry::WorkView read_view()
  {
    entry::WorkView view;
    bool done = false;
    first.store.read_all({ platform::WORK_TABLE, platform::WORK_PART, "", 0 },
                         READ_TIMEOUT,
                         [&](const platform::Store::ReadResult& page) {
                           view.replace(page.value());
                           done = true;
                         });
    run_until([&done] { return done; });
    return view;
  }

  /// Whether the owner would run the job.
  bool would_run()
  {
    entry::WorkView view = read_view();
    const entry::WorkItem* item = view.find(JOB);
    return item && item->usable && !item->cancelled;
  }
};

} // namespace

// Guards against a job that runs after its cancelling was acknowledged: the
// write of its submission was performed late.
BOOST_FIXTURE_TEST_CASE(late_submission_runs_after_its_cancelling, Fixture)
{
  standin.delayed_writes = ALL;
  BOOST_TEST((submit(first) == CallerResult::Ambiguous));
  standin.delayed_writes = 0;
  BOOST_TEST((cancel(second) == CallerResult::NoSuchJob));
  standin.apply_delayed_writes();
  BOOST_TEST(!standin.has(row_name(entry::WorkRowKind::Workflow)));
  BOOST_TEST(!would_run());
}

// Guards against a caller that is refused for a job which then runs, and
// against a second life of a cancelled job.
BOOST_FIXTURE_TEST_CASE(repeated_submission_runs_after_its_cancelling, Fixture)
{
  BOOST_TEST((cancel(first) == CallerResult::NoSuchJob));
  for (Entry* entry : { &first, &second }) {
    BOOST_TEST((submit(*entry) == CallerResult::Accepted));
    BOOST_TEST(standin.has(row_name(entry::WorkRowKind::Workflow)));
    BOOST_TEST(!would_run());
  }
  BOOST_TEST(first.view.find(JOB)->cancelled);
  BOOST_TEST((cancel(second) == CallerResult::Accepted));
  BOOST_TEST((call(second, request(CallerOperation::Submit, JOB, 2)) ==
              CallerResult::Malformed));
}

// A cancel and a submission are on their way at the same time, at two entries.
BOOST_FIXTURE_TEST_CASE(cancel_beside_its_submission_is_ignored, Fixture)
{
  for (bool cancel_first : { true, false }) {
    std::vector<CallerResult> results;
    auto record = [&results](const platform::CallerResponse& response) {
      results.push_back(response.result);
    };
    CallerOperation order[] = { CallerOperation::Cancel,
                                CallerOperation::Submit };
    if (!cancel_first)
      std::swap(order[0], order[1]);
    first.api.handle(request(order[0]), record);
    second.api.handle(request(order[1]), record);
    run_until([&results] { return results.size() == 2; });
    BOOST_TEST(!would_run());
    for (entry::WorkRowKind kind :
         { entry::WorkRowKind::Workflow, entry::WorkRowKind::Cancel })
      standin.remove(row_name(kind));
    first.view = {};
    second.view = {};
  }
}

// Guards against a caller that is told that there is no job while one with
// this identifier runs: the entry knew only the job before it.
BOOST_FIXTURE_TEST_CASE(cancel_misses_a_job_that_replaced_another, Fixture)
{
  BOOST_TEST((submit(first) == CallerResult::Accepted));
  standin.remove(row_name(entry::WorkRowKind::Workflow));
  BOOST_TEST((submit(second) == CallerResult::Accepted));
  BOOST_TEST((cancel(first) == CallerResult::Accepted));
  BOOST_TEST(!would_run());
}

// The same for a job that was removed, and whose submission may come again.
BOOST_FIXTURE_TEST_CASE(cancel_of_a_removed_job_leaves_no_trace, Fixture)
{
  BOOST_TEST((submit(first) == CallerResult::Accepted));
  standin.remove(row_name(entry::WorkRowKind::Workflow));
  BOOST_TEST((cancel(first) == CallerResult::NoSuchJob));
  BOOST_TEST((submit(second) == CallerResult::Accepted));
  BOOST_TEST(!would_run());
}

// Guards against an acknowledged cancelling that no row records.
BOOST_FIXTURE_TEST_CASE(cancel_without_the_store_is_acknowledged, Fixture)
{
  standin.refusing = true;
  BOOST_TEST((cancel(first) == CallerResult::NotApplied));
  standin.refusing = false;
  BOOST_TEST((submit(first) == CallerResult::Accepted));
  BOOST_TEST(would_run());
  standin.delayed_writes = ALL;
  BOOST_TEST((cancel(first, OTHER_JOB) == CallerResult::Ambiguous));
  standin.delayed_writes = 0;
  BOOST_TEST((cancel(first, OTHER_JOB) == CallerResult::NoSuchJob));
}

// A lost response to the cancelling of an unknown job must not make the
// response to the caller ambiguous.
BOOST_FIXTURE_TEST_CASE(lost_response_makes_a_cancel_ambiguous, Fixture)
{
  standin.unanswered_writes = 1;
  BOOST_TEST((cancel(first) == CallerResult::NoSuchJob));
  BOOST_TEST((submit(second) == CallerResult::Accepted));
  BOOST_TEST(!would_run());
}

// Guards against callers that fill the store by cancelling unknown identifiers.
BOOST_FIXTURE_TEST_CASE(repeated_cancels_leave_a_row_each, Fixture)
{
  constexpr int CANCELS = 10;
  for (int index = 0; index < CANCELS; ++index)
    BOOST_TEST((cancel(first) == CallerResult::NoSuchJob));
  BOOST_TEST(standin.commits == CANCELS);
  BOOST_TEST(standin.reads == 0);
  BOOST_TEST(standin.rows.size() == 1U);
}

// Guards against a cancel row of another writer that blocks submissions.
BOOST_FIXTURE_TEST_CASE(foreign_cancel_row_blocks_a_submission, Fixture)
{
  standin.put_encoded(row_name(entry::WorkRowKind::Cancel), "not base64");
  BOOST_TEST((submit(first) == CallerResult::Accepted));
  BOOST_TEST(would_run());
}

// Guards against a submission that is sent long after its caller has
// left, by a process that was paused.
BOOST_FIXTURE_TEST_CASE(submission_is_sent_after_its_deadline, Fixture)
{
  constexpr std::int64_t PAUSE_MS = 2 * DEADLINE.count();
  standin.delayed_writes = 1;
  std::optional<CallerResult> result;
  first.api.handle(request(CallerOperation::Submit),
                   [&result](const platform::CallerResponse& response) {
                     result = response.result;
                   });
  run_until([this] { return standin.delayed_writes == 0; });
  // The process is paused; it wakes after the caller's deadline.
  std::int64_t wake_ms = kernel::boot_ms() + PAUSE_MS;
  while (kernel::boot_ms() < wake_ms) {
  }
  run_until([&result] { return result.has_value(); });
  BOOST_TEST((*result == CallerResult::Ambiguous));
  BOOST_TEST(standin.commits == 0);
}
