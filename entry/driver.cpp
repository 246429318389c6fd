#include "entry/driver.h"

#include "entry/allocations.h"
#include "entry/events.h"
#include "entry/rows.h"

#include <fmt/format.h>

namespace geraniumhinge::entry {

Driver::Driver(const DriverContext& context, DriverHooks hooks, std::string job)
  : Task(context.loop, "driver")
  , context(context)
  , hooks(std::move(hooks))
  , id(std::move(job))
{
}

void
Driver::enter_state(DriverState state)
{
  if (this->current_state == DriverState::Queued &&
      state != DriverState::Queued)
    this->hooks.dequeue(*this);
  this->current_state = state;
  ++this->state_changes;
  this->timer.reset();
  this->poll_timer.reset();
  for (TrackedMember& member : this->members)
    member.call_in_flight = false;
  this->state_entered_ms = kernel::boot_ms();
  this->span = this->context.tracer.start(
    fmt::format("job.{}", name_of(DRIVER_STATE_NAMES, state)), this->trace);
  this->span.set_attribute("job", this->id);
  if (!this->trace.valid())
    this->trace = this->span.context();
}

void
Driver::call_after(kernel::Milliseconds delay, std::function<void()> fn)
{
  this->timer =
    this->context.timers.after(delay, this->guarded_by_state(std::move(fn)));
}

void
Driver::load()
{
  this->enter_state(DriverState::Loading);
  this->reload_pending = false;
  this->context.table.read(
    { job_key(this->id) },
    this->guarded_by_state([this](const platform::Table::ReadResult& result) {
      if (!result) {
        this->call_after(this->context.settings.store_retry_delay,
                         [this] { this->load(); });
        return;
      }
      std::optional<v1::JobRow> row = parse_row<v1::JobRow>(result->front());
      if (row)
        this->apply_row(std::move(*row), result->front().version);
      else
        this->finish();
    }));
}

void
Driver::start(v1::JobRow row,
              std::uint64_t version,
              const kernel::TraceContext& trace)
{
  this->trace = trace;
  this->apply_row(std::move(row), version);
}

void
Driver::reload()
{
  if (this->busy())
    this->reload_pending = true;
  else if (this->current_state != DriverState::Done)
    this->load();
}

bool
Driver::busy() const
{
  switch (this->current_state) {
    case DriverState::Preparing:
    case DriverState::Committing:
    case DriverState::Starting:
    case DriverState::Ending:
      return true;
    default:
      return false;
  }
}

void
Driver::apply_row(v1::JobRow row, std::uint64_t version)
{
  // Version 0: the write was applied, but the row has changed since.
  if (version == 0) {
    this->load();
    return;
  }
  bool same_generation =
    this->job_row.job().generation() == row.job().generation() &&
    this->members.size() == static_cast<std::size_t>(row.members_size());
  this->job_row = std::move(row);
  this->version = version;
  this->generation =
    std::max(this->generation, this->job_row.job().generation());
  this->placement = {};
  if (!same_generation)
    this->members.assign(this->job_row.members_size(), TrackedMember{});
  switch (this->job_row.job().state()) {
    case v1::JOB_STATE_QUEUED:
      this->members.clear();
      this->enter_state(DriverState::Queued);
      this->hooks.enqueue(*this);
      return;
    case v1::JOB_STATE_RUNNING:
      this->start_generation();
      return;
    case v1::JOB_STATE_STOPPING:
      this->stop_generation();
      return;
    default:
      this->finish();
  }
}

void
Driver::finish()
{
  this->enter_state(DriverState::Done);
  this->acknowledge_results();
  this->hooks.finished(*this);
}

v1::MemberKey
Driver::member_key(std::size_t member) const
{
  v1::MemberKey key;
  key.set_job(this->id);
  key.set_member(member);
  bool has_placement = !this->placement.members.empty();
  key.set_generation(has_placement ? this->generation
                                   : this->job_row.job().generation());
  key.set_incarnation(
    has_placement
      ? this->placement.members[member].incarnation()
      : this->job_row.members(static_cast<int>(member)).incarnation());
  return key;
}

v1::Envelope
Driver::new_envelope() const
{
  v1::Envelope envelope;
  envelope.set_traceparent(this->span.traceparent());
  return envelope;
}

void
Driver::request(std::size_t member,
                v1::Envelope envelope,
                kernel::Milliseconds timeout,
                std::function<void(const peer::PeerNode::Reply&)> done)
{
  bool has_placement = !this->placement.members.empty();
  const std::string& address =
    has_placement
      ? this->placement.members[member].agent_address()
      : this->job_row.members(static_cast<int>(member)).agent_address();
  this->context.transport.request(address,
                                  std::move(envelope),
                                  timeout,
                                  this->guarded_by_state(std::move(done)));
}

std::vector<std::string>
Driver::avoided_servers() const
{
  std::int64_t now = kernel::boot_ms();
  std::vector<std::string> servers;
  for (const auto& [server, until] : this->avoid_until_ms) {
    if (until > now)
      servers.push_back(server);
  }
  return servers;
}

const JobPlacement*
Driver::uncommitted_placement() const
{
  bool has_placement = this->current_state == DriverState::Preparing ||
                       this->current_state == DriverState::Committing;
  return has_placement ? &this->placement : nullptr;
}

void
Driver::commit_end(v1::JobRow next)
{
  this->enter_state(DriverState::Ending);
  bool final = next.job().state() == v1::JOB_STATE_DONE;
  CellUpdate update;
  update.zones = zones_of(this->job_row);
  update.change = [job = this->id](CellMap& cells) {
    remove_allocations(cells, job);
    return true;
  };
  update.other_rows.checks.push_back({ job_key(this->id), this->version });
  update.other_rows.writes.push_back(write_row(job_key(this->id), next));
  if (final)
    update.other_rows.writes.push_back(delete_row(open_key(this->id)));
  this->context.cell_cache.update(
    std::move(update),
    this->guarded_by_state([this, next = std::move(next)](
                             const CellCache::UpdateResult& result) mutable {
      if (result) {
        this->handle_end_committed(std::move(next), result->front());
        return;
      }
      // The row shows whether this transaction or a conflicting one was
      // applied.
      bool conflict = result.error().kind == UpdateErrorKind::Conflict;
      if (!conflict)
        this->context.log.write(STORE_UNAVAILABLE,
                                { { "job", this->id }, { "step", "end" } });
      this->call_after(conflict ? kernel::Milliseconds(0)
                                : this->context.settings.store_retry_delay,
                       [this] { this->load(); });
    }));
}

void
Driver::handle_end_committed(v1::JobRow next, std::uint64_t version)
{
  this->acknowledge_results();
  if (next.job().state() == v1::JOB_STATE_DONE)
    this->context.log.write(
      JOB_DONE,
      { { "job", this->id },
        { "outcome", v1::Outcome_Name(next.job().outcome()) },
        { "reason", v1::Reason_Name(next.job().reason()) } });
  this->apply_row(std::move(next), version);
}

} // namespace geraniumhinge::entry
