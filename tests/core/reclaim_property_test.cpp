#define BOOST_TEST_MODULE reclaim_property
#include "tests/core/fleet.h"
#include "tests/core/property.h"

#include "core/admit.h"
#include "core/reclaim.h"
#include "core/witness.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace geraniumhinge::core;
using namespace geraniumhinge::core::test;

namespace {

constexpr int STEPS = 60;
constexpr std::uint32_t ORGANISATIONS = 3;
constexpr ReclaimTimes TIMES{ 5'000, 2'000, 6'000 };

using Random = std::mt19937_64;

std::uint32_t
pick(Random& random, std::uint32_t low, std::uint32_t high)
{
  return std::uniform_int_distribution<std::uint32_t>(low, high)(random);
}

Shape
random_shape(Random& random)
{
  const Adjacency adjacency = static_cast<Adjacency>(pick(random, 0, 3));
  const std::uint32_t accelerators = 1U << pick(random, 0, 2);
  const std::uint32_t most =
    adjacency == Adjacency::Server ? 8 / accelerators : 5;
  return { pick(random, 1, most),
           accelerators,
           pick(random, 0, 4),
           pick(random, 0, 8) * 1'000,
           adjacency };
}

/// What a random stream of jobs, ends, losses and reclaims did.
struct Outcome
{
  std::uint32_t asked = 0;
  std::uint32_t refused = 0; ///< Asks on an unbroken guarantee not served.
  std::uint32_t twice = 0;   ///< Accelerators given to two jobs.
  std::uint32_t reclaims = 0;
  std::uint32_t unexplained = 0; ///< Witnesses missing without a loss.
};

class Stream
{
public:
  Stream(std::uint64_t seed, bool witness_check)
    : random(seed)
    , fleet(make_fleet({ pick(random, 3, 6), pick(random, 3, 6) }, 3, 8))
  {
    this->policy.witness_check = witness_check;
    this->policy.rule = static_cast<PlacementRule>(pick(random, 0, 3));
    this->admit();
  }

  Outcome run()
  {
    for (int step = 0; step < STEPS; ++step) {
      this->fleet.now_ms += 60'000;
      const std::uint32_t event = pick(this->random, 0, 99);
      if (event < 55) {
        this->submit();
      } else if (event < 75) {
        this->end_one();
      } else if (event < 78) {
        this->lose_server();
      } else if (event < 90) {
        this->use_guarantee();
      } else {
        this->ask_for_all();
      }
      this->check_masks();
    }
    return this->outcome;
  }

private:
  void admit()
  {
    std::vector<Guarantee> held;
    for (int i = 0; i < 6; ++i) {
      held.push_back({ pick(this->random, 0, ORGANISATIONS - 1),
                       random_shape(this->random),
                       pick(this->random, 1, 2),
                       {} });
      const tl::expected<std::vector<Guarantee>, AdmitError> admitted =
        admit_guarantees(this->fleet.pointers(), held, { 1 });
      if (admitted) {
        this->fleet.home(*admitted);
      } else {
        held.pop_back();
      }
    }
  }

  Demand next_demand(const Shape& shape)
  {
    Demand demand = make_demand("job-" + std::to_string(this->next++),
                                pick(this->random, 0, ORGANISATIONS - 1),
                                shape);
    demand.preemptible = pick(this->random, 0, 1) == 1;
    return demand;
  }

  void submit()
  {
    const Demand demand = this->next_demand(random_shape(this->random));
    const tl::expected<Placement, PlaceError> found =
      place(this->fleet.states(), demand, this->policy);
    if (found) {
      this->fleet.commit(demand, *found);
      this->running.push_back(demand.job);
    }
  }

  void end_one()
  {
    if (this->running.empty()) {
      return;
    }
    const std::uint32_t at = pick(
      this->random, 0, static_cast<std::uint32_t>(this->running.size()) - 1);
    this->fleet.end({ this->running[at] });
    this->running.erase(this->running.begin() + at);
  }

  /// Stops every job on the server, as gangs stop whole.
  void lose_server()
  {
    Cell& cell = this->fleet.cells[pick(this->random, 0, 1)];
    const std::uint32_t lost = pick(
      this->random, 0, static_cast<std::uint32_t>(cell.servers.size()) - 1);
    std::vector<std::string> stopped;
    for (const Allocation& held : cell.allocations) {
      if (held.server == lost) {
        stopped.push_back(held.job);
      }
    }
    this->fleet.end(stopped);
    cell.servers[lost].state = ServerState::Lost;
    this->lost_any = true;
  }

  /// Serves the demand as the system does: free places, otherwise a reclaim.
  bool serve(const Demand& demand)
  {
    tl::expected<Placement, PlaceError> found =
      place(this->fleet.states(), demand, this->policy);
    if (!found) {
      const tl::expected<ReclaimPlan, PlaceError> plan = plan_reclaim(
        this->fleet.states(), demand, this->policy, TIMES, this->fleet.now_ms);
      if (!plan) {
        return false;
      }
      std::vector<std::string> victims;
      for (const Victim& victim : plan->victims) {
        victims.push_back(victim.job);
      }
      this->fleet.end(victims);
      ++this->outcome.reclaims;
      found = plan->placement;
    }
    this->fleet.commit(demand, *found);
    return true;
  }

  void use_guarantee()
  {
    std::vector<HomedGuarantee> all = this->all_homed();
    if (all.empty()) {
      return;
    }
    const HomedGuarantee held =
      all[pick(this->random, 0, static_cast<std::uint32_t>(all.size()) - 1)];
    Demand demand = this->next_demand(held.shape);
    demand.organisation = held.organisation;
    demand.use_guarantee = true;
    demand.shape.members = pick(this->random, 1, held.shape.members);
    if (this->serve(demand)) {
      this->running.push_back(demand.job);
    }
  }

  std::vector<HomedGuarantee> all_homed() const
  {
    std::vector<HomedGuarantee> all;
    for (const auto& homed : this->fleet.homed) {
      all.insert(all.end(), homed.begin(), homed.end());
    }
    return all;
  }

  bool reported_broken() const
  {
    for (const CellState& state : this->fleet.states()) {
      if (!find_witness(*state.cell, state.guarantees)) {
        return true;
      }
    }
    return false;
  }

  /// An organisation asks for every shape it does not use yet.
  void ask_for_all()
  {
    const Fleet before = this->fleet;
    const NameId owner = pick(this->random, 0, ORGANISATIONS - 1);
    const bool broken =
      this->policy.witness_check ? this->reported_broken() : false;
    this->outcome.unexplained += broken && !this->lost_any ? 1 : 0;
    for (const auto& [shape, count] : this->unused(owner)) {
      for (std::uint32_t i = 0; i < count && !broken; ++i) {
        Demand demand = this->next_demand(shape);
        demand.organisation = owner;
        demand.use_guarantee = true;
        ++this->outcome.asked;
        this->outcome.refused += this->serve(demand) ? 0 : 1;
        this->check_masks();
      }
    }
    this->fleet = before;
  }

  std::vector<std::pair<Shape, std::uint32_t>> unused(NameId owner) const
  {
    std::vector<std::pair<Shape, std::uint32_t>> wanted;
    for (const CellState& state : this->fleet.states()) {
      const GuaranteeUsage usage =
        guarantee_usage_of(*state.cell, state.guarantees);
      for (std::size_t i = 0; i < usage.unused.size(); ++i) {
        const HomedGuarantee& held = state.guarantees[i];
        if (held.organisation != owner || usage.unused[i] == 0) {
          continue;
        }
        Shape shape = held.shape;
        if (shape.adjacency == Adjacency::Any) {
          shape.members = 1; // Each member may be asked for alone.
        }
        wanted.emplace_back(shape, usage.unused[i]);
      }
    }
    return wanted;
  }

  void check_masks()
  {
    for (const Cell& cell : this->fleet.cells) {
      std::vector<std::uint64_t> used(cell.servers.size(), 0);
      for (const Allocation& held : cell.allocations) {
        const Server& server = cell.servers[held.server];
        if ((used[held.server] & held.accelerators) != 0 ||
            (held.accelerators & ~server.accelerators) != 0) {
          ++this->outcome.twice;
        }
        used[held.server] |= held.accelerators;
      }
    }
  }

  Random random;
  Fleet fleet;
  Policy policy;
  Outcome outcome;
  std::vector<std::string> running;
  int next = 0;
  bool lost_any = false;
};

/// Sums the outcomes of streams with seeds from RapidCheck.
Outcome
run_streams(bool witness_check)
{
  Outcome sum;
  rc::check("streams", [&sum, witness_check](std::uint64_t seed) {
    const Outcome one = Stream(seed, witness_check).run();
    sum.asked += one.asked;
    sum.refused += one.refused;
    sum.twice += one.twice;
    sum.reclaims += one.reclaims;
    sum.unexplained += one.unexplained;
  });
  BOOST_TEST_MESSAGE("asked " << sum.asked << ", refused " << sum.refused
                              << ", reclaims " << sum.reclaims);
  return sum;
}

} // namespace

BOOST_GLOBAL_FIXTURE(FixedSeed);

// Guards against an owner that is refused its guarantee although no loss was
// reported, a loss reported although no server was lost, and accelerators given
// to two jobs.
BOOST_AUTO_TEST_CASE(owner_always_gets_its_whole_guarantee)
{
  const Outcome outcome = run_streams(true);
  BOOST_TEST(outcome.asked > 500);
  BOOST_TEST(outcome.reclaims > 20);
  BOOST_TEST(outcome.refused == 0);
  BOOST_TEST(outcome.unexplained == 0);
  BOOST_TEST(outcome.twice == 0);
}

// Guards against a property test that passes without the mechanism.
BOOST_AUTO_TEST_CASE(owner_is_refused_when_the_witness_check_is_off)
{
  const Outcome outcome = run_streams(false);
  BOOST_TEST(outcome.refused > 0);
  BOOST_TEST(outcome.twice == 0);
}
