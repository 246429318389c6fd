#pragma once

#include "core/workflow.h"
#include "entry/server_table.h"
#include "kernel/task.h"
#include "kernel/timer.h"

#include "geraniumhinge/v1/peer.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Ends of runs that the owner has heard of and can't store, since the store
// does not serve it. If the owner and the machines of the runs are lost before
// the store serves again, only other entries know of these ends.

namespace geraniumhinge::entry {

struct EndSharerHooks
{
  /// For how long the owner has waited for the store to apply its last change;
  /// 0 if it does not wait, or is not the owner.
  std::function<std::int64_t()> store_wait_ms;
  /// Sends a message to all other entries. It may be lost.
  std::function<void(const v1::UnstoredEnds&)> send;
};

/// Tells the other entries of ends that the owner can't store, each end once.
class EndSharer
{
public:
  EndSharer(kernel::TimerService& timers,
            const ServerTable& servers,
            EndSharerHooks hooks);

private:
  void share();
  /// The ends of an agent's report that are neither stored nor shared.
  v1::ServerEnds take_new_ends(const AgentView& agent);

  /// Ends up to this number were shared.
  struct Shared
  {
    core::ServerInstance instance;
    std::uint64_t number = 0;
  };

  const ServerTable& servers;
  EndSharerHooks hooks;
  std::map<std::string, Shared> shared_by_node;
  kernel::Subscription timer;
};

/// Ends that other entries have shared, for the case that this entry becomes
/// the owner.
class SharedEnds
{
public:
  /// Adds the ends of a message. An end without a readable name is left out.
  void add(const v1::UnstoredEnds& message, std::int64_t now_ms);

  /// The end of this run, if it was shared.
  const v1::EndReport* find(const std::string& task,
                            const core::Run& run) const;

private:
  struct SharedEnd
  {
    core::ServerInstance instance;
    v1::EndReport end;
    std::int64_t received_ms = 0; ///< Boot time.
  };

  /// By task and attempt.
  using Ends = std::map<std::pair<std::string, std::uint32_t>, SharedEnd>;

  void drop_old(std::int64_t now_ms);

  Ends ends;
};

} // namespace geraniumhinge::entry
