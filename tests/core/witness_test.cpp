#define BOOST_TEST_MODULE witness
#include "tests/core/fleet.h"
#include "tests/core/property.h"

#include "core/admit.h"
#include "core/capacity.h"
#include "core/reclaim.h"
#include "core/witness.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;
using namespace geraniumhinge::core::test;

BOOST_GLOBAL_FIXTURE(FixedSeed);

namespace {

/// Whether the shapes pack, by trying every server for every member.
bool
exhaustive(Capacity& capacity,
           const std::vector<Shape>& shapes,
           std::size_t index,
           std::uint32_t member,
           std::uint32_t first)
{
  if (index == shapes.size()) {
    return true;
  }
  const Shape& shape = shapes[index];
  if (member == shape.members) {
    return exhaustive(capacity, shapes, index + 1, 0, 0);
  }
  for (std::uint32_t i = 0; i < capacity.servers.size(); ++i) {
    const bool near = member == 0 || shape.adjacency >= Adjacency::Zone ||
                      i == first ||
                      (shape.adjacency == Adjacency::Rack &&
                       capacity.rack[i] == capacity.rack[first]);
    Available& server = capacity.servers[i];
    if (!near || members_on(server, shape) == 0) {
      continue;
    }
    const std::uint64_t allocated = allocate_member(server, shape);
    const std::uint32_t anchor = member == 0 ? i : first;
    const bool packed = exhaustive(capacity, shapes, index, member + 1, anchor);
    release_member(server, shape, allocated);
    if (packed) {
      return true;
    }
  }
  return false;
}

Shape
small_shape()
{
  const std::uint32_t members = *rc::gen::inRange<std::uint32_t>(1, 4);
  const std::uint32_t accelerators = *rc::gen::inRange<std::uint32_t>(1, 4);
  const int adjacency = *rc::gen::inRange(0, 3);
  const std::uint32_t memory = *rc::gen::inRange<std::uint32_t>(0, 3);
  return {
    members, accelerators, 0, memory * 30'000, static_cast<Adjacency>(adjacency)
  };
}

} // namespace

// Guards against a packing that misses an existing witness, or returns one
// although none exists.
BOOST_AUTO_TEST_CASE(agrees_with_exhaustive_search)
{
  int packed = 0;
  int unpacked = 0;
  const bool ok = rc::check("exhaustive", [&packed, &unpacked] {
    const std::uint32_t servers = *rc::gen::inRange<std::uint32_t>(2, 5);
    Fleet fleet = make_fleet({ servers }, 2, 4);
    std::vector<Shape> shapes;
    const int count = *rc::gen::inRange(1, 5);
    for (int i = 0; i < count; ++i) {
      shapes.push_back(small_shape());
      fleet.cell_guarantees[0].push_back({ 0, shapes.back(), 1 });
    }
    Capacity capacity =
      capacity_of(fleet.cells[0], CapacityBasis::FreeOrPreemptible);
    const bool exists = exhaustive(capacity, shapes, 0, 0, 0);
    ++(exists ? packed : unpacked);
    RC_ASSERT(
      exists ==
      find_witness(fleet.cells[0], fleet.cell_guarantees[0]).has_value());
  });
  BOOST_TEST(ok);
  BOOST_TEST(packed > 20);
  BOOST_TEST(unpacked > 20);
}

