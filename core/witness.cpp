#include "core/witness.h"

#include "core/capacity.h"
#include "core/pack.h"

#include <algorithm>
#include <bit>
#include <map>
#include <optional>
#include <tuple>

namespace geraniumhinge::core {

namespace {

/// The members of one guaranteed job in a cell.
struct GuaranteedJob
{
  std::vector<const Allocation*> members;
  Shape largest; // Largest resources of any member.
  NameId organisation = 0;
};

void
add_member(GuaranteedJob& job, const Allocation& allocation)
{
  job.members.push_back(&allocation);
  job.organisation = allocation.organisation;
  job.largest.members = static_cast<std::uint32_t>(job.members.size());
  job.largest.accelerators = std::max(
    job.largest.accelerators,
    static_cast<std::uint32_t>(std::popcount(allocation.accelerators)));
  job.largest.cores = std::max(job.largest.cores, allocation.cores);
  job.largest.memory_mb = std::max(job.largest.memory_mb, allocation.memory_mb);
}

/// Guaranteed jobs, largest first, so that a small job does not consume the
/// only shape that covers a large one.
std::vector<GuaranteedJob>
guaranteed_jobs(const Cell& cell)
{
  std::map<std::string_view, GuaranteedJob> by_job;
  for (const Allocation& allocation : cell.allocations) {
    if (allocation.guaranteed) {
      add_member(by_job[allocation.job], allocation);
    }
  }
  std::vector<GuaranteedJob> jobs;
  jobs.reserve(by_job.size());
  for (auto& [name, job] : by_job) {
    jobs.push_back(std::move(job));
  }
  std::stable_sort(jobs.begin(),
                   jobs.end(),
                   [](const GuaranteedJob& left, const GuaranteedJob& right) {
                     return total_accelerators(left.largest) >
                            total_accelerators(right.largest);
                   });
  return jobs;
}

bool
within_adjacency(const Cell& cell,
                 const GuaranteedJob& job,
                 Adjacency adjacency)
{
  const Server& first = cell.servers[job.members.front()->server];
  return std::all_of(
    job.members.begin(), job.members.end(), [&](const Allocation* allocation) {
      const Server& server = cell.servers[allocation->server];
      return adjacency >= Adjacency::Zone ||
             (adjacency == Adjacency::Rack && server.rack == first.rack) ||
             server.name == first.name;
    });
}

bool
fits_member(const Shape& guaranteed, const Shape& used)
{
  return guaranteed.accelerators >= used.accelerators &&
         guaranteed.cores >= used.cores &&
         guaranteed.memory_mb >= used.memory_mb;
}

/// Excess of a guaranteed shape over the job that it is matched to. Compared
/// lexicographically, lower is better.
using Mismatch =
  std::tuple<bool, bool, std::uint32_t, std::uint32_t, std::uint32_t>;

/// Nothing if the job cannot be matched to the guarantee.
std::optional<Mismatch>
mismatch(const Cell& cell,
         const GuaranteedJob& job,
         const CellGuarantee& guarantee,
         std::uint32_t unused)
{
  const Shape& shape = guarantee.shape;
  const std::uint64_t claimed_shape_key =
    job.members.front()->claimed_shape_key;
  if (claimed_shape_key != 0 && claimed_shape_key != shape_key(shape)) {
    return std::nullopt;
  }
  const bool any = shape.adjacency == Adjacency::Any;
  const std::uint32_t wanted = any ? job.largest.members : 1;
  if (guarantee.organisation != job.organisation || unused < wanted ||
      !fits_member(shape, job.largest) || shape.members < job.largest.members ||
      !within_adjacency(cell, job, shape.adjacency)) {
    return std::nullopt;
  }
  const std::uint32_t members = any ? job.largest.members : shape.members;
  const std::uint32_t excess =
    members * shape.accelerators - total_accelerators(job.largest);
  return Mismatch{ excess > 0,
                   any,
                   excess,
                   shape.cores - job.largest.cores,
                   shape.memory_mb - job.largest.memory_mb };
}

void
add_residuals(GuaranteeUsage& usage,
              const GuaranteedJob& job,
              std::uint32_t index,
              const Shape& shape)
{
  for (const Allocation* allocation : job.members) {
    Shape residual = shape;
    residual.members = 0;
    residual.accelerators -=
      static_cast<std::uint32_t>(std::popcount(allocation->accelerators));
    residual.cores -= allocation->cores;
    residual.memory_mb -= allocation->memory_mb;
    if (residual.accelerators + residual.cores + residual.memory_mb > 0) {
      usage.residuals.push_back({ index, allocation->server, residual });
    }
  }
  const std::uint32_t used = job.largest.members;
  if (shape.adjacency != Adjacency::Any && used < shape.members) {
    Shape residual = shape;
    residual.members = shape.members - used;
    usage.residuals.push_back({ index, job.members.front()->server, residual });
  }
}

void
match_job(const Cell& cell,
          const GuaranteedJob& job,
          std::span<const CellGuarantee> guarantees,
          GuaranteeUsage& usage)
{
  std::optional<Mismatch> best;
  std::uint32_t best_index = 0;
  for (std::uint32_t i = 0; i < guarantees.size(); ++i) {
    const std::optional<Mismatch> found =
      mismatch(cell, job, guarantees[i], usage.unused[i]);
    if (found && (!best || *found < *best)) {
      best = found;
      best_index = i;
    }
  }
  if (!best) {
    return; // The guarantee was removed while the job runs.
  }
  const Shape& shape = guarantees[best_index].shape;
  usage.unused[best_index] -=
    shape.adjacency == Adjacency::Any ? job.largest.members : 1;
  add_residuals(usage, job, best_index, shape);
}

/// Allocates the unused part of a member's guaranteed resources, which needs no
/// slot. Returns whether it fits.
bool
allocate_residual(Available& server,
                  const Shape& residual,
                  std::uint64_t preferred)
{
  server.slots += 1;
  if (members_on(server, residual) == 0) {
    server.slots -= 1;
    return false;
  }
  allocate_member(server, residual, preferred);
  return true;
}

std::vector<PackItem>
unused_items(std::span<const CellGuarantee> guarantees,
             const GuaranteeUsage& usage)
{
  std::vector<PackItem> items;
  for (std::uint32_t i = 0; i < guarantees.size(); ++i) {
    Shape shape = guarantees[i].shape;
    if (shape.adjacency == Adjacency::Any) {
      shape.members = 1;
    }
    items.insert(items.end(), usage.unused[i], PackItem{ shape, i, {} });
  }
  return items;
}

std::vector<std::uint64_t>
preemptible_masks(const Cell& cell)
{
  std::vector<std::uint64_t> masks(cell.servers.size(), 0);
  for (const Allocation& allocation : cell.allocations) {
    if (allocation.preemptible) {
      masks[allocation.server] |= allocation.accelerators;
    }
  }
  return masks;
}

Packing
pack_unused(const Cell& cell,
            std::span<const CellGuarantee> guarantees,
            const GuaranteeUsage& usage)
{
  Capacity capacity = capacity_of(cell, CapacityBasis::FreeOrPreemptible);
  const std::vector<std::uint64_t> preferred = preemptible_masks(cell);
  std::vector<PackItem> items = unused_items(guarantees, usage);
  std::vector<std::uint32_t> failed;
  for (const Residual& residual : usage.residuals) {
    if (residual.shape.members > 0) {
      items.push_back({ residual.shape, residual.guarantee, residual.server });
    } else if (!allocate_residual(capacity.servers[residual.server],
                                  residual.shape,
                                  preferred[residual.server])) {
      failed.push_back(residual.guarantee);
    }
  }
  Packing packing = pack(capacity, std::move(items), preferred);
  packing.failed.insert(packing.failed.end(), failed.begin(), failed.end());
  return packing;
}

} // namespace

GuaranteeUsage
guarantee_usage_of(const Cell& cell, std::span<const CellGuarantee> guarantees)
{
  GuaranteeUsage usage;
  usage.unused.reserve(guarantees.size());
  for (const CellGuarantee& guarantee : guarantees) {
    usage.unused.push_back(guarantee.count);
  }
  for (const GuaranteedJob& job : guaranteed_jobs(cell)) {
    match_job(cell, job, guarantees, usage);
  }
  return usage;
}

tl::expected<Witness, WitnessError>
find_witness(const Cell& cell,
             std::span<const CellGuarantee> guarantees,
             const GuaranteeUsage& usage)
{
  Packing packing = pack_unused(cell, guarantees, usage);
  if (!packing.failed.empty()) {
    const std::uint32_t index = packing.failed.front();
    return tl::unexpected(WitnessError{
      index, guarantees[index].organisation, guarantees[index].shape });
  }
  return Witness{ std::move(packing.shapes) };
}

tl::expected<Witness, WitnessError>
find_witness(const Cell& cell, std::span<const CellGuarantee> guarantees)
{
  return find_witness(cell, guarantees, guarantee_usage_of(cell, guarantees));
}

std::vector<std::uint32_t>
broken_guarantees(const Cell& cell, std::span<const CellGuarantee> guarantees)
{
  const Packing packing =
    pack_unused(cell, guarantees, guarantee_usage_of(cell, guarantees));
  std::vector<std::uint32_t> broken(guarantees.size(), 0);
  for (const std::uint32_t index : packing.failed) {
    ++broken[index];
  }
  return broken;
}

} // namespace geraniumhinge::core
