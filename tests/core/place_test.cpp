#define BOOST_TEST_MODULE place
#include "tests/core/fleet.h"

#include "core/compact.h"
#include "core/fragmentation.h"
#include "core/reclaim.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace geraniumhinge::core;
using namespace geraniumhinge::core::test;

namespace {

const std::vector<PlacementRule> RULES = {
  PlacementRule::FirstFit,
  PlacementRule::BestFitRack,
  PlacementRule::FragmentationGradient,
  PlacementRule::BuddyCells,
};

Policy
policy_of(PlacementRule rule)
{
  return { rule, { { { 4, 2, 0, 0, Adjacency::Rack }, 1 } }, true };
}

} // namespace

// Guards against a gang whose members are placed further apart than requested.
BOOST_AUTO_TEST_CASE(members_keep_their_adjacency)
{
  const Fleet fleet = make_fleet({ 4, 4 }, 2, 4);
  for (const PlacementRule rule : RULES) {
    const tl::expected<Placement, PlaceError> rack =
      place(fleet.states(),
            make_demand("rack", 0, { 8, 1, 0, 0, Adjacency::Rack }),
            policy_of(rule));
    BOOST_REQUIRE(rack.has_value());
    BOOST_TEST(rack->members.size() == 8);
    std::set<NameId> racks;
    for (const PlacedMember& member : rack->members) {
      racks.insert(fleet.cells[member.cell].servers[member.server].rack);
    }
    BOOST_TEST(racks.size() == 1);

    const tl::expected<Placement, PlaceError> any =
      place(fleet.states(),
            make_demand("any", 0, { 32, 1, 0, 0, Adjacency::Any }),
            policy_of(rule));
    BOOST_REQUIRE(any.has_value());
    BOOST_TEST(any->members.size() == 32);
  }
}

// Guards against jobs placed on servers that are leaving, lost or quarantined,
// and on servers that refused the job lately.
BOOST_AUTO_TEST_CASE(only_ready_servers_get_work)
{
  Fleet fleet = make_fleet({ 4 }, 4, 4);
  fleet.cells[0].servers[0].state = ServerState::Leaving;
  fleet.cells[0].servers[1].state = ServerState::Lost;
  fleet.cells[0].servers[2].state = ServerState::Quarantined;
  Demand demand = make_demand("job", 0, { 1, 1, 0, 0, Adjacency::Any });
  for (const PlacementRule rule : RULES) {
    const tl::expected<Placement, PlaceError> found =
      place(fleet.states(), demand, policy_of(rule));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->members.front().server == 3);
  }
  demand.avoided_servers = { fleet.cells[0].servers[3].name };
  const tl::expected<Placement, PlaceError> none =
    place(fleet.states(), demand, {});
  BOOST_TEST((none.error() == PlaceError::NoCapacity));
}

// Guards against a job that waits forever although it does not fit even on an
// empty fleet.
BOOST_AUTO_TEST_CASE(impossible_shapes_are_reported)
{
  const Fleet fleet = make_fleet({ 2, 2 }, 2, 4);
  const Shape shape{ 1, 8, 0, 0, Adjacency::Any };
  BOOST_TEST(!fits_empty_fleet(fleet.states(), shape));
  const tl::expected<Placement, PlaceError> none =
    place(fleet.states(), make_demand("job", 0, shape), {});
  BOOST_TEST((none.error() == PlaceError::ImpossibleShape));
}

// Guards against an organisation that uses the same guaranteed shape twice.
BOOST_AUTO_TEST_CASE(a_guarantee_is_consumed)
{
  Fleet fleet = make_fleet({ 3 }, 3, 8);
  const Shape whole{ 1, 8, 0, 0, Adjacency::Server };
  fleet.cell_guarantees[0] = { { 0, whole, 1 } };
  Demand demand = make_demand("one", 0, whole);
  demand.use_guarantee = true;
  const tl::expected<Placement, PlaceError> first =
    place(fleet.states(), demand, {});
  BOOST_REQUIRE(first.has_value());
  fleet.commit(demand, *first);
  demand.job = "two";
  const tl::expected<Placement, PlaceError> second =
    place(fleet.states(), demand, {});
  BOOST_TEST((second.error() == PlaceError::NoUnusedGuarantee));
}

