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

/// The members of one guaranteed job in this cell.
struct JobUse
{
  std::vector<const Allocation*> members;
  Shape largest; // Largest resources of a member.
  NameId organisation = 0;
};

void
add_member(JobUse& use, const Allocation& held)
{
  use.members.push_back(&held);
  use.organisation = held.organisation;
  use.largest.members = static_cast<std::uint32_t>(use.members.size());
  use.largest.accelerators =
    std::max(use.largest.accelerators,
             static_cast<std::uint32_t>(std::popcount(held.accelerators)));
  use.largest.cores = std::max(use.largest.cores, held.cores);
  use.largest.memory_mb = std::max(use.largest.memory_mb, held.memory_mb);
}

/// Largest jobs first, so that a small job does not take the only shape that
/// covers a large one.
std::vector<JobUse>
guaranteed_jobs(const Cell& cell)
{
  std::map<std::string_view, JobUse> by_job;
  for (const Allocation& held : cell.allocations) {
    if (held.guaranteed) {
      add_member(by_job[held.job], held);
    }
  }
  std::vector<JobUse> jobs;
  jobs.reserve(by_job.size());
  for (auto& [job, use] : by_job) {
    jobs.push_back(std::move(use));
  }
  std::stable_sort(
    jobs.begin(), jobs.end(), [](const JobUse& left, const JobUse& right) {
      return total_accelerators(left.largest) >
             total_accelerators(right.largest);
    });
  return jobs;
}

bool
within(const Cell& cell, const JobUse& use, Adjacency adjacency)
{
  const Server& first = cell.servers[use.members.front()->server];
  return std::all_of(
    use.members.begin(), use.members.end(), [&](const Allocation* held) {
      const Server& server = cell.servers[held->server];
      return adjacency >= Adjacency::Zone ||
             (adjacency == Adjacency::Rack && server.rack == first.rack) ||
             server.name == first.name;
    });
}

bool
fits_member(const Shape& held, const Shape& used)
{
  return held.accelerators >= used.accelerators && held.cores >= used.cores &&
         held.memory_mb >= used.memory_mb;
}

/// What matching a job to a guarantee wastes; lowest first. Nothing if it
/// cannot be matched.
using Mismatch =
  std::tuple<bool, bool, std::uint32_t, std::uint32_t, std::uint32_t>;

std::optional<Mismatch>
mismatch(const Cell& cell,
         const JobUse& use,
         const HomedGuarantee& guarantee,
         std::uint32_t unused)
{
  const Shape& shape = guarantee.shape;
  const std::uint64_t claimed_shape_key =
    use.members.front()->claimed_shape_key;
  if (claimed_shape_key != 0 && claimed_shape_key != shape_key(shape)) {
    return std::nullopt;
  }
  const bool any = shape.adjacency == Adjacency::Any;
  const std::uint32_t wanted = any ? use.largest.members : 1;
  if (guarantee.organisation != use.organisation || unused < wanted ||
      !fits_member(shape, use.largest) || shape.members < use.largest.members ||
      !within(cell, use, shape.adjacency)) {
    return std::nullopt;
  }
  const std::uint32_t members = any ? use.largest.members : shape.members;
  const std::uint32_t waste =
    members * shape.accelerators - total_accelerators(use.largest);
  return Mismatch{ waste > 0,
                   any,
                   waste,
                   shape.cores - use.largest.cores,
                   shape.memory_mb - use.largest.memory_mb };
}

void
add_residuals(GuaranteeUsage& usage,
              const JobUse& use,
              std::uint32_t index,
              const Shape& shape)
{
  for (const Allocation* held : use.members) {
    Shape rest = shape;
    rest.members = 0;
    rest.accelerators -=
      static_cast<std::uint32_t>(std::popcount(held->accelerators));
    rest.cores -= held->cores;
    rest.memory_mb -= held->memory_mb;
    if (rest.accelerators + rest.cores + rest.memory_mb > 0) {
      usage.residuals.push_back({ index, held->server, rest });
    }
  }
  const std::uint32_t used = use.largest.members;
  if (shape.adjacency != Adjacency::Any && used < shape.members) {
    Shape rest = shape;
    rest.members = shape.members - used;
    usage.residuals.push_back({ index, use.members.front()->server, rest });
  }
}

void
match(const Cell& cell,
      const JobUse& use,
      std::span<const HomedGuarantee> guarantees,
      GuaranteeUsage& usage)
{
  std::optional<Mismatch> best;
  std::uint32_t best_index = 0;
  for (std::uint32_t i = 0; i < guarantees.size(); ++i) {
    const std::optional<Mismatch> found =
      mismatch(cell, use, guarantees[i], usage.unused[i]);
    if (found && (!best || *found < *best)) {
      best = found;
      best_index = i;
    }
  }
  if (!best) {
    return; // The guarantee was withdrawn while the job runs.
  }
  const Shape& shape = guarantees[best_index].shape;
  usage.unused[best_index] -=
    shape.adjacency == Adjacency::Any ? use.largest.members : 1;
  add_residuals(usage, use, best_index, shape);
}

/// Takes the rest of a member's guaranteed resources, which need no slot.
bool
take_rest(Available& server, const Shape& rest, std::uint64_t preferred)
{
  server.slots += 1;
  if (members_on(server, rest) == 0) {
    server.slots -= 1;
    return false;
  }
  allocate_member(server, rest, preferred);
  return true;
}

std::vector<PackItem>
unused_items(std::span<const HomedGuarantee> guarantees,
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
  for (const Allocation& held : cell.allocations) {
    if (held.preemptible) {
      masks[held.server] |= held.accelerators;
    }
  }
  return masks;
}

Packing
pack_unused(const Cell& cell,
            std::span<const HomedGuarantee> guarantees,
            const GuaranteeUsage& usage)
{
  Capacity capacity = capacity_of(cell, CapacityBasis::FreeOrPreemptible);
  const std::vector<std::uint64_t> preferred = preemptible_masks(cell);
  std::vector<PackItem> items = unused_items(guarantees, usage);
  std::vector<std::uint32_t> failed;
  for (const Residual& rest : usage.residuals) {
    if (rest.shape.members > 0) {
      items.push_back({ rest.shape, rest.guarantee, rest.server });
    } else if (!take_rest(capacity.servers[rest.server],
                          rest.shape,
                          preferred[rest.server])) {
      failed.push_back(rest.guarantee);
    }
  }
  Packing packing = pack(capacity, std::move(items), preferred);
  packing.failed.insert(packing.failed.end(), failed.begin(), failed.end());
  return packing;
}

} // namespace

GuaranteeUsage
guarantee_usage_of(const Cell& cell, std::span<const HomedGuarantee> guarantees)
{
  GuaranteeUsage usage;
  usage.unused.reserve(guarantees.size());
  for (const HomedGuarantee& held : guarantees) {
    usage.unused.push_back(held.count);
  }
  for (const JobUse& use : guaranteed_jobs(cell)) {
    match(cell, use, guarantees, usage);
  }
  return usage;
}

tl::expected<Witness, WitnessError>
find_witness(const Cell& cell,
             std::span<const HomedGuarantee> guarantees,
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
find_witness(const Cell& cell, std::span<const HomedGuarantee> guarantees)
{
  return find_witness(cell, guarantees, guarantee_usage_of(cell, guarantees));
}

std::vector<std::uint32_t>
broken_guarantees(const Cell& cell, std::span<const HomedGuarantee> guarantees)
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
