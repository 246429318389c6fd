#pragma once

#include "platform/server_client.h"

namespace geraniumhinge::agent {

/// What the backend server's own response says about the instance that the
/// agent serves.
enum class InstanceState
{
  Alive,  ///< It answered.
  Ended,  ///< Another instance answered in its place, or nothing listens.
  Silent, ///< No answer: it may be paused, cut off or gone.
};

/// What the agent knows when an announcement names another instance than the
/// one that it serves.
struct InstanceFacts
{
  InstanceState current = InstanceState::Alive;
  /// Every lease that may have been granted to the current instance is over.
  bool leases_expired = false;
  /// The current instance followed another one and has never answered.
  bool is_unconfirmed = false;
  bool has_runs = true; ///< As far as known, of the current instance.
  /// The instances are of the service in the agent's settings.
  bool current_is_own_service = true;
  bool announced_is_own_service = true;
};

enum class InstanceVerdict
{
  Keep,    ///< Ignore the announcement.
  Wait,    ///< Ask the current instance again.
  Replace, ///< Serve the announced instance.
};

/// Decides whether the announced instance replaces the current one. An
/// announcement may come from another writer, so only the current instance's
/// own response, or the expiry of its leases, shows that it has ended.
InstanceVerdict
judge_announced_instance(const InstanceFacts& facts);

/// Whether the announcements agree on what does not change while an instance
/// lives: its service, zone and labels.
bool
same_description(const platform::Announcement& left,
                 const platform::Announcement& right);

/// Whether the sequence number is too far ahead of the last one to come from
/// the same server, which counts its announcements one by one.
bool
is_sequence_jump(std::uint64_t last, std::uint64_t announced);

/// Whether the announcement was overtaken by the last one. One that lies far
/// behind was not: the last number came from another writer.
bool
is_overtaken(std::uint64_t last, std::uint64_t announced);

} // namespace geraniumhinge::agent
