// The hooks by which the parts of PlatformProgram reach each other.

#include "entry/platform_program.h"
#include "entry/row_budget.h"
#include "kernel/clock.h"

namespace geraniumhinge::entry {

WorkSchedulerHooks
PlatformProgram::scheduler_hooks()
{
  WorkSchedulerHooks hooks;
  hooks.operator_config = [this]() -> const core::OperatorConfig& {
    return this->operator_config;
  };
  hooks.may_send_orders = [this] { return this->may_send_orders(); };
  hooks.work_is_current = [this] { return this->work_is_current(); };
  hooks.evacuations_are_current = [this] {
    return this->evacuations_are_current();
  };
  hooks.send = [this](const std::string& address, v1::ServerOrders orders) {
    v1::Envelope envelope;
    *envelope.mutable_server_orders() = std::move(orders);
    this->node.send(address, std::move(envelope));
  };
  hooks.term_superseded = [this] { this->ownership.term_superseded(); };
  hooks.request_advice =
    [this](const std::vector<core::AdviceRequest>& advice_requests) {
      this->advice_requester.set_requests(advice_requests);
    };
  hooks.reload_rows = [this] {
    this->scheduler.end_term();
    this->read_work(this->ownership.term());
  };
  return hooks;
}

EndSharerHooks
PlatformProgram::end_sharer_hooks()
{
  EndSharerHooks hooks;
  hooks.store_wait_ms = [this] { return this->scheduler.store_wait_ms(); };
  hooks.send = [this](const v1::UnstoredEnds& message) {
    this->relay.broadcast(UNSTORED_ENDS_PATH, message.SerializeAsString());
  };
  return hooks;
}

OwnershipHooks
PlatformProgram::ownership_hooks()
{
  OwnershipHooks hooks;
  hooks.acquired = [this](std::uint64_t term) { this->start_term(term); };
  hooks.lost = [this] {
    this->read_timer.reset();
    this->scheduler.end_term();
  };
  hooks.heartbeat = [this]() -> const OwnerHeartbeat& {
    return this->view.heartbeat();
  };
  hooks.withhold_silent_agents = [this] {
    return this->servers.withhold_silent(this->view.nodes_with_runs(),
                                         kernel::boot_ms());
  };
  hooks.heartbeat_stored = [this](const std::vector<SilentAgent>& silent) {
    for (AgentView* agent : this->servers.release_withheld(silent))
      this->scheduler.send_orders(*agent);
  };
  hooks.watch_healthy_since_ms = [this] {
    return this->work_watcher.healthy_since_ms();
  };
  hooks.watch_confirmed_ms = [this] {
    return this->work_watcher.confirmed_ms();
  };
  return hooks;
}

CallerApiHooks
PlatformProgram::caller_hooks()
{
  CallerApiHooks hooks;
  hooks.operator_config = [this]() -> const core::OperatorConfig& {
    return this->operator_config;
  };
  hooks.data_is_current = [this] { return this->data_is_current(); };
  hooks.can_be_stored = [this](const core::Workflow& workflow) {
    return fits_rows(workflow, this->settings.max_row_bytes);
  };
  hooks.workflow_accepted = [this] { this->scheduler.schedule_decision(); };
  return hooks;
}

} // namespace geraniumhinge::entry
