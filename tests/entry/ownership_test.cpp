#define BOOST_TEST_MODULE ownership
#include "entry/ownership.h"

#include "entry/work_rows.h"
#include "kernel/clock.h"
#include "tests/gateway/loop_fixture.h"
#include "tests/platform/row_store_standin.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace geraniumhinge;
using namespace geraniumhinge::tests;

namespace {

const RowStoreStandin::Name OWNER_ROW{ "owner", "main", "owner" };
const RowStoreStandin::Name HEARTBEAT_ROW{ "work", "main", "pulse" };
constexpr char NODE[] = "node-1";

/// An entry that claims ownership, with a watch of the work that always works.
struct Candidate
{
  entry::WorkView view;
  std::vector<entry::SilentAgent> silent; ///< Written with each heartbeat.
  std::vector<std::vector<entry::SilentAgent>> stored;
  std::unique_ptr<entry::Ownership> ownership;
  std::unique_ptr<platform::TableWatcher> watcher;
};

struct Fixture : LoopFixture
{
  kernel::Log log{ "test", kernel::Severity::Error };
  kernel::Metrics metrics;
  gateway::HttpClient client{ loop, timers, 8 };
  RowStoreStandin standin{ loop, timers };
  platform::Store store{ loop, log, metrics, client, standin.address() };

  std::unique_ptr<Candidate> add_candidate(const std::string& name)
  {
    std::unique_ptr<Candidate> candidate = std::make_unique<Candidate>();
    Candidate* added = candidate.get();
    entry::OwnershipHooks hooks;
    hooks.acquired = [](std::uint64_t) {};
    hooks.lost = [] {};
    hooks.heartbeat = [added]() -> const entry::OwnerHeartbeat& {
      return added->view.heartbeat();
    };
    hooks.withhold_silent_agents = [added] { return added->silent; };
    hooks.heartbeat_stored =
      [added](const std::vector<entry::SilentAgent>& silent) {
        added->stored.push_back(silent);
      };
    hooks.watch_healthy_since_ms = [] { return std::int64_t{ 1 }; };
    hooks.watch_confirmed_ms = [] { return kernel::boot_ms(); };
    candidate->ownership = std::make_unique<entry::Ownership>(
      loop, timers, log, store, name, "127.0.0.1:7000", 0, hooks);
    platform::TableWatchOptions options;
    options.table = platform::WORK_TABLE;
    options.part = platform::WORK_PART;
    auto apply = [added](const platform::RowPage& page) {
      added->view.apply(page);
    };
    candidate->watcher = std::make_unique<platform::TableWatcher>(
      loop,
      timers,
      log,
      store,
      options,
      platform::TableWatchHooks{ apply, apply, {} });
    candidate->watcher->start();
    candidate->ownership->start();
    return candidate;
  }

  v1::PulseRow heartbeat() const
  {
    v1::PulseRow row;
    BOOST_TEST(row.ParseFromString(standin.value_of(HEARTBEAT_ROW)));
    return row;
  }
};

} // namespace

// Guards against a wait for orders that the former owner can't have sent.
BOOST_FIXTURE_TEST_CASE(next_owner_knows_the_silent_agents, Fixture)
{
  std::unique_ptr<Candidate> first = add_candidate("entry-1");
  first->silent = { { NODE, 5'000 } };
  run_until([&] { return !first->stored.empty(); });
  std::uint64_t term = first->ownership->term();
  std::unique_ptr<Candidate> second = add_candidate("entry-2");
  run_until([&] {
    return second->view.heartbeat().term == term &&
           !second->ownership->owner_address().empty();
  });
  // This heartbeat is read later than the owner row.
  std::uint64_t version = second->view.heartbeat().version;
  run_until([&] { return second->view.heartbeat().version > version; });
  first.reset();
  run_until([&] { return second->ownership->owns(); });
  entry::FormerOwner former =
    second->ownership->former_owner(second->view.heartbeat());
  BOOST_TEST_REQUIRE(former.silent.size() == 1U);
  BOOST_TEST(former.silent[0].node == NODE);
  BOOST_TEST(former.silent[0].silent_ms == 5'000);
  BOOST_TEST(former.confirmed_ms == second->view.heartbeat().read_ms);
}

// An owner in between, without a heartbeat, may have replied to these agents.
BOOST_FIXTURE_TEST_CASE(silent_agents_of_an_earlier_owner_do_not_count, Fixture)
{
  std::unique_ptr<Candidate> first = add_candidate("entry-1");
  first->silent = { { NODE, 5'000 } };
  run_until([&] { return !first->stored.empty(); });
  first.reset();
  std::unique_ptr<Candidate> second = add_candidate("entry-2");
  run_until([&] { return second->view.heartbeat().term != 0; });
  v1::OwnerRow owner;
  owner.set_entry("entry-3");
  owner.set_peer_address("127.0.0.1:7003");
  owner.set_incarnation(3);
  std::int64_t written_ms = kernel::boot_ms();
  standin.put(OWNER_ROW, owner.SerializeAsString());
  run_until([&] { return second->ownership->owns(); });
  entry::FormerOwner former =
    second->ownership->former_owner(second->view.heartbeat());
  BOOST_TEST(former.silent.empty());
  BOOST_TEST(former.confirmed_ms >= written_ms);
}

// Guards against an agent that gets orders while the store lists it as silent,
// because an earlier heartbeat was applied late.
BOOST_FIXTURE_TEST_CASE(late_heartbeat_replaces_a_newer_one, Fixture)
{
  std::unique_ptr<Candidate> owner = add_candidate("entry-1");
  run_until([&] { return !owner->stored.empty(); });
  owner->silent = { { NODE, 5'000 } };
  standin.delayed_writes = 1;
  run_until([&] { return standin.delayed_writes == 0; });
  owner->silent.clear();
  std::size_t before = owner->stored.size();
  run_until([&] { return owner->stored.size() > before; });
  standin.apply_delayed_writes();
  BOOST_TEST(heartbeat().silent_size() == 0);
}

// Guards against an owner that goes on without its heartbeats, and against one
// that never writes again.
BOOST_FIXTURE_TEST_CASE(heartbeats_resume_after_a_foreign_write, Fixture)
{
  std::unique_ptr<Candidate> owner = add_candidate("entry-1");
  run_until([&] { return !owner->stored.empty(); });
  std::uint64_t term = owner->ownership->term();
  for (int fault = 0; fault < 3; ++fault) {
    if (fault == 0)
      standin.put_encoded(HEARTBEAT_ROW, "not base64");
    else if (fault == 1)
      standin.remove(HEARTBEAT_ROW);
    else
      standin.unanswered_writes = 1;
    std::size_t before = owner->stored.size();
    run_until([&] { return owner->stored.size() > before; });
    BOOST_TEST(owner->ownership->term() == term);
    BOOST_TEST(heartbeat().term() == term);
  }
}

// Guards against orders of an owner whose heartbeats the store doesn't confirm.
BOOST_FIXTURE_TEST_CASE(unconfirmed_heartbeats_prolong_ownership, Fixture)
{
  std::unique_ptr<Candidate> owner = add_candidate("entry-1");
  run_until([&] { return !owner->stored.empty(); });
  standin.refusing = true;
  std::int64_t confirmed_ms = owner->ownership->confirmed_ms();
  std::int64_t until_ms = kernel::boot_ms() + 1'000;
  run_until([&] { return kernel::boot_ms() > until_ms; });
  BOOST_TEST(owner->ownership->confirmed_ms() == confirmed_ms);
  standin.refusing = false;
  run_until([&] { return owner->ownership->confirmed_ms() > until_ms; });
}
