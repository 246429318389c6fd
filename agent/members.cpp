#include "agent/members.h"

#include "agent/events.h"

#include <algorithm>
#include <utility>

namespace geraniumhinge::agent {

bool
is_gang(const v1::Prepare& spec)
{
  return spec.gang_size() > 1;
}

Members::Members(kernel::Loop& loop,
                 kernel::TimerService& timers,
                 const kernel::Log& log,
                 kernel::Metrics& metrics,
                 kernel::Tracer& tracer,
                 platform::Backend& backend,
                 const AgentSettings& settings,
                 std::uint64_t incarnation,
                 AllocatedResources& allocated,
                 MemberHooks hooks)
  : Task(loop, "members")
  , timers(timers)
  , log(log)
  , metrics(metrics)
  , tracer(tracer)
  , backend(backend)
  , settings(settings)
  , incarnation(incarnation)
  , allocated(allocated)
  , hooks(std::move(hooks))
{
  this->renewal_timer = this->timers.every(
    this->settings.lease.round_period, [this] { this->renew_single_tasks(); });
}

Members::~Members() = default;

Members::Active::iterator
Members::find_active(const MemberId& id)
{
  this->check_deadline(id);
  return this->members.find(id);
}

bool
Members::check_deadline(const MemberId& id)
{
  Active::iterator found = this->members.find(id);
  if (found == this->members.end())
    return false;
  Member& member = found->second;
  if (member.phase == MemberPhase::Running)
    return kernel::boot_ms() < member.task->lease_until_ms();
  if (kernel::boot_ms() < member.deadline_ms)
    return true;
  this->log.write(MEMBER_EXPIRED,
                  { { "job", id.job }, { "generation", id.generation } });
  bool started = member.phase == MemberPhase::Started;
  this->fences.refuse(id.job, id.generation);
  this->end_before_running(found, v1::REASON_SERVER_LOST, started);
  return false;
}

void
Members::confirm_running(const MemberId& id, std::function<void()> confirmed)
{
  Active::iterator found = this->members.find(id);
  if (found == this->members.end())
    return;
  if (found->second.phase == MemberPhase::Running)
    found->second.task->confirm_running(std::move(confirmed));
  else
    confirmed();
}

bool
Members::is_reserved(const MemberId& id) const
{
  Active::const_iterator found = this->members.find(id);
  return found != this->members.end() &&
         found->second.phase == MemberPhase::Reserved;
}

v1::PrepareResult
Members::refuse(const v1::Prepare& prepare, v1::PrepareResult result)
{
  const v1::MemberKey& key = prepare.key();
  this->log.write(MEMBER_REFUSED,
                  { { "job", key.job() },
                    { "generation", key.generation() },
                    { "result", v1::PrepareResult_Name(result) } });
  this->metrics.counter("agent_prepares_refused_total").add();
  this->fence(key.job(), key.generation());
  return result;
}

v1::PrepareResult
Members::prepare(const v1::Prepare& prepare,
                 const std::string& driver,
                 const kernel::TraceContext& trace)
{
  const v1::MemberKey& key = prepare.key();
  if (key.incarnation() != this->incarnation)
    return v1::PREPARE_RESULT_STALE;
  MemberId id = id_of(key);
  Active::iterator found = this->find_active(id);
  if (found != this->members.end()) {
    // Accepts a repeated message, but not another driver's Prepare with the
    // same generation.
    bool same =
      found->second.phase == MemberPhase::Reserved &&
      found->second.driver == driver &&
      found->second.spec.SerializeAsString() == prepare.SerializeAsString();
    return same ? v1::PREPARE_RESULT_HELD : v1::PREPARE_RESULT_STALE;
  }
  if (this->fences.is_refused(id.job, id.generation))
    return v1::PREPARE_RESULT_STALE;
  if (this->leaving)
    return this->refuse(prepare, v1::PREPARE_RESULT_LEAVING);
  if (this->quarantined)
    return this->refuse(prepare, v1::PREPARE_RESULT_QUARANTINED);
  if (!this->hooks.backend_available())
    return this->refuse(prepare, v1::PREPARE_RESULT_BACKEND_UNAVAILABLE);
  return this->reserve(prepare, driver, trace);
}

bool
Members::has_older_generation(const MemberId& id) const
{
  return std::any_of(this->members.begin(),
                     this->members.end(),
                     [&id](const std::pair<const MemberId, Member>& item) {
                       return item.first.job == id.job &&
                              item.first.generation < id.generation;
                     });
}

v1::PrepareResult
Members::reserve(const v1::Prepare& prepare,
                 const std::string& driver,
                 const kernel::TraceContext& trace)
{
  MemberId id = id_of(prepare.key());
  // A newer generation stops the members of older ones. It is refused as BUSY
  // if one of those members has not ended yet.
  if (id.generation > 0)
    this->fence(id.job, id.generation - 1);
  bool older = this->has_older_generation(id);
  if (older || !this->allocated.allocate(resources_of(prepare)))
    return this->refuse(prepare, v1::PREPARE_RESULT_BUSY);
  Member& member = this->members[id];
  member.spec = prepare;
  member.driver = driver;
  member.span = this->tracer.start("agent.member", trace);
  member.span.set_attribute("job", id.job);
  std::int64_t reservation_ms = std::min<std::int64_t>(
    prepare.hold_ms(), this->settings.lease.max_reservation.count());
  member.deadline_ms = kernel::boot_ms() + reservation_ms;
  this->watch_deadline(id, member);
  this->log.write(MEMBER_HELD,
                  { { "job", id.job }, { "generation", id.generation } });
  this->hooks.load_changed();
  return v1::PREPARE_RESULT_HELD;
}

void
Members::watch_deadline(const MemberId& id, Member& member)
{
  std::int64_t remaining_ms =
    std::max<std::int64_t>(member.deadline_ms - kernel::boot_ms(), 0);
  member.deadline_timer =
    this->timers.after(kernel::Milliseconds(remaining_ms + 1), [this, id] {
      if (!this->check_deadline(id))
        return;
      Active::iterator found = this->members.find(id);
      if (found->second.phase != MemberPhase::Running)
        this->watch_deadline(id, found->second);
    });
}

void
Members::fence(const std::string& job, std::uint32_t generation)
{
  this->fences.refuse(job, generation);
  std::vector<MemberId> not_running;
  for (std::pair<const MemberId, Member>& item : this->members) {
    if (item.first.job != job || item.first.generation > generation)
      continue;
    if (item.second.phase == MemberPhase::Running)
      item.second.task->stop(false, kernel::Milliseconds(0));
    else
      not_running.push_back(item.first);
  }
  for (const MemberId& id : not_running)
    this->end_before_running(
      this->members.find(id), v1::REASON_UNSPECIFIED, false);
}

void
Members::release(const v1::MemberKey& key, const std::string& driver)
{
  if (key.incarnation() != this->incarnation)
    return;
  Active::iterator found = this->find_active(id_of(key));
  // A Prepare that arrives after its Release must not reserve resources.
  if (found == this->members.end())
    return this->fences.refuse(key.job(), key.generation());
  bool owns_reservation = found->second.phase == MemberPhase::Reserved &&
                          found->second.driver == driver;
  if (owns_reservation)
    this->fence(key.job(), key.generation());
}

v1::MemberState
Members::start(const v1::MemberKey& key, const std::string& driver)
{
  if (key.incarnation() != this->incarnation)
    return v1::MEMBER_STATE_OTHER_INCARNATION;
  MemberId id = id_of(key);
  Active::iterator found = this->find_active(id);
  if (found == this->members.end())
    return this->query(key).state();
  Member& member = found->second;
  member.driver = driver;
  if (member.phase != MemberPhase::Reserved)
    return v1::MEMBER_STATE_STARTED;
  member.phase = MemberPhase::Started;
  std::int64_t now = kernel::boot_ms();
  member.deadline_ms = now + this->settings.lease.start_wait.count();
  if (is_gang(member.spec)) {
    this->watch_deadline(id, member);
    this->hooks.member_started(id, member.spec);
  } else {
    this->open(id, now + this->settings.lease.length.count());
  }
  return v1::MEMBER_STATE_STARTED;
}

platform::TaskStart
Members::task_start(const Member& member, std::int64_t lease_until_ms) const
{
  platform::TaskStart start;
  const v1::MemberKey& key = member.spec.key();
  start.key = { key.job(), key.generation(), key.member() };
  start.accelerators = member.spec.accelerators();
  start.cores = member.spec.cores();
  start.memory_mb = member.spec.memory_mb();
  start.input = member.spec.input().inline_();
  start.checkpoint_key = member.spec.checkpoint_key();
  start.lease_until_ms = lease_until_ms;
  start.traceparent = member.span.traceparent();
  return start;
}

void
Members::open(const MemberId& id, std::int64_t lease_until_ms)
{
  Active::iterator found = this->find_active(id);
  if (found == this->members.end() ||
      found->second.phase != MemberPhase::Started ||
      kernel::boot_ms() >= lease_until_ms)
    return;
  Member& member = found->second;
  member.phase = MemberPhase::Running;
  member.deadline_timer.reset();
  member.task = std::make_unique<BackendTask>(
    this->loop,
    this->timers,
    this->backend,
    this->settings.backend,
    this->task_start(member, lease_until_ms),
    [this, id](TaskEnd end) { this->task_ended(id, std::move(end)); });
  this->log.write(MEMBER_RUNNING,
                  { { "job", id.job },
                    { "generation", id.generation },
                    { "member", id.member } });
  member.task->begin();
}

void
Members::extend(const MemberId& id, std::int64_t until_ms)
{
  Active::iterator found = this->find_active(id);
  if (found == this->members.end())
    return;
  Member& member = found->second;
  if (member.phase == MemberPhase::Running)
    member.task->extend(until_ms);
  else
    member.deadline_ms = std::max(member.deadline_ms, until_ms);
}

void
Members::renew_single_tasks()
{
  if (!this->hooks.may_renew())
    return;
  std::int64_t until = kernel::boot_ms() + this->settings.lease.length.count();
  for (std::pair<const MemberId, Member>& item : this->members) {
    bool renewable =
      item.second.phase == MemberPhase::Running && !is_gang(item.second.spec);
    if (renewable)
      item.second.task->extend(until);
  }
}

void
Members::record_acknowledged(const MemberId& id)
{
  Active::iterator found = this->members.find(id);
  if (found != this->members.end())
    found->second.acknowledged = true;
}

void
Members::stop(const v1::Stop& stop, StopDone done)
{
  const v1::MemberKey& key = stop.key();
  v1::StopReply reply;
  if (key.incarnation() != this->incarnation) {
    reply.set_state(v1::MEMBER_STATE_OTHER_INCARNATION);
    return done(std::move(reply));
  }
  MemberId id = id_of(key);
  Active::iterator found = this->find_active(id);
  bool running =
    found != this->members.end() && found->second.phase == MemberPhase::Running;
  if (running) {
    found->second.stop_callbacks.push_back(std::move(done));
    found->second.task->stop(stop.checkpoint(),
                             kernel::Milliseconds(stop.grace_ms()));
    return this->fence(id.job, id.generation);
  }
  this->fence(id.job, id.generation);
  reply.set_state(this->query(key).state());
  const FinalState* ended = this->fences.find(id);
  if (ended != nullptr)
    reply.set_checkpoint_key(ended->checkpoint_key);
  done(std::move(reply));
}

v1::MemberStatus
Members::query(const v1::MemberKey& key)
{
  v1::MemberStatus status;
  if (key.incarnation() != this->incarnation) {
    status.set_state(v1::MEMBER_STATE_OTHER_INCARNATION);
    return status;
  }
  MemberId id = id_of(key);
  Active::iterator found = this->find_active(id);
  if (found != this->members.end()) {
    status.set_state(found->second.phase == MemberPhase::Reserved
                       ? v1::MEMBER_STATE_HELD
                       : v1::MEMBER_STATE_STARTED);
    return status;
  }
  const FinalState* ended = this->fences.find(id);
  if (ended == nullptr) {
    // NEVER_STARTED promises that this generation never starts here.
    this->fence(id.job, id.generation);
    status.set_state(v1::MEMBER_STATE_NEVER_STARTED);
    return status;
  }
  status.set_state(ended->state);
  if (ended->state == v1::MEMBER_STATE_DONE)
    *status.mutable_done() = make_done(key, *ended, this->settings.name);
  return status;
}

void
Members::checkpoint(const v1::MemberKey& key,
                    std::function<void(std::string)> done)
{
  Active::iterator found = key.incarnation() == this->incarnation
                             ? this->find_active(id_of(key))
                             : this->members.end();
  bool running =
    found != this->members.end() && found->second.phase == MemberPhase::Running;
  if (!running)
    return done({});
  found->second.task->checkpoint(
    [done = std::move(done)](
      const tl::expected<std::string, platform::BackendError>& result) {
      done(result.value_or(""));
    });
}

void
Members::stop_all(v1::Reason reason)
{
  std::vector<MemberId> not_running;
  for (std::pair<const MemberId, Member>& item : this->members) {
    this->fences.refuse(item.first.job, item.first.generation);
    item.second.stop_reason = reason;
    if (item.second.phase == MemberPhase::Running)
      item.second.task->stop(true, this->settings.backend.checkpoint_timeout);
    else
      not_running.push_back(item.first);
  }
  for (const MemberId& id : not_running)
    this->end_before_running(this->members.find(id), reason, true);
}

std::vector<std::string>
Members::jobs() const
{
  std::vector<std::string> jobs;
  for (const std::pair<const MemberId, Member>& item : this->members) {
    if (jobs.empty() || jobs.back() != item.first.job)
      jobs.push_back(item.first.job);
  }
  return jobs;
}

} // namespace geraniumhinge::agent
