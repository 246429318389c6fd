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

/// Functions of the rest of the entry that the operators' methods call.
struct OperatorHooks
{
  /// The fleet by this entry's copies of the cell rows; names are interned in
  /// the argument.
  std::function<std::vector<core::Cell>(core::Names&)> fleet;
  /// Backend servers of a zone, or of all zones if `zone` is empty.
  std::function<v1::ListBackendServersResponse(const std::string& zone)>
    servers;
  std::function<v1::GetStatusResponse()> status;
};

/// The operators' methods of the schema. Only operators may call them. Every
/// change names the version that it is based on and is committed by
/// compare-and-set after validation.
class OperatorApi
{
public:
  /// An accepted guarantee still holds when `spare_servers` backend servers of
  /// each zone are lost.
  OperatorApi(ConfigStore& config,
              std::uint32_t spare_servers,
              OperatorHooks hooks);

  void add_to(gateway::UnaryRouter& router);

private:
  template<typename Response>
  using ResponseCallback = gateway::UnaryRouter::ResponseCallback<Response>;
  using Changed = tl::expected<void, gateway::CallError>;

  /// Adds a method that only reads and responds at once.
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

  /// Returns an error unless the token is an operator's.
  Fault check_operator(const std::string& token) const;
  /// Assigns home zones to the guarantees; an error if they do not fit.
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
