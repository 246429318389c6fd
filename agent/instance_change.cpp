#include "agent/instance_change.h"

namespace geraniumhinge::agent {

InstanceVerdict
judge_announced_instance(const InstanceFacts& facts)
{
  bool prefers_announced =
    facts.announced_is_own_service && !facts.current_is_own_service;
  if (prefers_announced && !facts.has_runs)
    return InstanceVerdict::Replace;
  switch (facts.current) {
    case InstanceState::Alive:
      return InstanceVerdict::Keep;
    case InstanceState::Ended:
      return InstanceVerdict::Replace;
    case InstanceState::Silent:
      break;
  }
  return facts.leases_expired || facts.is_unconfirmed ? InstanceVerdict::Replace
                                                      : InstanceVerdict::Wait;
}

} // namespace geraniumhinge::agent
