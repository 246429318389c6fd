#pragma once

#include "core/cell.h"
#include "core/names.h"
#include "entry/config_store.h"
#include "entry/validate.h"
#include "gateway/unary.h"
#include "kernel/log.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// What the operators' methods need of the rest of the entry.
struct OperatorHooks
{
  /// The fleet as this entry knows it, with names interned in the argument.
  std::function<std::vector<core::Cell>(core::Names&)> fleet;
  /// Backend servers of a zone, of all zones if it is empty.
  std::function<v1::ListBackendServersResponse(const std::string& zone)>
    servers;
  std::function<v1::GetStatusResponse()> status;
};

/// The operators' methods of the schema. Only operators may call them. Every
/// change is validated, based on a version, and made by compare-and-set.
class OperatorApi
{
public:
  /// `spare_servers` backend servers of each zone may be lost without breaking
  /// a guarantee that is accepted here.
  OperatorApi(ConfigStore& config,
              std::uint32_t spare_servers,
              OperatorHooks hooks);

  void add_to(gateway::UnaryRouter& router);

private:
  template<typename Response>
  using ResponseCallback = gateway::UnaryRouter::ResponseCallback<Response>;
  using Changed = tl::expected<void, gateway::CallError>;

  /// Adds a method that answers at once.
  template<typename Request, typename Response>
  void add_query(gateway::UnaryRouter& router,
                 const std::string& name,
                 std::function<Response(const Request&)> query);
  /// Adds a method that changes the configuration.
  template<typename Request>
  void add_change(
    gateway::UnaryRouter& router,
    const std::string& name,
    std::function<Changed(const Request&, v1::Configuration&)> change);
  void add_queries(gateway::UnaryRouter& router);
  void add_organisation_changes(gateway::UnaryRouter& router);
  void add_caller_changes(gateway::UnaryRouter& router);
  void add_server_changes(gateway::UnaryRouter& router);

  /// The fault of a call that is not an operator's.
  Fault refuse(const std::string& token) const;
  Changed admit(v1::Configuration& configuration,
                const std::string& organisation,
                const std::string& field) const;
  Changed create_organisation(const v1::CreateOrganisationRequest& request,
                              v1::Configuration& configuration) const;
  Changed update_organisation(const v1::UpdateOrganisationRequest& request,
                              v1::Configuration& configuration) const;
  Changed set_guarantees(const v1::SetGuaranteesRequest& request,
                         v1::Configuration& configuration) const;
  Changed assign_caller(const v1::AssignCallerRequest& request,
                        v1::Configuration& configuration) const;
  Changed quarantine(const v1::QuarantineBackendServerRequest& request,
                     v1::Configuration& configuration) const;

  ConfigStore& config;
  std::uint32_t spare_servers;
  OperatorHooks hooks;
};

} // namespace geraniumhinge::entry