// Guards against accelerators reserved for a large job that are allocated to
// another job.
BOOST_AUTO_TEST_CASE(reserved_accelerators_are_not_used)
{
  const Fleet fleet = make_fleet({ 1 }, 1, 4);
  const std::vector<PlacedMember> reserved = { { 0, 0, 0b0111 } };
  const tl::expected<Placement, PlaceError> one =
    place(fleet.states(),
          make_demand("one", 0, { 1, 1, 0, 0, Adjacency::Any }),
          {},
          reserved);
  BOOST_REQUIRE(one.has_value());
  BOOST_TEST(one->members.front().accelerators == 0b1000);
  const tl::expected<Placement, PlaceError> two =
    place(fleet.states(),
          make_demand("two", 0, { 1, 2, 0, 0, Adjacency::Any }),
          {},
          reserved);
  BOOST_TEST(!two.has_value());
}

// Guards against a large job that waits although small jobs could move, and
// against moves of jobs that fit nowhere else.
BOOST_AUTO_TEST_CASE(migration_moves_small_jobs_only_where_they_fit)
{
  Fleet fleet = make_fleet({ 2 }, 1, 4);
  for (std::uint32_t server = 0; server < 2; ++server) {
    Allocation one;
    one.job = "small-" + std::to_string(server);
    one.server = server;
    one.accelerators = 1;
    one.preemptible = true;
    one.started_ms = 500'000 + server;
    fleet.cells[0].allocations.push_back(one);
  }
  const Demand large =
    make_demand("large", 0, { 1, 4, 0, 0, Adjacency::Server });
  const tl::expected<ReclaimPlan, PlaceError> plan =
    plan_migration(fleet.states(), large, {}, { 5, 2, 6 }, fleet.now_ms);
  BOOST_REQUIRE(plan.has_value());
  BOOST_REQUIRE(plan->victims.size() == 1);
  BOOST_TEST(plan->victims.front().job == "small-1");

  Demand elsewhere = large;
  elsewhere.avoided_servers = { fleet.cells[0].servers[1].name };
  const tl::expected<ReclaimPlan, PlaceError> other =
    plan_migration(fleet.states(), elsewhere, {}, { 5, 2, 6 }, fleet.now_ms);
  BOOST_REQUIRE(other.has_value());
  BOOST_TEST(other->placement.members.front().server == 0);

  Allocation pinned = fleet.cells[0].allocations.front();
  pinned.job = "pinned";
  pinned.accelerators = 0b1110;
  pinned.preemptible = false;
  fleet.cells[0].allocations.push_back(pinned);
  BOOST_TEST(
    !plan_migration(fleet.states(), large, {}, { 5, 2, 6 }, fleet.now_ms)
       .has_value());
}

// Guards against moves that free no whole shape, and against moves of jobs that
// started only recently.
BOOST_AUTO_TEST_CASE(compaction_frees_a_whole_server)
{
  Fleet fleet = make_fleet({ 2 }, 1, 4);
  Allocation small;
  small.job = "small";
  small.accelerators = 1;
  small.preemptible = true;
  small.started_ms = 10;
  Allocation pinned = small;
  pinned.job = "pinned";
  pinned.server = 1;
  pinned.accelerators = 0b0011;
  pinned.preemptible = false;
  fleet.cells[0].allocations = { small, pinned };
  const std::vector<WeightedShape> shapes = {
    { { 1, 4, 0, 0, Adjacency::Server }, 1 }
  };
  const Policy policy{ PlacementRule::FragmentationGradient, shapes, true };
  const std::optional<Move> move =
    plan_compaction(fleet.states(), shapes, policy, 1.0, 20);
  BOOST_REQUIRE(move.has_value());
  BOOST_TEST(move->job == "small");
  BOOST_TEST(move->placement.members.front().server == 1);
  BOOST_TEST(move->gain == 4.0);
  BOOST_TEST(
    !plan_compaction(fleet.states(), shapes, policy, 1.0, 5).has_value());
}

// Guards against a fragmentation value that counts accelerators twice or
// ignores the adjacency of a shape.
BOOST_AUTO_TEST_CASE(fragmentation_follows_the_shapes)
{
  Fleet fleet = make_fleet({ 4 }, 2, 4);
  for (std::uint32_t server = 0; server < 4; ++server) {
    Allocation one;
    one.job = std::to_string(server);
    one.server = server;
    one.accelerators = server == 0 ? 0b0011 : 0b0001;
    fleet.cells[0].allocations.push_back(one);
  }
  const auto share = [&fleet](const Shape& shape) {
    const std::vector<WeightedShape> shapes = { { shape, 1 } };
    return fragmentation(fleet.states(), shapes).share();
  };
  BOOST_TEST(share({ 1, 1, 0, 0, Adjacency::Any }) == 0.0);
  BOOST_TEST(share({ 1, 4, 0, 0, Adjacency::Any }) == 1.0);
  BOOST_TEST(share({ 2, 3, 0, 0, Adjacency::Rack }) == 5.0 / 11.0);
}
