#include "entry/operator_api.h"

#include "entry/config_edit.h"
#include "entry/config_token.h"
#include "entry/operator_admission.h"

#include <utility>

namespace geraniumhinge::entry {

namespace {

using gateway::CallError;

tl::unexpected<CallError>
refusal(v1::ErrorKind kind, const std::string& field, std::string message)
{
  CallError error = gateway::call_error(kind, std::move(message));
  error.detail.set_field(field);
  error.detail.set_outcome(v1::OUTCOME_NOT_RUN);
  return tl::unexpected(error);
}

tl::unexpected<CallError>
unknown_organisation(const std::string& field, const std::string& name)
{
  return refusal(v1::ERROR_KIND_UNKNOWN_ORGANISATION,
                 field,
                 "there is no organisation " + name);
}

} // namespace

OperatorApi::OperatorApi(ConfigStore& config,
                         std::uint32_t spare_servers,
                         OperatorHooks hooks)
  : config(config)
  , spare_servers(spare_servers)
  , hooks(std::move(hooks))
{
}

void
OperatorApi::add_to(gateway::UnaryRouter& router)
{
  this->add_queries(router);
  this->add_organisation_changes(router);
  this->add_caller_changes(router);
  this->add_server_changes(router);
}

Fault
OperatorApi::check_operator(const std::string& token) const
{
  tl::expected<Principal, CallError> principal =
    this->config.authenticate(token);
  if (!principal)
    return principal.error();
  if (principal->is_operator)
    return std::nullopt;
  CallError error = gateway::call_error(v1::ERROR_KIND_PERMISSION_DENIED,
                                        "the method is for operators");
  error.detail.set_outcome(v1::OUTCOME_NOT_RUN);
  return error;
}

template<typename Request, typename Response>
void
OperatorApi::add_query(gateway::UnaryRouter& router,
                       const std::string& name,
                       std::function<Response(const Request&)> query)
{
  router.add<Request, Response>(name,
                                [this, query = std::move(query)](
                                  const gateway::CallContext& context,
                                  const Request& request,
                                  const ResponseCallback<Response>& respond) {
                                  Fault fault =
                                    this->check_operator(context.token);
                                  if (!fault)
                                    fault = validate(request);
                                  if (fault)
                                    respond(tl::unexpected(*fault));
                                  else
                                    respond(query(request));
                                });
}

template<typename Request>
void
OperatorApi::add_change(
  gateway::UnaryRouter& router,
  const std::string& name,
  std::function<Changed(const Request&, v1::Configuration&)> change)
{
  router.add<Request, v1::ConfigurationChange>(
    name,
    [this, change = std::move(change)](
      const gateway::CallContext& context,
      const Request& request,
      const ResponseCallback<v1::ConfigurationChange>& respond) {
      Fault fault = this->check_operator(context.token);
      if (!fault)
        fault = validate(request);
      if (fault) {
        respond(tl::unexpected(*fault));
        return;
      }
      this->config.change(
        request.base_version(),
        [change, request](v1::Configuration& configuration) {
          return change(request, configuration);
        },
        [respond](const tl::expected<std::uint64_t, CallError>& version) {
          if (!version) {
            respond(tl::unexpected(version.error()));
            return;
          }
          v1::ConfigurationChange changed;
          changed.set_version(*version);
          respond(changed);
        });
    });
}

void
OperatorApi::add_queries(gateway::UnaryRouter& router)
{
  this->add_query<v1::GetConfigurationRequest, v1::GetConfigurationResponse>(
    router, "GetConfiguration", [this](const v1::GetConfigurationRequest&) {
      v1::GetConfigurationResponse response;
      *response.mutable_configuration() = this->config.current();
      return response;
    });
  this->add_query<v1::ListOrganisationsRequest, v1::ListOrganisationsResponse>(
    router, "ListOrganisations", [this](const v1::ListOrganisationsRequest&) {
      v1::ListOrganisationsResponse response;
      response.set_version(this->config.current().version());
      *response.mutable_organisations() =
        this->config.current().organisations();
      return response;
    });
  this
    ->add_query<v1::ListBackendServersRequest, v1::ListBackendServersResponse>(
      router,
      "ListBackendServers",
      [this](const v1::ListBackendServersRequest& request) {
        return this->hooks.servers(request.zone());
      });
  this->add_query<v1::GetStatusRequest, v1::GetStatusResponse>(
    router, "GetStatus", [this](const v1::GetStatusRequest&) {
      return this->hooks.status();
    });
}

void
OperatorApi::add_organisation_changes(gateway::UnaryRouter& router)
{
  this->add_change<v1::CreateOrganisationRequest>(
    router,
    "CreateOrganisation",
    [this](const v1::CreateOrganisationRequest& request,
           v1::Configuration& configuration) {
      return this->create_organisation(request, configuration);
    });
  this->add_change<v1::UpdateOrganisationRequest>(
    router,
    "UpdateOrganisation",
    [this](const v1::UpdateOrganisationRequest& request,
           v1::Configuration& configuration) {
      return this->update_organisation(request, configuration);
    });
  this->add_change<v1::DeleteOrganisationRequest>(
    router,
    "DeleteOrganisation",
    [](const v1::DeleteOrganisationRequest& request,
       v1::Configuration& configuration) -> Changed {
      if (!find_organisation(configuration, request.name()))
        return unknown_organisation("name", request.name());
      if (has_callers(configuration, request.name()))
        return refusal(v1::ERROR_KIND_ORGANISATION_IN_USE,
                       "name",
                       "callers are assigned to the organisation");
      erase_organisation(configuration, request.name());
      return {};
    });
  this->add_change<v1::SetGuaranteesRequest>(
    router,
    "SetGuarantees",
    [this](const v1::SetGuaranteesRequest& request,
           v1::Configuration& configuration) {
      return this->set_guarantees(request, configuration);
    });
  this->add_change<v1::SetLimitsRequest>(
    router,
    "SetLimits",
    [](const v1::SetLimitsRequest& request,
       v1::Configuration& configuration) -> Changed {
      v1::Organisation* organisation =
        find_organisation(configuration, request.organisation());
      if (!organisation)
        return unknown_organisation("organisation", request.organisation());
      *organisation->mutable_limits() = request.limits();
      return {};
    });
}

void
OperatorApi::add_caller_changes(gateway::UnaryRouter& router)
{
  this->add_change<v1::AssignCallerRequest>(
    router,
    "AssignCaller",
    [this](const v1::AssignCallerRequest& request,
           v1::Configuration& configuration) {
      return this->assign_caller(request, configuration);
    });
  this->add_change<v1::RemoveCallerRequest>(
    router,
    "RemoveCaller",
    [](const v1::RemoveCallerRequest& request,
       v1::Configuration& configuration) -> Changed {
      if (erase_caller(configuration, request.caller()))
        return {};
      return tl::unexpected(
        gateway::invalid_field("caller", "a caller of the configuration"));
    });
}

void
OperatorApi::add_server_changes(gateway::UnaryRouter& router)
{
  this->add_change<v1::QuarantineBackendServerRequest>(
    router,
    "QuarantineBackendServer",
    [this](const v1::QuarantineBackendServerRequest& request,
           v1::Configuration& configuration) {
      return this->quarantine(request, configuration);
    });
  this->add_change<v1::ReleaseBackendServerRequest>(
    router,
    "ReleaseBackendServer",
    [](const v1::ReleaseBackendServerRequest& request,
       v1::Configuration& configuration) -> Changed {
      if (erase_quarantine(configuration, request.server()))
        return {};
      return refusal(v1::ERROR_KIND_UNKNOWN_SERVER,
                     "server",
                     "the backend server is not quarantined by an operator");
    });
}

OperatorApi::Changed
OperatorApi::create_organisation(const v1::CreateOrganisationRequest& request,
                                 v1::Configuration& configuration) const
{
  const v1::Organisation& organisation = request.organisation();
  if (find_organisation(configuration, organisation.name()))
    return refusal(v1::ERROR_KIND_ALREADY_EXISTS,
                   "organisation.name",
                   "there is an organisation " + organisation.name());
  v1::Organisation* added = configuration.add_organisations();
  added->set_name(organisation.name());
  *added->mutable_limits() = organisation.limits();
  if (!replace_guarantees(*added, organisation.guarantees()))
    return {};
  return this->admit(
    configuration, organisation.name(), "organisation.guarantees");
}

OperatorApi::Changed
OperatorApi::update_organisation(const v1::UpdateOrganisationRequest& request,
                                 v1::Configuration& configuration) const
{
  const v1::Organisation& requested = request.organisation();
  v1::Organisation* organisation =
    find_organisation(configuration, requested.name());
  if (!organisation)
    return unknown_organisation("organisation.name", requested.name());
  *organisation->mutable_limits() = requested.limits();
  if (!replace_guarantees(*organisation, requested.guarantees()))
    return {};
  return this->admit(
    configuration, requested.name(), "organisation.guarantees");
}

OperatorApi::Changed
OperatorApi::set_guarantees(const v1::SetGuaranteesRequest& request,
                            v1::Configuration& configuration) const
{
  v1::Organisation* organisation =
    find_organisation(configuration, request.organisation());
  if (!organisation)
    return unknown_organisation("organisation", request.organisation());
  if (!replace_guarantees(*organisation, request.guarantees()))
    return {};
  return this->admit(configuration, request.organisation(), "guarantees");
}

OperatorApi::Changed
OperatorApi::admit(v1::Configuration& configuration,
                   const std::string& organisation,
                   const std::string& field) const
{
  core::Names names;
  std::vector<core::Cell> fleet = this->hooks.fleet(names);
  return admit_configuration(
    configuration, organisation, field, names, fleet, this->spare_servers);
}

OperatorApi::Changed
OperatorApi::assign_caller(const v1::AssignCallerRequest& request,
                           v1::Configuration& configuration) const
{
  if (!find_organisation(configuration, request.organisation()))
    return unknown_organisation("organisation", request.organisation());
  v1::Caller* caller = find_caller(configuration, request.caller());
  if (request.token().empty()) {
    if (!caller)
      return tl::unexpected(
        gateway::invalid_field("token", "a token for a new caller"));
  } else {
    std::string digest = token_digest(request.token());
    tl::expected<Principal, CallError> token_owner =
      this->config.authenticate(request.token());
    bool is_operator = token_owner && token_owner->is_operator;
    if (is_operator ||
        is_token_of_other(configuration, request.caller(), digest))
      return refusal(v1::ERROR_KIND_ALREADY_EXISTS,
                     "token",
                     "the token is in use by someone else");
    if (!caller)
      caller = configuration.add_callers();
    caller->set_name(request.caller());
    caller->set_token_digest(digest);
  }
  caller->set_organisation(request.organisation());
  return {};
}

OperatorApi::Changed
OperatorApi::quarantine(const v1::QuarantineBackendServerRequest& request,
                        v1::Configuration& configuration) const
{
  v1::ListBackendServersResponse known = this->hooks.servers({});
  bool found = false;
  for (const v1::BackendServer& server : known.servers())
    found = found || server.name() == request.server();
  if (!found)
    return refusal(v1::ERROR_KIND_UNKNOWN_SERVER,
                   "server",
                   "there is no backend server " + request.server());
  add_quarantine(configuration, request.server());
  return {};
}

} // namespace geraniumhinge::entry
