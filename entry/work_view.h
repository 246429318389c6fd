#pragma once

#include "core/workflow.h"
#include "platform/store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace geraniumhinge::entry {

/// A workflow as the store's rows tell it.
struct WorkItem
{
  std::optional<core::Workflow> workflow; ///< Nothing before its row was seen.
  std::uint64_t workflow_version = 0;
  core::Progress progress;
  std::uint64_t progress_version = 0; ///< 0 before the owner wrote any.
  bool cancelled = false;
  std::uint64_t cancel_version = 0;
};

/// The rows of all workflows, kept up to date from the changes of the store.
/// Older rows never replace newer ones.
class WorkView
{
public:
  using Items = std::map<std::string, WorkItem>;

  /// Replaces everything.
  void load(const platform::RowPage& page);
  /// Applies changed and removed rows.
  void apply(const platform::RowPage& page);
  void apply(const platform::StoredRow& row);

  const WorkItem* find(const std::string& id) const;
  const Items& items() const { return this->all; }

  /// Version of the newest heartbeat row seen.
  std::uint64_t heartbeat_version() const { return this->newest_heartbeat; }

private:
  void remove(const platform::StoredRow& row);

  Items all;
  std::uint64_t newest_heartbeat = 0;
};

/// Workflows of a queue that were accepted and have not started, timed ones
/// left out.
std::uint64_t
count_waiting(const WorkView& view, const std::string& queue);

} // namespace geraniumhinge::entry
