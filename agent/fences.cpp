#include "agent/fences.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::agent {

MemberId
id_of(const v1::MemberKey& key)
{
  return { key.job(), key.generation(), key.member() };
}

void
Fences::refuse(const std::string& job, std::uint32_t generation)
{
  std::uint32_t& limit = this->newest_refused[job];
  limit = std::max(limit, generation);
}

bool
Fences::is_refused(const std::string& job, std::uint32_t generation) const
{
  std::map<std::string, std::uint32_t>::const_iterator found =
    this->newest_refused.find(job);
  return found != this->newest_refused.end() && generation <= found->second;
}

void
Fences::record(const MemberId& id, FinalState final_state)
{
  this->final_states[id] = std::move(final_state);
}

const FinalState*
Fences::find(const MemberId& id) const
{
  std::map<MemberId, FinalState>::const_iterator found =
    this->final_states.find(id);
  return found == this->final_states.end() ? nullptr : &found->second;
}

} // namespace geraniumhinge::agent
