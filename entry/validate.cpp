#include "entry/validate.h"

#include <algorithm>
#include <fmt/format.h>
#include <initializer_list>

namespace geraniumhinge::entry {

namespace {

// Limits of the schema. All members of a shape on one backend server together
// must fit on the largest backend server that the schema can describe.
constexpr std::uint32_t MAX_MEMBERS = 128;
constexpr std::uint32_t MAX_ACCELERATORS = 64;
constexpr std::uint32_t MAX_CORES = 1'024;
constexpr std::uint32_t MAX_MEMORY_MB = 4'194'304;
constexpr std::uint32_t MAX_GUARANTEE_COUNT = 1'024;
constexpr int MAX_GUARANTEES = 64;
constexpr std::uint32_t MAX_QUEUED_JOBS = 100'000;
constexpr std::uint32_t MAX_RUNNING_ACCELERATORS = 1'000'000;
constexpr std::uint32_t MAX_CONCURRENT_REQUESTS = 10'000;
constexpr std::uint32_t MAX_WEIGHT = 1'000;
constexpr std::uint32_t MAX_RUN_TIME_S = 31'536'000;
constexpr std::uint32_t MAX_WAIT_MS = 600'000;
constexpr std::uint32_t MAX_RUN_MS = 60'000;
constexpr std::uint32_t MAX_PAGE_SIZE = 1'000;
constexpr std::size_t MAX_INLINE_BYTES = 64UL * 1'024;
constexpr std::size_t MAX_NAME_LENGTH = 63;
constexpr std::size_t MAX_SERVER_NAME_LENGTH = 128;
constexpr std::size_t MAX_REQUEST_ID_LENGTH = 128;
constexpr std::size_t MAX_JOB_ID_LENGTH = 128;
constexpr std::size_t MAX_JOB_CLASS_LENGTH = 128;
constexpr std::size_t MAX_OBJECT_KEY_LENGTH = 512;
constexpr std::size_t MAX_PAGE_TOKEN_LENGTH = 256;
constexpr std::size_t MIN_TOKEN_LENGTH = 16;
constexpr std::size_t MAX_TOKEN_LENGTH = 512;

Fault
invalid_field(const std::string& field, const std::string& accepted)
{
  gateway::CallError error = gateway::invalid_field(field, accepted);
  error.detail.set_outcome(v1::OUTCOME_NOT_RUN);
  return error;
}

Fault
validate_range(const std::string& field,
               std::uint32_t value,
               std::uint32_t min,
               std::uint32_t max)
{
  if (value >= min && value <= max)
    return std::nullopt;
  return invalid_field(field, fmt::format("{} to {}", min, max));
}

bool
is_printable(const std::string& text)
{
  return std::all_of(
    text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

/// Checks that a text is printable ASCII without spaces, of a given length.
Fault
validate_printable(const std::string& field,
                   const std::string& text,
                   std::size_t min,
                   std::size_t max)
{
  if (text.size() >= min && text.size() <= max && is_printable(text))
    return std::nullopt;
  return invalid_field(
    field,
    fmt::format("{} to {} printable characters without spaces", min, max));
}

Fault
first_fault(std::initializer_list<Fault> faults)
{
  for (const Fault& fault : faults) {
    if (fault)
      return fault;
  }
  return std::nullopt;
}

bool
is_object_key(const std::string& key)
{
  return !key.empty() && key.size() <= MAX_OBJECT_KEY_LENGTH &&
         std::all_of(key.begin(), key.end(), [](unsigned char c) {
           return std::isalnum(c) || c == '/' || c == '-' || c == '_' ||
                  c == '.';
         });
}

Fault
validate_payload(const v1::Payload& payload, const std::string& field)
{
  if (payload.has_object_key() && !is_object_key(payload.object_key()))
    return invalid_field(field + ".object_key",
                         "1 to 512 letters, digits or characters of /-_.");
  if (payload.inline_().size() > MAX_INLINE_BYTES)
    return invalid_field(field + ".inline", "at most 65536 bytes");
  return std::nullopt;
}

Fault
impossible_shape(const std::string& field, const std::string& accepted)
{
  gateway::CallError error =
    gateway::call_error(v1::ERROR_KIND_IMPOSSIBLE_SHAPE,
                        field + " fits no fleet: accepted is " + accepted);
  error.detail.set_field(field);
  error.detail.set_accepted(accepted);
  error.detail.set_outcome(v1::OUTCOME_NOT_RUN);
  return error;
}

/// All members of an ADJACENCY_SERVER shape share one backend server.
Fault
validate_on_server(const v1::Shape& shape, const std::string& field)
{
  std::uint64_t members = shape.members();
  if (members * shape.accelerators() > MAX_ACCELERATORS)
    return impossible_shape(field,
                            "at most 64 accelerators on one backend server");
  if (members * shape.cores() > MAX_CORES)
    return impossible_shape(field, "at most 1024 cores on one backend server");
  if (members * shape.memory_mb() > MAX_MEMORY_MB)
    return impossible_shape(field, "at most 4194304 MB on one backend server");
  return std::nullopt;
}

Fault
validate_guarantees(
  const google::protobuf::RepeatedPtrField<v1::Guarantee>& guarantees,
  const std::string& field)
{
  if (guarantees.size() > MAX_GUARANTEES)
    return invalid_field(field, "at most 64 guarantees");
  for (int i = 0; i < guarantees.size(); ++i) {
    std::string path = fmt::format("{}[{}]", field, i);
    Fault fault = first_fault(
      { validate(guarantees[i].shape(), path + ".shape"),
        validate_range(
          path + ".count", guarantees[i].count(), 1, MAX_GUARANTEE_COUNT) });
    if (fault)
      return fault;
  }
  return std::nullopt;
}

Fault
validate_organisation(const v1::Organisation& organisation)
{
  return first_fault({ validate_name(organisation.name(), "organisation.name"),
                       validate(organisation.limits(), "organisation.limits"),
                       validate_guarantees(organisation.guarantees(),
                                           "organisation.guarantees") });
}

Fault
validate_job_id(const std::string& id)
{
  return validate_printable("id", id, 1, MAX_JOB_ID_LENGTH);
}

} // namespace

Fault
validate(const v1::Shape& shape, const std::string& field)
{
  Fault fault = first_fault(
    { validate_range(field + ".members", shape.members(), 1, MAX_MEMBERS),
      validate_range(
        field + ".accelerators", shape.accelerators(), 0, MAX_ACCELERATORS),
      validate_range(field + ".cores", shape.cores(), 0, MAX_CORES),
      validate_range(
        field + ".memory_mb", shape.memory_mb(), 0, MAX_MEMORY_MB) });
  if (fault)
    return fault;
  if (!v1::Adjacency_IsValid(shape.adjacency()))
    return invalid_field(field + ".adjacency", "a value of Adjacency");
  if (shape.adjacency() == v1::ADJACENCY_SERVER)
    return validate_on_server(shape, field);
  return std::nullopt;
}

Fault
validate(const v1::Limits& limits, const std::string& field)
{
  return first_fault(
    { validate_range(field + ".max_queued_jobs",
                     limits.max_queued_jobs(),
                     1,
                     MAX_QUEUED_JOBS),
      validate_range(field + ".max_running_accelerators",
                     limits.max_running_accelerators(),
                     0,
                     MAX_RUNNING_ACCELERATORS),
      validate_range(field + ".max_concurrent_requests",
                     limits.max_concurrent_requests(),
                     1,
                     MAX_CONCURRENT_REQUESTS),
      validate_range(field + ".weight", limits.weight(), 1, MAX_WEIGHT) });
}

Fault
validate_name(const std::string& name, const std::string& field)
{
  bool valid =
    !name.empty() && name.size() <= MAX_NAME_LENGTH && name[0] >= 'a' &&
    name[0] <= 'z' && std::all_of(name.begin(), name.end(), [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    });
  if (valid)
    return std::nullopt;
  return invalid_field(field, "[a-z][a-z0-9-]{0,62}");
}

Fault
validate_token(const std::string& token, const std::string& field)
{
  return validate_printable(field, token, MIN_TOKEN_LENGTH, MAX_TOKEN_LENGTH);
}

Fault
validate(const v1::GetConfigurationRequest&)
{
  return std::nullopt;
}

Fault
validate(const v1::CreateOrganisationRequest& request)
{
  return validate_organisation(request.organisation());
}

Fault
validate(const v1::UpdateOrganisationRequest& request)
{
  return validate_organisation(request.organisation());
}

Fault
validate(const v1::DeleteOrganisationRequest& request)
{
  return validate_name(request.name(), "name");
}

Fault
validate(const v1::ListOrganisationsRequest&)
{
  return std::nullopt;
}

Fault
validate(const v1::AssignCallerRequest& request)
{
  // A caller that is reassigned keeps its token if none is given.
  return first_fault({ validate_name(request.caller(), "caller"),
                       validate_name(request.organisation(), "organisation"),
                       request.token().empty()
                         ? Fault()
                         : validate_token(request.token(), "token") });
}

Fault
validate(const v1::RemoveCallerRequest& request)
{
  return validate_name(request.caller(), "caller");
}

Fault
validate(const v1::SetGuaranteesRequest& request)
{
  return first_fault(
    { validate_name(request.organisation(), "organisation"),
      validate_guarantees(request.guarantees(), "guarantees") });
}

Fault
validate(const v1::SetLimitsRequest& request)
{
  return first_fault({ validate_name(request.organisation(), "organisation"),
                       validate(request.limits(), "limits") });
}

Fault
validate(const v1::ListBackendServersRequest& request)
{
  return validate_printable("zone", request.zone(), 0, MAX_SERVER_NAME_LENGTH);
}

Fault
validate(const v1::QuarantineBackendServerRequest& request)
{
  return validate_printable(
    "server", request.server(), 1, MAX_SERVER_NAME_LENGTH);
}

Fault
validate(const v1::ReleaseBackendServerRequest& request)
{
  return validate_printable(
    "server", request.server(), 1, MAX_SERVER_NAME_LENGTH);
}

Fault
validate(const v1::GetStatusRequest&)
{
  return std::nullopt;
}

Fault
validate(const v1::SubmitJobRequest& request)
{
  const v1::JobSpec& spec = request.spec();
  return first_fault(
    { validate_printable(
        "request_id", request.request_id(), 1, MAX_REQUEST_ID_LENGTH),
      validate(spec.shape(), "spec.shape"),
      validate_payload(spec.input(), "spec.input"),
      validate_range("spec.declared_run_time_s",
                     spec.declared_run_time_s(),
                     0,
                     MAX_RUN_TIME_S),
      validate_printable(
        "spec.job_class", spec.job_class(), 0, MAX_JOB_CLASS_LENGTH) });
}

Fault
validate(const v1::GetJobRequest& request)
{
  return validate_job_id(request.id());
}

Fault
validate(const v1::WaitJobRequest& request)
{
  return first_fault(
    { validate_job_id(request.id()),
      validate_range("timeout_ms", request.timeout_ms(), 1, MAX_WAIT_MS) });
}

Fault
validate(const v1::ListJobsRequest& request)
{
  return first_fault(
    { validate_range("page_size", request.page_size(), 0, MAX_PAGE_SIZE),
      validate_printable(
        "page_token", request.page_token(), 0, MAX_PAGE_TOKEN_LENGTH) });
}

Fault
validate(const v1::CancelJobRequest& request)
{
  return validate_job_id(request.id());
}

Fault
validate(const v1::RunRequest& request)
{
  Fault fault = first_fault(
    { validate_printable(
        "request_id", request.request_id(), 1, MAX_REQUEST_ID_LENGTH),
      validate_range("timeout_ms", request.timeout_ms(), 1, MAX_RUN_MS) });
  if (!fault && request.input().size() > MAX_INLINE_BYTES)
    fault = invalid_field("input", "at most 65536 bytes");
  return fault;
}

} // namespace geraniumhinge::entry
