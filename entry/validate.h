#pragma once

#include "gateway/unary.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <optional>
#include <string>

namespace geraniumhinge::entry {

/// The error of an invalid request message; empty if the message is valid. The
/// error names the field and the accepted range and has the outcome NOT_RUN.
using Fault = std::optional<gateway::CallError>;

/// Checks the ranges of a shape. A shape that could not run on any fleet gets
/// the error IMPOSSIBLE_SHAPE. `field` is the path of the shape.
Fault
validate(const v1::Shape& shape, const std::string& field);

Fault
validate(const v1::Limits& limits, const std::string& field);

/// Checks the name of an organisation or a caller.
Fault
validate_name(const std::string& name, const std::string& field);

/// Checks a new bearer token.
Fault
validate_token(const std::string& token, const std::string& field);

Fault
validate(const v1::GetConfigurationRequest& request);
Fault
validate(const v1::CreateOrganisationRequest& request);
Fault
validate(const v1::UpdateOrganisationRequest& request);
Fault
validate(const v1::DeleteOrganisationRequest& request);
Fault
validate(const v1::ListOrganisationsRequest& request);
Fault
validate(const v1::AssignCallerRequest& request);
Fault
validate(const v1::RemoveCallerRequest& request);
Fault
validate(const v1::SetGuaranteesRequest& request);
Fault
validate(const v1::SetLimitsRequest& request);
Fault
validate(const v1::ListBackendServersRequest& request);
Fault
validate(const v1::QuarantineBackendServerRequest& request);
Fault
validate(const v1::ReleaseBackendServerRequest& request);
Fault
validate(const v1::GetStatusRequest& request);

Fault
validate(const v1::SubmitJobRequest& request);
Fault
validate(const v1::GetJobRequest& request);
Fault
validate(const v1::WaitJobRequest& request);
Fault
validate(const v1::ListJobsRequest& request);
Fault
validate(const v1::CancelJobRequest& request);
Fault
validate(const v1::RunRequest& request);

} // namespace geraniumhinge::entry
