#pragma once

#include "bench/policy_stream.h"

#include <array>

namespace geraniumhinge::bench {

/// 11 backend servers (planners) in 3 zones. Blend trials and allergen batches
/// need whole servers and racks; rota rebuilds are numerous and small.
inline Deployment
consortium()
{
  using core::Adjacency;
  Deployment deployment;
  deployment.name = "consortium";
  deployment.cell_sizes = { 4, 4, 3 };
  deployment.accelerators = { 8 };
  deployment.organisations = { 0.4, 0.3, 0.2, 0.1 };
  deployment.kinds = {
    { 0.40, { 1, 1, 2, 4'000, Adjacency::Any }, 15, 0.6, false, false },
    { 0.20, { 1, 2, 4, 8'000, Adjacency::Any }, 25, 0.6, false, false },
    { 0.14, { 1, 4, 8, 16'000, Adjacency::Server }, 40, 0.6, false, false },
    { 0.10, { 1, 8, 16, 32'000, Adjacency::Server }, 60, 0.5, false, false },
    { 0.06, { 2, 8, 8, 16'000, Adjacency::Rack }, 90, 0.5, false, false },
    { 0.03, { 16, 1, 2, 4'000, Adjacency::Zone }, 90, 0.5, false, false },
    { 0.05, { 1, 8, 8, 16'000, Adjacency::Server }, 30, 0.5, true, false },
    { 0.02, { 1, 8, 8, 16'000, Adjacency::Server }, 5, 0.3, true, true },
  };
  deployment.guaranteed = { 1, 8, 8, 16'000, Adjacency::Server };
  // A lower load leaves almost no queue; see docs/policy.md.
  deployment.load = 1.0;
  return deployment;
}

/// 11 backend servers (finders) in 4 zones. Jobs arrive only during the day;
/// photo searches are short and catalogue indexing is long.
inline Deployment
valcorta()
{
  using core::Adjacency;
  Deployment deployment;
  deployment.name = "valcorta";
  deployment.cell_sizes = { 3, 3, 3, 2 };
  deployment.accelerators = { 8 };
  deployment.cores = 128;
  deployment.memory_mb = 256'000;
  deployment.organisations = { 0.4, 0.3, 0.2, 0.1 };
  deployment.kinds = {
    { 0.55, { 1, 1, 4, 8'000, Adjacency::Any }, 4, 0.6, false, false },
    { 0.20, { 1, 2, 8, 16'000, Adjacency::Any }, 10, 0.6, false, false },
    { 0.12, { 1, 4, 16, 32'000, Adjacency::Server }, 30, 0.6, false, false },
    { 0.06, { 1, 8, 32, 64'000, Adjacency::Server }, 60, 0.5, false, false },
    { 0.02, { 2, 8, 32, 64'000, Adjacency::Rack }, 60, 0.5, false, false },
    { 0.04, { 1, 8, 32, 64'000, Adjacency::Server }, 10, 0.5, true, false },
    { 0.01, { 1, 8, 32, 64'000, Adjacency::Server }, 2, 0.3, true, true },
  };
  deployment.guaranteed = { 1, 8, 32, 64'000, Adjacency::Server };
  deployment.arrivals_from_ms = 8 * HOUR_MS;
  deployment.arrivals_to_ms = 18 * HOUR_MS;
  deployment.load = 1.25; // Jobs left at the end of the day run at night.
  return deployment;
}

/// The fleet planned in two years: 1,200 backend servers with 1,500
/// accelerators.
inline Deployment
two_year()
{
  using core::Adjacency;
  Deployment deployment;
  deployment.name = "two-year";
  deployment.cell_sizes = { 172, 172, 172, 171, 171, 171, 171 };
  deployment.rack_size = 24;
  deployment.accelerators = { 4, 1, 1, 1, 0, 1, 1, 1 };
  deployment.organisations.assign(74, 1.0 / 74);
  deployment.kinds = {
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
  deployment.guaranteed = { 4, 1, 2, 4'000, Adjacency::Rack };
  deployment.guarantees = 2;
  deployment.horizon_ms = DAY_MS;
  deployment.jobs_per_day = 2'900;
  deployment.large_job_accelerators = 64;
  return deployment;
}

} // namespace geraniumhinge::bench
