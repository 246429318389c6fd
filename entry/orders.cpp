#include "entry/orders.h"

namespace geraniumhinge::entry {

namespace {

v1::RunOrder
make_order(const core::Step& step,
           const std::string& task,
           std::uint32_t attempt)
{
  v1::RunOrder order;
  order.set_task(task);
  order.set_attempt(attempt);
  order.mutable_demand()->set_millicores(
    step.best_effort ? 0 : step.demand.millicores);
  order.mutable_demand()->set_memory_mb(step.demand.memory_mb);
  order.mutable_demand()->set_accelerators(step.demand.accelerators);
  order.set_fills(step.best_effort);
  order.set_latency_target_ms(step.latency_target_ms);
  return order;
}

/// Adds the payload, ticket and checkpoint, which only a start needs.
void
add_start_data(v1::RunOrder& order,
               const WorkItem& item,
               const core::TaskRef& ref,
               const core::TaskState& task)
{
  const core::Step& step = item.workflow->steps[ref.step];
  order.set_payload(item.workflow->payload);
  order.set_ticket(task.run->ticket);
  const core::TaskState& checkpointed =
    step.gang
      ? item.progress.open_occurrences.at(ref.occurrence)[ref.step].front()
      : task;
  if (step.checkpoints)
    order.set_checkpoint(checkpointed.checkpoint);
}

} // namespace

v1::ServerOrders
make_orders(const WorkView& view,
            const AgentView& agent,
            const OrdersNumber& number,
            const std::set<RunName>& ending)
{
  v1::ServerOrders orders;
  orders.set_term(number.term);
  orders.set_sequence(number.sequence);
  *orders.mutable_life() = agent.report.life();
  orders.set_stored_ends(agent.stored_ends);
  orders.set_agent_incarnation(agent.incarnation);
  orders.set_report_sequence(agent.report.sequence());
  core::ServerInstance instance = instance_of(agent.report.life());
  if (instance.id.empty() || agent.report.lease_over())
    return orders;
  std::set<RunName> reported;
  for (const v1::RunReport& run : agent.report.running())
    reported.emplace(run.task(), run.attempt());
  for (const std::pair<const std::string, WorkItem>& entry : view.items()) {
    const WorkItem& item = entry.second;
    if (!item.usable)
      continue;
    core::for_each_run(
      item.progress,
      [&](const core::TaskRef& ref, const core::TaskState& task) {
        if (task.run->server != instance)
          return;
        std::string name = core::task_name(entry.first, ref);
        if (ending.contains({ name, task.run->attempt }))
          return;
        v1::RunOrder order =
          make_order(item.workflow->steps[ref.step], name, task.run->attempt);
        if (task.run->stopping) {
          *orders.add_stops() = std::move(order);
          return;
        }
        if (!reported.contains({ name, task.run->attempt }))
          add_start_data(order, item, ref, task);
        *orders.add_runs() = std::move(order);
      });
  }
  return orders;
}

} // namespace geraniumhinge::entry
