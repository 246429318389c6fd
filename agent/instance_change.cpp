#include "agent/instance_change.h"

namespace geraniumhinge::agent {

namespace {

/// More announcements than a server sends while the agent is out of reach.
constexpr std::uint64_t MAX_SEQUENCE_STEP = 10'000;

} // namespace

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

bool
same_description(const platform::Announcement& left,
                 const platform::Announcement& right)
{
  return left.service == right.service && left.zone == right.zone &&
         left.labels == right.labels;
}

bool
is_sequence_jump(std::uint64_t last, std::uint64_t announced)
{
  return announced > last && announced - last > MAX_SEQUENCE_STEP;
}

bool
is_overtaken(std::uint64_t last, std::uint64_t announced)
{
  return announced < last && last - announced <= MAX_SEQUENCE_STEP;
}

} // namespace geraniumhinge::agent
