#define BOOST_TEST_MODULE driver
#include "tests/entry/entry_fakes.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;
namespace data = boost::unit_test::data;

namespace {

bool
is_job_write(const platform::Transaction& transaction)
{
  return std::any_of(transaction.writes.begin(),
                     transaction.writes.end(),
                     [](const platform::RowWrite& write) {
                       return write.key.starts_with(entry::JOB_PREFIX) &&
                              write.value;
                     });
}

/// Applies `fault` to commit number `target` of those that write a job row.
std::function<CommitFault(const platform::Transaction&)>
fault_at(int target, CommitFault fault)
{
  return [target, fault, count = 0](
           const platform::Transaction& transaction) mutable {
    return is_job_write(transaction) && ++count == target ? fault
                                                          : CommitFault::None;
  };
}

} // namespace

// Guards against a gang that does not reach its outcome, or whose allocations
// or entry in the index of open jobs remain after its end.
BOOST_FIXTURE_TEST_CASE(gang_runs_to_its_outcome, EntryFixture)
{
  std::unique_ptr<EntryNode> node = this->node("e1");
  std::string id = this->submit(*node, job_request(3, false));
  this->agents.succeed.insert(id);
  this->run_until_done(id);
  BOOST_TEST(this->job(id).outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(this->agents.starts[id] == 1);
}

// Guards against a job that starts twice, hangs or loses its outcome because
// the result of a commit is lost. After the submission, write 2 of the job row
// is the commit of the start and write 3 that of the outcome.
BOOST_DATA_TEST_CASE_F(EntryFixture,
                       store_response_is_lost,
                       data::make({ 2, 3 }) *
                         data::make({ CommitFault::Unavailable,
                                      CommitFault::AppliedAmbiguous,
                                      CommitFault::DroppedAmbiguous }),
                       step,
                       fault)
{
  this->table.fault = fault_at(step, fault);
  std::unique_ptr<EntryNode> node = this->node("e1");
  std::string id = this->submit(*node, job_request(2, false));
  this->agents.succeed.insert(id);
  this->run_until_done(id);
  BOOST_TEST(this->job(id).outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(this->agents.starts[id] == 1);
}

namespace {

constexpr v1::Envelope::BodyCase STEPS[] = { v1::Envelope::kPrepare,
                                             v1::Envelope::kStart,
                                             v1::Envelope::kQueryMember };

} // namespace

// Guards against a non-idempotent job that hangs or runs twice because the
// reply of its agent to Prepare, Start or QueryMember is lost.
BOOST_DATA_TEST_CASE_F(EntryFixture,
                       agent_reply_is_lost,
                       data::make(STEPS),
                       step)
{
  bool lost = false;
  this->agents.lose_reply = [&](const std::string&,
                                const v1::Envelope& envelope) {
    return envelope.body_case() == step && !std::exchange(lost, true);
  };
  std::unique_ptr<EntryNode> node = this->node("e1");
  std::string id = this->submit(*node, job_request(1, false));
  this->agents.succeed.insert(id);
  this->run_until_done(id);
  BOOST_TEST(this->job(id).outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(this->agents.starts[id] == 1);
}

// Guards against two jobs on the same accelerators when another entry changes
// the cell between the placement and its commit.
BOOST_FIXTURE_TEST_CASE(conflict_places_job_on_another_server, EntryFixture)
{
  std::unique_ptr<EntryNode> node = this->node("e1");
  this->run_until([&] { return !node->cell_cache.all().empty(); });
  bool cell_changed = false;
  this->agents.on_message = [&](const v1::Envelope& envelope) {
    if (!envelope.has_prepare() || std::exchange(cell_changed, true))
      return;
    v1::CellRow cell = this->table.get<v1::CellRow>("cell/z1");
    v1::Allocation& other = *cell.add_allocations();
    other.set_job("org2.other");
    other.set_server(envelope.prepare().gang(0).server());
    other.set_accelerators(0xff);
    this->table.rows["cell/z1"] = { "cell/z1",
                                    ++this->table.last_version,
                                    cell.SerializeAsString() };
  };
  std::string id = this->submit(*node, job_request(1, true));
  this->run_until(
    [&] { return this->job(id).state() == v1::JOB_STATE_RUNNING; });
  v1::CellRow cell = this->table.get<v1::CellRow>("cell/z1");
  BOOST_REQUIRE(cell.allocations_size() == 2);
  BOOST_TEST(cell.allocations(0).server() != cell.allocations(1).server());
}

namespace {

constexpr entry::DriverState STATES[] = {
  entry::DriverState::Queued,     entry::DriverState::Preparing,
  entry::DriverState::Committing, entry::DriverState::Starting,
  entry::DriverState::Running,    entry::DriverState::Ending
};

} // namespace

// Guards against a job that is lost or runs twice when the entry of its driver
// dies in any state of the job and another entry takes over.
BOOST_FIXTURE_TEST_CASE(takeover_in_each_state, EntryFixture)
{
  for (entry::DriverState state : STATES) {
    BOOST_TEST_CONTEXT("state " << name_of(entry::DRIVER_STATE_NAMES, state))
    {
      std::unique_ptr<EntryNode> first = this->node("e1");
      v1::SubmitJobRequest request = job_request(2, false);
      request.set_request_id(std::to_string(static_cast<int>(state)));
      bool reached = false;
      std::string id = this->submit(*first, request);
      if (state == entry::DriverState::Ending)
        this->agents.succeed.insert(id);
      this->run_until([&] {
        entry::Driver* driver = first->drivers.find(id);
        reached = driver == nullptr || driver->state() >= state;
        return reached;
      });
      first.reset();
      std::unique_ptr<EntryNode> second = this->node("e2");
      this->run_until([&] { return !second->cell_cache.all().empty(); });
      second->drivers.drive(id);
      this->agents.succeed.insert(id);
      this->run_until_done(id);
      BOOST_TEST(this->job(id).outcome() == v1::OUTCOME_SUCCEEDED);
      BOOST_TEST(this->agents.starts[id] == 1);
    }
  }
}

// Guards against a second run of a non-idempotent job whose agent restarted,
// and against reporting such a job as not run.
BOOST_FIXTURE_TEST_CASE(lost_member_is_unknown, EntryFixture)
{
  std::unique_ptr<EntryNode> node = this->node("e1");
  std::string id = this->submit(*node, job_request(1, false));
  this->run_until([&] {
    entry::Driver* driver = node->drivers.find(id);
    return driver != nullptr && driver->state() == entry::DriverState::Running;
  });
  for (auto& [address, incarnation] : this->agents.incarnations)
    incarnation += 100;
  this->run_until_done(id);
  BOOST_TEST(this->job(id).outcome() == v1::OUTCOME_UNKNOWN);
  BOOST_TEST(this->agents.starts[id] == 1);
}

// Guards against an idempotent job that, after a restart of its agent, is given
// up or runs again before the lease of the old member has expired.
BOOST_FIXTURE_TEST_CASE(idempotent_job_runs_again_after_lease_expiry,
                        EntryFixture)
{
  std::unique_ptr<EntryNode> node = this->node("e1");
  std::string id = this->submit(*node, job_request(1, true));
  this->run_until([&] {
    entry::Driver* driver = node->drivers.find(id);
    return driver != nullptr && driver->state() == entry::DriverState::Running;
  });
  std::string address = "a" + this->job(id).servers(0).substr(1);
  this->agents.incarnations[address] += 100;
  std::int64_t restarted_ms = kernel::boot_ms();
  this->agents.members.clear();
  this->agents.succeed.insert(id);
  this->run_until_done(id);
  BOOST_TEST(this->job(id).outcome() == v1::OUTCOME_SUCCEEDED);
  BOOST_TEST(this->agents.starts[id] == 2);
  BOOST_TEST(kernel::boot_ms() - restarted_ms >=
             node->settings.lease_length.count());
}

// Guards against a result of an older generation that is not acknowledged or is
// taken for a result of the current generation.
BOOST_FIXTURE_TEST_CASE(late_result_is_dropped, EntryFixture)
{
  std::unique_ptr<EntryNode> node = this->node("e1");
  std::string id = this->submit(*node, job_request(1, true));
  this->run_until([&] {
    entry::Driver* driver = node->drivers.find(id);
    return driver != nullptr && driver->state() == entry::DriverState::Running;
  });
  v1::Envelope late;
  v1::MemberDone& done = *late.mutable_member_done();
  done.mutable_key()->set_job(id);
  done.mutable_key()->set_generation(0);
  done.set_ran(true);
  done.set_outcome(v1::OUTCOME_FAILED);
  node->drivers.handle(late);
  BOOST_TEST(this->agents.acks == 1);
  this->agents.succeed.insert(id);
  this->run_until_done(id);
  BOOST_TEST(this->job(id).outcome() == v1::OUTCOME_SUCCEEDED);
}

// Guards against wrong outcomes of cancelled jobs: a queued one has not run, a
// running one has failed because of the cancellation.
BOOST_FIXTURE_TEST_CASE(cancelled_job_has_true_outcome, EntryFixture)
{
  std::unique_ptr<EntryNode> node = this->node("e1");
  std::string running = this->submit(*node, job_request(3, false));
  v1::SubmitJobRequest second = job_request(3, false);
  second.set_request_id("r2");
  std::string queued = this->submit(*node, second);
  this->run_until([&] {
    entry::Driver* driver = node->drivers.find(running);
    return driver != nullptr && driver->state() == entry::DriverState::Running;
  });
  node->stopper.request(queued, v1::STOP_PURPOSE_CANCEL);
  node->stopper.request(running, v1::STOP_PURPOSE_CANCEL);
  this->run_until(
    [&] { return this->job(queued).state() == v1::JOB_STATE_DONE; });
  this->run_until_done(running);
  BOOST_TEST(this->job(queued).outcome() == v1::OUTCOME_NOT_RUN);
  BOOST_TEST(this->job(running).outcome() == v1::OUTCOME_FAILED);
  BOOST_TEST(this->job(running).reason() == v1::REASON_CANCELLED);
}
