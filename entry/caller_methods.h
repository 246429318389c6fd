#pragma once

#include "entry/config_store.h"
#include "entry/jobs.h"
#include "entry/run_service.h"
#include "gateway/unary.h"

#include <functional>

namespace geraniumhinge::entry {

/// Adds the callers' methods to a unary router. Each method first checks that
/// this entry is ready, who the caller is, and that the request is valid.
class CallerMethods
{
public:
  CallerMethods(ConfigStore& config,
                JobApi& jobs,
                RunService& run_service,
                std::function<bool()> ready);

  void add_to(gateway::UnaryRouter& unary);

private:
  template<typename Response>
  using ResponseCallback = gateway::UnaryRouter::ResponseCallback<Response>;

  /// Adds a method for callers of an organisation; `handler` runs after the
  /// checks.
  template<typename Request, typename Response>
  void add(gateway::UnaryRouter& unary,
           const std::string& name,
           std::function<void(const Principal&,
                              const kernel::TraceContext&,
                              Request,
                              ResponseCallback<Response>)> handler);
  tl::expected<Principal, gateway::CallError> authenticate_caller(
    const std::string& token) const;

  ConfigStore& config;
  JobApi& jobs;
  RunService& run_service;
  std::function<bool()> ready;
};

} // namespace geraniumhinge::entry
