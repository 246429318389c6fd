#include "entry/operator_admission.h"

#include "core/admit.h"

#include <fmt/format.h>

namespace geraniumhinge::entry {

namespace {

core::Adjacency
adjacency_of(v1::Adjacency adjacency)
{
  switch (adjacency) {
    case v1::ADJACENCY_SERVER:
      return core::Adjacency::Server;
    case v1::ADJACENCY_RACK:
      return core::Adjacency::Rack;
    case v1::ADJACENCY_ZONE:
      return core::Adjacency::Zone;
    default:
      return core::Adjacency::Any;
  }
}

core::Shape
shape_of(const v1::Shape& shape)
{
  core::Shape result;
  result.members = shape.members();
  result.accelerators = shape.accelerators();
  result.cores = shape.cores();
  result.memory_mb = shape.memory_mb();
  result.adjacency = adjacency_of(shape.adjacency());
  return result;
}

/// Returns all guarantees of a configuration, and appends the organisation of
/// each to `owners`.
std::vector<v1::Guarantee*>
all_guarantees(v1::Configuration& configuration,
               std::vector<const v1::Organisation*>& owners)
{
  std::vector<v1::Guarantee*> result;
  for (v1::Organisation& organisation :
       *configuration.mutable_organisations()) {
    for (v1::Guarantee& guarantee : *organisation.mutable_guarantees()) {
      result.push_back(&guarantee);
      owners.push_back(&organisation);
    }
  }
  return result;
}

core::Guarantee
to_core(core::Names& names,
        const v1::Organisation& owner,
        const v1::Guarantee& guarantee)
{
  core::Guarantee result;
  result.organisation = names.intern(owner.name());
  result.shape = shape_of(guarantee.shape());
  result.count = guarantee.count();
  for (const std::string& zone : guarantee.home_zones())
    result.homes.push_back(names.intern(zone));
  return result;
}

gateway::CallError
does_not_fit_error(const v1::Organisation& owner,
                   const v1::Guarantee& guarantee,
                   const std::string& organisation,
                   const std::string& field)
{
  const v1::Shape& shape = guarantee.shape();
  gateway::CallError error = gateway::call_error(
    v1::ERROR_KIND_GUARANTEE_DOES_NOT_FIT,
    fmt::format("the guarantee of {} x {} members with {} accelerators, {} "
                "cores and {} MB each ({}) of organisation {} does not pack "
                "together with the others and the spare capacity",
                guarantee.count(),
                shape.members(),
                shape.accelerators(),
                shape.cores(),
                shape.memory_mb(),
                v1::Adjacency_Name(shape.adjacency()),
                owner.name()));
  error.detail.set_field(field);
  if (owner.name() == organisation) {
    int index = 0;
    while (&owner.guarantees(index) != &guarantee)
      ++index;
    error.detail.set_field(fmt::format("{}[{}]", field, index));
  }
  error.detail.set_accepted("guarantees that pack on the fleet");
  error.detail.set_outcome(v1::OUTCOME_NOT_RUN);
  return error;
}

} // namespace

tl::expected<void, gateway::CallError>
admit_configuration(v1::Configuration& configuration,
                    const std::string& organisation,
                    const std::string& field,
                    core::Names& names,
                    const std::vector<core::Cell>& fleet,
                    std::uint32_t spare_servers)
{
  std::vector<const v1::Organisation*> owners;
  std::vector<v1::Guarantee*> guarantees =
    all_guarantees(configuration, owners);
  std::vector<core::Guarantee> requested;
  requested.reserve(guarantees.size());
  for (std::size_t i = 0; i < guarantees.size(); ++i)
    requested.push_back(to_core(names, *owners[i], *guarantees[i]));
  std::vector<const core::Cell*> cells;
  cells.reserve(fleet.size());
  for (const core::Cell& cell : fleet)
    cells.push_back(&cell);
  tl::expected<std::vector<core::Guarantee>, core::AdmitError> admitted =
    core::admit_guarantees(cells, requested, core::Spare{ spare_servers });
  if (!admitted) {
    std::size_t index = admitted.error().guarantee;
    return tl::unexpected(does_not_fit_error(
      *owners[index], *guarantees[index], organisation, field));
  }
  for (std::size_t i = 0; i < guarantees.size(); ++i) {
    guarantees[i]->clear_home_zones();
    for (core::NameId zone : (*admitted)[i].homes)
      guarantees[i]->add_home_zones(names.text(zone));
  }
  return {};
}

} // namespace geraniumhinge::entry
