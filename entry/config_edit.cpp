#include "entry/config_edit.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

/// Erases the first element for which `matches` holds.
template<typename Field, typename Matches>
bool
erase_first(Field& field, Matches matches)
{
  typename Field::iterator found =
    std::find_if(field.begin(), field.end(), matches);
  if (found == field.end())
    return false;
  field.erase(found);
  return true;
}

v1::Adjacency
adjacency_of(const v1::Shape& shape)
{
  return shape.adjacency() == v1::ADJACENCY_UNSPECIFIED ? v1::ADJACENCY_ANY
                                                        : shape.adjacency();
}

bool
same_guarantee(const v1::Guarantee& a, const v1::Guarantee& b)
{
  return a.count() == b.count() && a.shape().members() == b.shape().members() &&
         a.shape().accelerators() == b.shape().accelerators() &&
         a.shape().cores() == b.shape().cores() &&
         a.shape().memory_mb() == b.shape().memory_mb() &&
         adjacency_of(a.shape()) == adjacency_of(b.shape());
}

/// Copies the home zones of an equal guarantee out of `unmatched` and removes
/// it there, so that each earlier guarantee is used once.
bool
reuse_home_zones(v1::Guarantee& guarantee,
                 std::vector<v1::Guarantee>& unmatched)
{
  std::vector<v1::Guarantee>::iterator match = std::find_if(
    unmatched.begin(), unmatched.end(), [&](const v1::Guarantee& candidate) {
      return same_guarantee(candidate, guarantee);
    });
  if (match == unmatched.end())
    return false;
  *guarantee.mutable_home_zones() = match->home_zones();
  unmatched.erase(match);
  return true;
}

} // namespace

v1::Organisation*
find_organisation(v1::Configuration& configuration, const std::string& name)
{
  for (v1::Organisation& item : *configuration.mutable_organisations()) {
    if (item.name() == name)
      return &item;
  }
  return nullptr;
}

v1::Caller*
find_caller(v1::Configuration& configuration, const std::string& name)
{
  for (v1::Caller& item : *configuration.mutable_callers()) {
    if (item.name() == name)
      return &item;
  }
  return nullptr;
}

bool
has_callers(const v1::Configuration& configuration,
            const std::string& organisation)
{
  return std::any_of(configuration.callers().begin(),
                     configuration.callers().end(),
                     [&](const v1::Caller& caller) {
                       return caller.organisation() == organisation;
                     });
}

bool
is_token_of_other(const v1::Configuration& configuration,
                  const std::string& caller,
                  const std::string& digest)
{
  return std::any_of(configuration.callers().begin(),
                     configuration.callers().end(),
                     [&](const v1::Caller& item) {
                       return item.name() != caller &&
                              item.token_digest() == digest;
                     });
}

void
erase_organisation(v1::Configuration& configuration, const std::string& name)
{
  erase_first(
    *configuration.mutable_organisations(),
    [&](const v1::Organisation& item) { return item.name() == name; });
}

bool
erase_caller(v1::Configuration& configuration, const std::string& name)
{
  return erase_first(
    *configuration.mutable_callers(),
    [&](const v1::Caller& item) { return item.name() == name; });
}

void
add_quarantine(v1::Configuration& configuration, const std::string& server)
{
  erase_quarantine(configuration, server);
  configuration.add_quarantined_servers(server);
}

bool
erase_quarantine(v1::Configuration& configuration, const std::string& server)
{
  return erase_first(*configuration.mutable_quarantined_servers(),
                     [&](const std::string& item) { return item == server; });
}

bool
replace_guarantees(
  v1::Organisation& organisation,
  const google::protobuf::RepeatedPtrField<v1::Guarantee>& guarantees)
{
  std::vector<v1::Guarantee> unmatched(organisation.guarantees().begin(),
                                       organisation.guarantees().end());
  bool needs_admission = false;
  organisation.clear_guarantees();
  for (const v1::Guarantee& requested : guarantees) {
    v1::Guarantee* added = organisation.add_guarantees();
    *added = requested;
    added->mutable_shape()->set_adjacency(adjacency_of(requested.shape()));
    added->clear_home_zones();
    needs_admission = !reuse_home_zones(*added, unmatched) || needs_admission;
  }
  return needs_admission;
}

} // namespace geraniumhinge::entry
