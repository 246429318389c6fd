// Measures the time of one placement decision, with the 99th percentile, and
// the memory that the state of 4,000 tasks uses.

#include "core/admit.h"
#include "core/place.h"
#include "core/reclaim.h"

#include <algorithm>
#include <array>
#include <benchmark/benchmark.h>
#include <chrono>
#include <random>

using namespace geraniumhinge::core;

namespace {

constexpr std::uint64_t SEED = 1;
constexpr std::uint32_t CELLS = 7;
constexpr std::uint32_t ORGANISATIONS = 74;
constexpr std::size_t DEMANDS = 64;

struct Fleet
{
  std::vector<Cell> cells;
  std::vector<std::vector<CellGuarantee>> cell_guarantees;

  std::vector<CellState> states() const
  {
    std::vector<CellState> result;
    for (std::size_t i = 0; i < this->cells.size(); ++i) {
      result.push_back({ &this->cells[i], this->cell_guarantees[i] });
    }
    return result;
  }
};

/// Returns the accelerators of a server: 10 on every 8 servers, the ratio of
/// the fleet planned in two years (1,500 on 1,200 servers).
std::uint32_t
accelerators_of(std::uint32_t server)
{
  const std::uint32_t position = server % 8;
  return position == 0 ? 4 : position == 4 ? 0 : 1;
}

Fleet
make_fleet(std::uint32_t servers)
{
  Fleet fleet;
  fleet.cells.resize(CELLS);
  for (std::uint32_t i = 0; i < servers; ++i) {
    Cell& cell = fleet.cells[i % CELLS];
    cell.zone = i % CELLS;
    const std::uint32_t in_cell =
      static_cast<std::uint32_t>(cell.servers.size());
    cell.servers.push_back({ 10'000 + i,
                             1'000 * cell.zone + in_cell / 24,
                             cell.zone,
                             1,
                             accelerator_mask(accelerators_of(in_cell)),
                             8,
                             32,
                             128'000,
                             ServerState::Ready });
  }
  return fleet;
}

Shape
job_shape(std::mt19937_64& random)
{
  static constexpr std::array<Shape, 8> SHAPES = {
    { { 1, 1, 2, 4'000, Adjacency::Any },
      { 1, 4, 4, 8'000, Adjacency::Server },
      { 2, 1, 2, 4'000, Adjacency::Rack },
      { 8, 1, 2, 4'000, Adjacency::Rack },
      { 16, 1, 2, 4'000, Adjacency::Zone },
      { 64, 1, 2, 4'000, Adjacency::Zone },
      { 128, 1, 2, 4'000, Adjacency::Any },
      { 4, 0, 4, 16'000, Adjacency::Any } }
  };
  return SHAPES[random() % SHAPES.size()];
}

void
add_guarantees(Fleet& fleet, std::uint32_t servers)
{
  std::vector<Guarantee> guarantees;
  const std::uint32_t count = std::max(1U, servers / 1'200);
  for (std::uint32_t i = 0; i < ORGANISATIONS; ++i) {
    const Shape shape = i % 6 == 0 ? Shape{ 4, 1, 2, 4'000, Adjacency::Rack }
                                   : Shape{ 1, 1, 2, 4'000, Adjacency::Server };
    if (servers >= 1'000 || i % 12 == 0) {
      guarantees.push_back({ i, shape, 3 * count, {} });
    }
  }
  std::vector<const Cell*> cells;
  for (const Cell& cell : fleet.cells) {
    cells.push_back(&cell);
  }
  const tl::expected<std::vector<Guarantee>, AdmitError> admitted =
    admit_guarantees(cells, guarantees, { 1 });
  fleet.cell_guarantees.resize(CELLS);
  for (std::uint32_t i = 0; admitted && i < CELLS; ++i) {
    fleet.cell_guarantees[i] = guarantees_of_cell(i, *admitted);
  }
}

Policy
bench_policy()
{
  Policy policy;
  policy.typical_shapes = { { { 1, 4, 4, 8'000, Adjacency::Server }, 1 },
                            { { 8, 1, 2, 4'000, Adjacency::Rack }, 1 },
                            { { 16, 1, 2, 4'000, Adjacency::Zone }, 1 },
                            { { 64, 1, 2, 4'000, Adjacency::Zone }, 1 } };
  return policy;
}

Demand
next_demand(std::mt19937_64& random, std::size_t number)
{
  Demand demand;
  demand.job = "0123456789abcdef01234567-" + std::to_string(number);
  demand.organisation = random() % ORGANISATIONS;
  demand.shape = job_shape(random);
  demand.preemptible = random() % 2 == 0;
  return demand;
}

void
commit(Fleet& fleet, const Demand& demand, const Placement& placement)
{
  for (std::uint32_t i = 0; i < placement.members.size(); ++i) {
    fleet.cells[placement.members[i].cell].allocations.push_back(
      allocation_of(demand, placement, i, 1, 0));
  }
}

/// Places jobs until about two thirds of the accelerators are used.
void
fill_fleet(Fleet& fleet, std::uint32_t servers, std::mt19937_64& random)
{
  const Policy policy = bench_policy();
  std::uint32_t used = 0;
  for (std::size_t i = 0; i < servers && used < servers * 5 / 6; ++i) {
    const Demand demand = next_demand(random, i);
    const tl::expected<Placement, PlaceError> found =
      place(fleet.states(), demand, policy);
    if (found) {
      commit(fleet, demand, *found);
      used += total_accelerators(demand.shape);
    }
  }
}

void
placement_decision(benchmark::State& state)
{
  std::mt19937_64 random(SEED);
  const std::uint32_t servers = static_cast<std::uint32_t>(state.range(0));
  Fleet fleet = make_fleet(servers);
  add_guarantees(fleet, servers);
  fill_fleet(fleet, servers, random);
  const Policy policy = bench_policy();
  std::vector<Demand> demands;
  for (std::size_t i = 0; i < DEMANDS; ++i) {
    demands.push_back(next_demand(random, servers + i));
  }
  std::vector<double> durations_us;
  std::size_t next = 0;
  std::size_t placed = 0;
  while (state.KeepRunning()) {
    const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
    const tl::expected<Placement, PlaceError> found =
      place(fleet.states(), demands[next++ % DEMANDS], policy);
    const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now();
    const std::chrono::duration<double> seconds = end - start;
    state.SetIterationTime(seconds.count());
    durations_us.push_back(seconds.count() * 1e6);
    placed += found ? 1 : 0;
  }
  const std::size_t index = durations_us.size() * 99 / 100;
  std::nth_element(durations_us.begin(),
                   durations_us.begin() + static_cast<std::ptrdiff_t>(index),
                   durations_us.end());
  state.counters["p99_us"] = durations_us[index];
  state.counters["placed"] =
    static_cast<double>(placed) / static_cast<double>(durations_us.size());
}

void
memory_of_4000_tasks(benchmark::State& state)
{
  std::size_t bytes = 0;
  while (state.KeepRunning()) {
    Fleet fleet = make_fleet(1'200);
    for (std::uint32_t i = 0; i < 4'000; ++i) {
      Cell& cell = fleet.cells[i % CELLS];
      Allocation allocation;
      allocation.job = "0123456789abcdef0123456789abcdef-" + std::to_string(i);
      allocation.server =
        (i / CELLS) % static_cast<std::uint32_t>(cell.servers.size());
      cell.allocations.push_back(std::move(allocation));
    }
    bytes = 0;
    for (const Cell& cell : fleet.cells) {
      bytes += memory_bytes(cell);
    }
    benchmark::DoNotOptimize(bytes);
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

} // namespace

BENCHMARK(placement_decision)
  ->Arg(100)
  ->Arg(1'200)
  ->Arg(5'000)
  ->UseManualTime()
  ->Iterations(4'000)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(memory_of_4000_tasks)->Iterations(20)->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
