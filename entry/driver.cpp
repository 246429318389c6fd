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
Driver::enter(DriverState state)
{
  if (this->phase == DriverState::Queued && state != DriverState::Queued)
    this->hooks.dequeue(*this);
  this->phase = state;
  ++this->step;
  this->timer.reset();
  this->poll_timer.reset();
  for (MemberTrack& member : this->members)
    member.calling = false;
  this->step_started_ms = kernel::boot_ms();
  this->span = this->context.tracer.start(
    fmt::format("job.{}", name_of(DRIVER_STATE_NAMES, state)), this->trace);
  this->span.set("job", this->id);
  if (!this->trace.valid())
    this->trace = this->span.context();
}

void
Driver::later(kernel::Milliseconds delay, std::function<void()> fn)
{
  this->timer = this->context.timers.after(delay, this->in_step(std::move(fn)));
}

void
Driver::load()
{
  this->enter(DriverState::Loading);
  this->reload_wanted = false;
  this->context.table.read(
    { job_key(this->id) },
    this->in_step([this](const platform::Table::ReadResult& result) {
      if (!result) {
        this->later(this->context.settings.store_retry,
                    [this] { this->load(); });
        return;
      }
      std::optional<v1::JobRow> row = parse_row<v1::JobRow>(result->front());
      if (row)
        this->adopt(std::move(*row), result->front().version);
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
  this->adopt(std::move(row), version);
}

void
Driver::reload()
{
  if (this->busy())
    this->reload_wanted = true;
  else if (this->phase != DriverState::Done)
    this->load();
}

bool
Driver::busy() const
{
  switch (this->phase) {
    case DriverState::Preparing:
    case DriverState::Committing:
    case DriverState::Starting:
    case DriverState::Concluding:
      return true;
    default:
      return false;
  }
}

void
Driver::adopt(v1::JobRow row, std::uint64_t version)
{
  // The write took effect, but the row has another value by now.
  if (version == 0) {
    this->load();
    return;
  }
  bool same_generation =
    this->current.job().generation() == row.job().generation() &&
    this->members.size() == static_cast<std::size_t>(row.members_size());
  this->current = std::move(row);
  this->version = version;
  this->generation =
    std::max(this->generation, this->current.job().generation());
  this->placement = {};
  if (!same_generation)
    this->members.assign(this->current.members_size(), MemberTrack{});
  switch (this->current.job().state()) {
    case v1::JOB_STATE_QUEUED:
      this->members.clear();
      this->enter(DriverState::Queued);
      this->hooks.queue(*this);
      return;
    case v1::JOB_STATE_RUNNING:
      this->start_all();
      return;
    case v1::JOB_STATE_STOPPING:
      this->stop_all();
      return;
    default:
      this->finish();
  }
}

void
Driver::finish()
{
  this->enter(DriverState::Done);
  this->acknowledge_results();
  this->hooks.finished(*this);
}

v1::MemberKey
Driver::key_of(std::size_t member) const
{
  v1::MemberKey key;
  key.set_job(this->id);
  key.set_member(member);
  bool placing = !this->placement.members.empty();
  key.set_generation(placing ? this->generation
                             : this->current.job().generation());
  key.set_incarnation(
    placing ? this->placement.members[member].incarnation()
            : this->current.members(static_cast<int>(member)).incarnation());
  return key;
}

v1::Envelope
Driver::envelope() const
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
  bool placing = !this->placement.members.empty();
  const std::string& address =
    placing ? this->placement.members[member].agent_address()
            : this->current.members(static_cast<int>(member)).agent_address();
  this->context.transport.request(
    address, std::move(envelope), timeout, this->in_step(std::move(done)));
}

std::vector<std::string>
Driver::avoided() const
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
Driver::uncommitted() const
{
  bool placing = this->phase == DriverState::Preparing ||
                 this->phase == DriverState::Committing;
  return placing ? &this->placement : nullptr;
}

void
Driver::commit_end(v1::JobRow next)
{
  this->enter(DriverState::Concluding);
  bool final = next.job().state() == v1::JOB_STATE_DONE;
  CellUpdate update;
  update.zones = zones_of(this->current);
  update.change = [job = this->id](CellMap& cells) {
    remove_allocations(cells, job);
    return true;
  };
  update.other_rows.checks.push_back({ job_key(this->id), this->version });
  update.other_rows.writes.push_back(write_row(job_key(this->id), next));
  if (final)
    update.other_rows.writes.push_back(delete_row(open_key(this->id)));
  this->context.cells.update(
    std::move(update),
    this->in_step([this, next = std::move(next)](
                    const Cells::UpdateResult& result) mutable {
      if (result) {
        this->end_committed(std::move(next), result->front());
        return;
      }
      // The row tells whether the transaction took effect or another one did.
      bool conflict = result.error().kind == UpdateErrorKind::Conflict;
      if (!conflict)
        this->context.log.write(STORE_UNAVAILABLE,
                                { { "job", this->id }, { "step", "end" } });
      this->later(conflict ? kernel::Milliseconds(0)
                           : this->context.settings.store_retry,
                  [this] { this->load(); });
    }));
}

void
Driver::end_committed(v1::JobRow next, std::uint64_t version)
{
  this->acknowledge_results();
  if (next.job().state() == v1::JOB_STATE_DONE)
    this->context.log.write(
      JOB_DONE,
      { { "job", this->id },
        { "outcome", v1::Outcome_Name(next.job().outcome()) },
        { "reason", v1::Reason_Name(next.job().reason()) } });
  this->adopt(std::move(next), version);
}

} // namespace geraniumhinge::entry
