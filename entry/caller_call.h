#pragma once

#include "entry/caller_api.h"

#include <cstddef>
#include <cstdint>
#include <string>

// Shared by the sources of CallerApi.

namespace geraniumhinge::entry {

/// A caller's request on its way to its response.
struct CallerApi::Call
{
  platform::CallerRequest request;
  platform::CallerRespond respond;
  std::string id;    ///< The workflow's, empty for the queue itself.
  std::string queue; ///< core::Queue::id
  std::string organisation;
  core::Workflow workflow; ///< The workflow to submit.
  platform::RowChange change;
  bool ambiguous = false; ///< The change was sent, with an unknown effect.
  std::size_t tries = 0;  ///< How often the change was sent.
  std::int64_t received_ms = 0;
};

} // namespace geraniumhinge::entry
