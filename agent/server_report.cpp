// The part of ServerAgent that builds the reports to the owner.

#include "agent/server_agent.h"

#include "kernel/clock.h"

#include <algorithm>

namespace geraniumhinge::agent {

namespace {

/// Longer checkpoints are left out, and their tasks start without them. A
/// report with all ends that a server lists at once must not exceed the longest
/// message of the peer protocol.
constexpr std::size_t MAX_CHECKPOINT_BYTES = 8'192;

void
add_crash(const core::ServerCrash& crash, v1::ServerReport& report)
{
  v1::CrashReport& row = *report.add_crashes();
  row.mutable_life()->set_id(crash.instance.id);
  row.mutable_life()->set_born_ms(crash.instance.started_ms);
  for (const core::CrashedRun& run : crash.runs) {
    v1::CrashedRun& item = *row.add_runs();
    item.set_task(run.task);
    item.set_attempt(run.attempt);
    item.set_ran_ms(run.ran_ms);
  }
}

} // namespace

std::string
ServerAgent::reported_checkpoint(const std::string& checkpoint)
{
  if (checkpoint.size() <= MAX_CHECKPOINT_BYTES)
    return checkpoint;
  this->metrics.counter("agent_checkpoints_left_out_total").add();
  return {};
}

v1::ServerReport
ServerAgent::report()
{
  v1::ServerReport report;
  report.set_sequence(this->reports.record(
    kernel::boot_ms(), this->options.orphan_timeout.count()));
  report.set_term(this->term);
  report.set_process_started_ms(this->started_ms);
  for (const core::ServerCrash& crash :
       this->crash_log.recent(kernel::boot_ms()))
    add_crash(crash, report);
  if (!this->state_is_known()) {
    // The owner may take all runs for lost because of this report.
    this->discard_orders();
    report.set_no_lease_ms(this->no_lease_ms(kernel::boot_ms()));
    report.set_lease_over(this->unknown_leases_expired());
    return report;
  }
  report.mutable_life()->set_id(this->server->instance.id);
  report.mutable_life()->set_born_ms(this->server->instance.started_ms);
  report.mutable_life()->set_node(this->options.node);
  report.set_service(this->server->service);
  report.set_zone(this->server->zone);
  report.set_rack(this->server->rack);
  for (const std::string& label : this->server->labels)
    report.add_labels(label);
  report.mutable_room()->set_millicores(this->server->capacity.millicores);
  report.mutable_room()->set_memory_mb(this->server->capacity.memory_mb);
  report.mutable_room()->set_accelerators(this->server->capacity.accelerators);
  report.set_ready(!this->server->draining && this->answering &&
                   this->announcement_is_recent());
  report.set_lease_over(this->leases_expired);
  report.set_listed(this->lists_known);
  report.set_answering(this->answering);
  report.set_leaving(this->server->draining || this->leaving);
  report.set_stays_ms(std::max<std::int64_t>(
    this->server->min_stay_ms - (kernel::boot_ms() - this->announced_ms), 0));
  report.set_orders_sequence(this->orders.sequence());
  for (const platform::RunningTask& task : this->lists.running) {
    v1::RunReport& run = *report.add_running();
    run.set_task(task.task);
    run.set_attempt(task.attempt);
    run.set_checkpoint(this->reported_checkpoint(task.checkpoint));
    run.set_percent(task.percent);
  }
  for (const platform::EndedTask& task : this->lists.ended) {
    v1::EndReport& end = *report.add_ended();
    end.set_number(task.number);
    end.set_task(task.task);
    end.set_attempt(task.attempt);
    end.set_kind(static_cast<std::uint32_t>(task.kind));
    end.set_checkpoint(this->reported_checkpoint(task.checkpoint));
  }
  for (const std::pair<const RunKey, TrackedRun>& item : this->runs) {
    if (item.second.phase != RunPhase::NeverStarted)
      continue;
    v1::EndReport& end = *report.add_ended();
    end.set_task(item.first.first);
    end.set_attempt(item.first.second);
    core::RunEndKind kind = item.second.ticket_rejected
                              ? core::RunEndKind::TicketRejected
                              : core::RunEndKind::NeverStarted;
    end.set_kind(static_cast<std::uint32_t>(kind));
  }
  return report;
}

} // namespace geraniumhinge::agent
