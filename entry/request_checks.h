#pragma once

#include "gateway/unary.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <optional>

namespace geraniumhinge::entry {

/// Checks of the callers' requests; nothing if the request is valid.
std::optional<gateway::CallError>
check(const v1::SubmitJobRequest& request);
std::optional<gateway::CallError>
check(const v1::RunRequest& request);
std::optional<gateway::CallError>
check(const v1::GetJobRequest& request);
std::optional<gateway::CallError>
check(const v1::WaitJobRequest& request);
std::optional<gateway::CallError>
check(const v1::ListJobsRequest& request);
std::optional<gateway::CallError>
check(const v1::CancelJobRequest& request);

} // namespace geraniumhinge::entry
