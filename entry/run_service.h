#pragma once

#include "entry/exclusive_run.h"
#include "entry/idempotent_run.h"
#include "entry/run_context.h"
#include "gateway/unary.h"

#include <map>
#include <memory>
#include <string>

namespace geraniumhinge::entry {

struct Principal;

/// Implements Run: applies the organisation's limit, then runs the request as
/// an idempotent or an exclusive one.
class RunService : public kernel::Task
{
public:
  using ResponseCallback =
    gateway::UnaryRouter::ResponseCallback<v1::RunResponse>;

  RunService(RunContext& context,
             std::function<const v1::Configuration&()> config);

  /// Runs a validated request of an organisation.
  void run(const std::string& organisation,
           const kernel::TraceContext& trace,
           v1::RunRequest request,
           ResponseCallback callback);

  /// Requests without a response, including those that joined a run.
  std::size_t in_flight() const { return this->total_in_flight; }
  /// Runs that have not ended, including those whose callers have a response.
  std::size_t open_runs() const
  {
    return this->idempotent.size() + this->exclusive.size();
  }

private:
  using ResultCallback =
    std::function<void(tl::expected<v1::RunResponse, gateway::CallError>)>;

  std::uint32_t request_limit(const std::string& organisation) const;
  /// Counts the request as in flight until the returned callback is called.
  ResultCallback count_in_flight(const std::string& organisation,
                                 ResponseCallback callback);
  void run_idempotent(const kernel::TraceContext& trace,
                      v1::RunRequest request,
                      ResultCallback respond);
  void run_exclusive(const std::string& organisation,
                     const kernel::TraceContext& trace,
                     v1::RunRequest request,
                     ResultCallback respond);

  RunContext& context;
  std::function<const v1::Configuration&()> config;
  std::size_t total_in_flight = 0;
  std::map<std::string, std::uint32_t> in_flight_by_organisation;
  std::uint64_t next_run = 0;
  std::map<std::uint64_t, std::unique_ptr<IdempotentRun>> idempotent;
  std::map<std::string, std::unique_ptr<ExclusiveRun>> exclusive; ///< By key.
};

} // namespace geraniumhinge::entry
