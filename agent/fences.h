#pragma once

#include "geraniumhinge/v1/peer.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace geraniumhinge::agent {

/// Identifies a member on this agent.
struct MemberId
{
  std::string job;
  std::uint32_t generation = 0;
  std::uint32_t member = 0;

  bool operator<(const MemberId& other) const
  {
    return std::tie(this->job, this->generation, this->member) <
           std::tie(other.job, other.generation, other.member);
  }
};

MemberId
id_of(const v1::MemberKey& key);

/// How a member ended.
struct FinalState
{
  v1::MemberState state = v1::MEMBER_STATE_NEVER_STARTED;
  v1::Outcome outcome = v1::OUTCOME_NOT_RUN;
  v1::Reason reason = v1::REASON_UNSPECIFIED;
  std::string checkpoint_key;
};

/// Records which generations of each job are refused and how members ended.
/// Entries stay until the process ends, because a message may be arbitrarily
/// late; a backend server runs only some tens of jobs a day.
class Fences
{
public:
  /// Refuses this generation and every older one from now on.
  void refuse(const std::string& job, std::uint32_t generation);
  bool is_refused(const std::string& job, std::uint32_t generation) const;

  void record(const MemberId& id, FinalState final_state);
  /// Returns how a member ended, or null if it is active or was never here.
  const FinalState* find(const MemberId& id) const;

private:
  std::map<std::string, std::uint32_t> newest_refused;
  std::map<MemberId, FinalState> final_states;
};

} // namespace geraniumhinge::agent
