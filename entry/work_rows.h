#pragma once

#include "core/workflow.h"
#include "platform/store.h"
#include "platform/tables.h"

#include <optional>
#include <string>

namespace geraniumhinge::entry {

enum class WorkRowKind
{
  Workflow,  ///< The submission, written once.
  Progress,  ///< Written by the owner only.
  Cancel,    ///< Exists once a caller has cancelled the workflow.
  Heartbeat, ///< The owner's heartbeat.
  Other,
};

struct WorkRowKey
{
  WorkRowKind kind = WorkRowKind::Other;
  std::string id; ///< Identifier of the workflow.
};

platform::RowName
work_row(WorkRowKind kind, const std::string& id);

WorkRowKey
parse_work_key(const std::string& key);

platform::RowName
owner_row();

std::string
encode_workflow(const core::Workflow& workflow);

std::optional<core::Workflow>
decode_workflow(const std::string& value);

std::string
encode_progress(const core::Progress& progress);

std::optional<core::Progress>
decode_progress(const std::string& value);

} // namespace geraniumhinge::entry
