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

/// Serves Run: limits of the organisation, then one of the two kinds of run.
class Router : public kernel::Task
{
public:
  using ResponseCallback =
    gateway::UnaryRouter::ResponseCallback<v1::RunResponse>;

  Router(RunContext& context, std::function<const v1::Configuration&()> config);

  /// Runs a request that was checked, for an organisation.
  void run(const std::string& organisation,
           const kernel::TraceContext& trace,
           v1::RunRequest request,
           ResponseCallback answer);

  /// Short requests in flight, joined ones included.
  std::size_t in_flight() const { return this->total; }
  /// Runs that are not settled, also when their callers have an answer.
  std::size_t open_runs() const
  {
    return this->idempotent.size() + this->exclusive.size();
  }

private:
  using Respond =
    std::function<void(tl::expected<v1::RunResponse, gateway::CallError>)>;

  std::uint32_t limit_of(const std::string& organisation) const;
  /// Counts the request until its answer is given.
  Respond count_in_flight(const std::string& organisation,
                          ResponseCallback answer);
  void run_idempotent(const kernel::TraceContext& trace,
                      v1::RunRequest request,
                      Respond respond);
  void run_exclusive(const std::string& organisation,
                     const kernel::TraceContext& trace,
                     v1::RunRequest request,
                     Respond respond);

  RunContext& context;
  std::function<const v1::Configuration&()> config;
  std::size_t total = 0;
  std::map<std::string, std::uint32_t> used;
  std::uint64_t next_run = 0;
  std::map<std::uint64_t, std::unique_ptr<IdempotentRun>> idempotent;
  std::map<std::string, std::unique_ptr<ExclusiveRun>> exclusive; ///< By key.
};

} // namespace geraniumhinge::entry
