#include "entry/request_checks.h"

#include "core/shape.h"

#include <algorithm>
#include <fmt/format.h>

namespace geraniumhinge::entry {

namespace {

using Fault = std::optional<gateway::CallError>;

constexpr std::size_t MAX_REQUEST_ID = 128;
constexpr std::size_t MAX_INLINE_BYTES = 64UL * 1'024;
constexpr std::uint32_t MAX_WAIT_MS = 600'000;
constexpr std::uint32_t MAX_RUN_MS = 60'000;
constexpr std::uint32_t MAX_CORES = 1'024;
constexpr std::uint32_t MAX_MEMORY_MB = 4'194'304;

Fault
invalid(const std::string& field, const std::string& accepted)
{
  gateway::CallError error = gateway::invalid_field(field, accepted);
  error.detail.set_outcome(v1::OUTCOME_NOT_RUN);
  return error;
}

Fault
check_range(const std::string& field,
            std::uint32_t value,
            std::uint32_t min,
            std::uint32_t max)
{
  if (value >= min && value <= max)
    return std::nullopt;
  return invalid(field, fmt::format("{} to {}", min, max));
}

Fault
check_request_id(const std::string& id)
{
  bool printable = std::all_of(
    id.begin(), id.end(), [](char c) { return c > ' ' && c <= '~'; });
  if (!id.empty() && id.size() <= MAX_REQUEST_ID && printable)
    return std::nullopt;
  return invalid("request_id", "1 to 128 printable characters without spaces");
}

Fault
check_id(const std::string& id)
{
  if (!id.empty())
    return std::nullopt;
  return invalid("id", "the id of a job");
}

Fault
check_shape(const v1::Shape& shape)
{
  Fault fault =
    check_range("spec.shape.members", shape.members(), 1, core::MAX_MEMBERS);
  if (!fault)
    fault = check_range("spec.shape.accelerators",
                        shape.accelerators(),
                        0,
                        core::MAX_ACCELERATORS);
  if (!fault)
    fault = check_range("spec.shape.cores", shape.cores(), 0, MAX_CORES);
  if (!fault)
    fault =
      check_range("spec.shape.memory_mb", shape.memory_mb(), 0, MAX_MEMORY_MB);
  if (!fault && !v1::Adjacency_IsValid(shape.adjacency()))
    fault = invalid("spec.shape.adjacency", "a value of Adjacency");
  return fault;
}

} // namespace

Fault
check(const v1::SubmitJobRequest& request)
{
  Fault fault = check_request_id(request.request_id());
  if (!fault && !request.has_spec())
    fault = invalid("spec", "a job specification");
  if (!fault)
    fault = check_shape(request.spec().shape());
  if (!fault && request.spec().input().inline_().size() > MAX_INLINE_BYTES)
    fault = invalid("spec.input.inline", "up to 65536 bytes");
  return fault;
}

Fault
check(const v1::RunRequest& request)
{
  Fault fault = check_request_id(request.request_id());
  if (!fault && request.input().size() > MAX_INLINE_BYTES)
    fault = invalid("input", "up to 65536 bytes");
  if (!fault)
    fault = check_range("timeout_ms", request.timeout_ms(), 1, MAX_RUN_MS);
  return fault;
}

Fault
check(const v1::GetJobRequest& request)
{
  return check_id(request.id());
}

Fault
check(const v1::WaitJobRequest& request)
{
  Fault fault = check_id(request.id());
  if (!fault)
    fault = check_range("timeout_ms", request.timeout_ms(), 1, MAX_WAIT_MS);
  return fault;
}

Fault
check(const v1::ListJobsRequest& request)
{
  if (request.page_size() > 1'000)
    return invalid("page_size", "0 to 1000");
  return std::nullopt;
}

Fault
check(const v1::CancelJobRequest& request)
{
  return check_id(request.id());
}

} // namespace geraniumhinge::entry
