#pragma once

#include "core/place.h"

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumhinge::core::test {

/// Cells and the guarantees homed in each of them. Organisations are numbered
/// from 0.
struct Fleet
{
  std::vector<Cell> cells;
  std::vector<std::vector<CellGuarantee>> cell_guarantees;
  std::int64_t now_ms = 1'000'000;

  std::vector<CellState> states() const
  {
    std::vector<CellState> all;
    for (std::size_t i = 0; i < this->cells.size(); ++i) {
      all.push_back({ &this->cells[i], this->cell_guarantees[i] });
    }
    return all;
  }

  std::vector<const Cell*> pointers() const
  {
    std::vector<const Cell*> all;
    for (const Cell& cell : this->cells) {
      all.push_back(&cell);
    }
    return all;
  }

  void home(const std::vector<Guarantee>& guarantees)
  {
    for (std::size_t i = 0; i < this->cells.size(); ++i) {
      this->cell_guarantees[i] =
        guarantees_of_cell(this->cells[i].zone, guarantees);
    }
  }

  void commit(const Demand& demand, const Placement& placement)
  {
    for (std::uint32_t i = 0; i < placement.members.size(); ++i) {
      this->cells[placement.members[i].cell].allocations.push_back(
        allocation_of(demand, placement, i, 1, this->now_ms));
    }
  }

  void end(const std::vector<std::string>& jobs)
  {
    for (Cell& cell : this->cells) {
      release(cell, jobs);
    }
  }
};

/// A fleet with `sizes[i]` servers in cell i, `per_rack` servers in each rack
/// and `accelerators` on each server.
inline Fleet
make_fleet(const std::vector<std::uint32_t>& sizes,
           std::uint32_t per_rack,
           std::uint32_t accelerators)
{
  Fleet fleet;
  NameId name = 100;
  for (std::uint32_t i = 0; i < sizes.size(); ++i) {
    Cell cell;
    cell.zone = i + 1;
    for (std::uint32_t j = 0; j < sizes[i]; ++j) {
      cell.servers.push_back({ name++,
                               1000 * (i + 1) + j / per_rack,
                               cell.zone,
                               1,
                               accelerator_mask(accelerators),
                               8,
                               32,
                               128'000,
                               ServerState::Ready });
    }
    fleet.cells.push_back(std::move(cell));
  }
  fleet.cell_guarantees.resize(sizes.size());
  return fleet;
}

inline Demand
make_demand(const std::string& job, NameId organisation, const Shape& shape)
{
  Demand demand;
  demand.job = job;
  demand.organisation = organisation;
  demand.shape = shape;
  return demand;
}

} // namespace geraniumhinge::core::test
