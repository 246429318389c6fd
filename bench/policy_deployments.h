#pragma once

#include "bench/policy_stream.h"

#include <array>

namespace geraniumhinge::bench {

/// 11 planner workers in 3 zones; blend trials and allergen batches need whole
/// servers and racks, rota rebuilds are many and small.
inline Deployment
consortium()
{
  using core::Adjacency;
  Deployment one;
  one.name = "consortium";
  one.cell_sizes = { 4, 4, 3 };
  one.accelerators = { 8 };
  one.organisations = { 0.4, 0.3, 0.2, 0.1 };
  one.kinds = {
    { 0.40, { 1, 1, 2, 4'000, Adjacency::Any }, 15, 0.6, false, false },
    { 0.20, { 1, 2, 4, 8'000, Adjacency::Any }, 25, 0.6, false, false },
    { 0.14, { 1, 4, 8, 16'000, Adjacency::Server }, 40, 0.6, false, false },
    { 0.10, { 1, 8, 16, 32'000, Adjacency::Server }, 60, 0.5, false, false },
    { 0.06, { 2, 8, 8, 16'000, Adjacency::Rack }, 90, 0.5, false, false },
    { 0.03, { 16, 1, 2, 4'000, Adjacency::Zone }, 90, 0.5, false, false },
    { 0.05, { 1, 8, 8, 16'000, Adjacency::Server }, 30, 0.5, true, false },
    { 0.02, { 1, 8, 8, 16'000, Adjacency::Server }, 5, 0.3, true, true },
  };
  one.guaranteed = { 1, 8, 8, 16'000, Adjacency::Server };
  one.load = 1.0; // Loads below leave next to no queue; see docs/policy.md.
  return one;
}

/// 11 finder workers in 4 zones, days only; photo searches are short and
/// catalogue indexing is long.
inline Deployment
valcorta()
{
  using core::Adjacency;
  Deployment one;
  one.name = "valcorta";
  one.cell_sizes = { 3, 3, 3, 2 };
  one.accelerators = { 8 };
  one.cores = 128;
  one.memory_mb = 256'000;
  one.organisations = { 0.4, 0.3, 0.2, 0.1 };
  one.kinds = {
    { 0.55, { 1, 1, 4, 8'000, Adjacency::Any }, 4, 0.6, false, false },
    { 0.20, { 1, 2, 8, 16'000, Adjacency::Any }, 10, 0.6, false, false },
    { 0.12, { 1, 4, 16, 32'000, Adjacency::Server }, 30, 0.6, false, false },
    { 0.06, { 1, 8, 32, 64'000, Adjacency::Server }, 60, 0.5, false, false },
    { 0.02, { 2, 8, 32, 64'000, Adjacency::Rack }, 60, 0.5, false, false },
    { 0.04, { 1, 8, 32, 64'000, Adjacency::Server }, 10, 0.5, true, false },
    { 0.01, { 1, 8, 32, 64'000, Adjacency::Server }, 2, 0.3, true, true },
  };
  one.guaranteed = { 1, 8, 32, 64'000, Adjacency::Server };
  one.open_from = 8 * HOUR;
  one.open_to = 18 * HOUR;
  one.load = 1.25; // The rest of the day's work runs in the night.
  return one;
}

/// The two-year scale: 1,200 workers with 1,500 accelerators.
inline Deployment
two_year()
{
  using core::Adjacency;
  Deployment one;
  one.name = "two-year";
  one.cell_sizes = { 172, 172, 172, 171, 171, 171, 171 };
  one.rack_size = 24;
  one.accelerators = { 4, 1, 1, 1, 0, 1, 1, 1 };
  one.organisations.assign(74, 1.0 / 74);
  one.kinds = {
    { 0.55, { 1, 1, 2, 4'000, Adjacency::Any }, 110, 0.7, false, false },
    { 0.14, { 1, 4, 8, 16'000, Adjacency::Server }, 110, 0.7, false, false },
    { 0.10, { 4, 1, 2, 4'000, Adjacency::Rack }, 110, 0.7, false, false },
    { 0.06, { 8, 1, 2, 4'000, Adjacency::Rack }, 120, 0.6, false, false },
    { 0.03, { 16, 1, 2, 4'000, Adjacency::Rack }, 120, 0.6, false, false },
    { 0.015, { 64, 1, 2, 4'000, Adjacency::Zone }, 120, 0.5, false, false },
    { 0.005, { 128, 1, 2, 4'000, Adjacency::Any }, 120, 0.5, false, false },
    { 0.07, { 4, 1, 2, 4'000, Adjacency::Rack }, 60, 0.6, true, false },
    { 0.03, { 4, 1, 2, 4'000, Adjacency::Rack }, 10, 0.3, true, true },
  };
  one.guaranteed = { 4, 1, 2, 4'000, Adjacency::Rack };
  one.guarantees = 2;
  one.horizon = DAY;
  one.jobs_per_day = 2'900;
  one.large = 64;
  return one;
}

} // namespace geraniumhinge::bench