// Guards against a reclaim that stops more work than the cheapest set of jobs.
BOOST_AUTO_TEST_CASE(reclaim_loses_the_least_work)
{
  const bool ok = rc::check("least lost work", [] {
    Fleet fleet = make_fleet({ 2 }, 2, 8);
    const Shape guaranteed{ 1, 4, 0, 0, Adjacency::Server };
    fleet.cell_guarantees[0] = { { 0, guaranteed, 1 } };
    std::vector<std::int64_t> best(2, 0);
    for (std::uint32_t server = 0; server < 2; ++server) {
      std::vector<std::int64_t> lost;
      for (std::uint32_t i = 0; i < 4; ++i) {
        Allocation one;
        one.job = std::to_string(server) + "-" + std::to_string(i);
        one.server = server;
        one.accelerators = std::uint64_t{ 3 } << (2 * i);
        one.organisation = 1;
        one.preemptible = true;
        one.started_ms =
          fleet.now_ms - *rc::gen::inRange<std::int64_t>(1, 500'000);
        lost.push_back(2 * (fleet.now_ms - one.started_ms));
        fleet.cells[0].allocations.push_back(one);
      }
      std::sort(lost.begin(), lost.end());
      best[server] = lost[0] + lost[1];
    }
    Demand demand = make_demand("owner", 0, guaranteed);
    demand.use_guarantee = true;
    const tl::expected<ReclaimPlan, PlaceError> plan =
      plan_reclaim(fleet.states(), demand, {}, { 5, 2, 6 }, fleet.now_ms);
    RC_ASSERT(plan.has_value());
    std::int64_t lost = 0;
    for (const Victim& victim : plan->victims) {
      lost += victim.lost_work_ms;
    }
    RC_ASSERT(lost == std::min(best[0], best[1]));
    RC_ASSERT(plan->max_delay_ms == 13);
  });
  BOOST_TEST(ok);
}

// Guards against other jobs that get the unused part of a guaranteed shape
// while a small job runs on the shape: the owner needs all of it when the job
// ends.
BOOST_AUTO_TEST_CASE(unused_part_of_a_guaranteed_shape_stays_reserved)
{
  Fleet fleet = make_fleet({ 1 }, 1, 8);
  fleet.cell_guarantees[0] = { { 0, { 1, 8, 0, 0, Adjacency::Server }, 1 } };
  Demand own = make_demand("own", 0, { 1, 2, 0, 0, Adjacency::Server });
  own.use_guarantee = true;
  const tl::expected<Placement, PlaceError> placed =
    place(fleet.states(), own, {});
  BOOST_REQUIRE(placed.has_value());
  fleet.commit(own, *placed);

  Demand other = make_demand("other", 1, { 1, 2, 0, 0, Adjacency::Server });
  other.preemptible = false;
  const tl::expected<Placement, PlaceError> refused =
    place(fleet.states(), other, {});
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error() == PlaceError::WouldBreakGuarantee));
}

// Guards against a guarantee that is admitted although the loss of one VM
// breaks it.
BOOST_AUTO_TEST_CASE(admission_keeps_the_spare)
{
  const Fleet fleet = make_fleet({ 2, 2 }, 2, 8);
  const Shape whole{ 1, 8, 0, 0, Adjacency::Server };
  const std::vector<Guarantee> two = { { 0, whole, 2, {} } };
  const std::vector<Guarantee> three = { { 0, whole, 2, {} },
                                         { 1, whole, 1, {} } };
  const tl::expected<std::vector<Guarantee>, AdmitError> admitted =
    admit_guarantees(fleet.pointers(), two, { 1 });
  BOOST_REQUIRE(admitted.has_value());
  BOOST_TEST(admitted->front().homes.size() == 2);

  const tl::expected<std::vector<Guarantee>, AdmitError> refused =
    admit_guarantees(fleet.pointers(), three, { 1 });
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST(refused.error().guarantee == 1);
  BOOST_TEST(admit_guarantees(fleet.pointers(), three, { 0 }).has_value());
}

// Guards against an `Any` shape that is refused because its members do not fit
// one cell, and against a rack shape that is homed across racks.
BOOST_AUTO_TEST_CASE(any_shapes_are_homed_member_by_member)
{
  const Fleet fleet = make_fleet({ 2, 2 }, 1, 8);
  const std::vector<Guarantee> any = {
    { 0, { 4, 8, 0, 0, Adjacency::Any }, 1, {} }
  };
  const tl::expected<std::vector<Guarantee>, AdmitError> admitted =
    admit_guarantees(fleet.pointers(), any, { 0 });
  BOOST_REQUIRE(admitted.has_value());
  BOOST_TEST(admitted->front().homes.size() == 4);

  const std::vector<Guarantee> rack = {
    { 0, { 2, 8, 0, 0, Adjacency::Rack }, 1, {} }
  };
  BOOST_TEST(!admit_guarantees(fleet.pointers(), rack, { 0 }).has_value());
}

// Guards against a broken guarantee that is not reported after the loss of a
// server.
BOOST_AUTO_TEST_CASE(loss_is_reported_with_the_guarantee)
{
  Fleet fleet = make_fleet({ 2 }, 2, 8);
  const Shape whole{ 1, 8, 0, 0, Adjacency::Server };
  fleet.cell_guarantees[0] = { { 7, whole, 2 } };
  BOOST_TEST(
    find_witness(fleet.cells[0], fleet.cell_guarantees[0]).has_value());
  fleet.cells[0].servers[1].state = ServerState::Lost;
  const tl::expected<Witness, WitnessError> broken =
    find_witness(fleet.cells[0], fleet.cell_guarantees[0]);
  BOOST_REQUIRE(!broken.has_value());
  BOOST_TEST(broken.error().organisation == 7);
  BOOST_TEST(
    broken_guarantees(fleet.cells[0], fleet.cell_guarantees[0]).front() == 1);
}
