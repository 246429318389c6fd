#include "agent/agent.h"

#include "agent/events.h"

#include <utility>

namespace geraniumhinge::agent {

namespace {

constexpr kernel::Milliseconds ORPHAN_CHECK_PERIOD{ 1'000 };
constexpr kernel::Milliseconds DRAIN_CHECK_PERIOD{ 100 };

} // namespace

Agent::Agent(const AgentServices& services, const AgentSettings& settings)
  : Task(services.loop, "agent")
  , services(services)
  , settings(settings)
  , incarnation(services.node.self().incarnation)
  , allocated(settings.capacity)
  , membership(services.loop,
               services.timers,
               services.log,
               settings,
               this->make_transport(),
               this->membership_hooks())
  , results(services.loop,
            services.timers,
            settings.result_retry_delay,
            this->make_transport(),
            [this] { return this->membership.addresses(); })
  , health(services.loop,
           services.timers,
           services.log,
           services.backend,
           settings.backend.probe_period)
  , members(services.loop,
            services.timers,
            services.log,
            services.metrics,
            services.tracer,
            services.backend,
            settings,
            this->incarnation,
            this->allocated,
            this->member_hooks())
  , gangs(services.loop,
          services.timers,
          services.log,
          services.metrics,
          settings.lease,
          this->make_transport(),
          this->gang_hooks())
  , requests(services.loop,
             services.metrics,
             services.tracer,
             services.backend,
             settings.requests,
             this->incarnation,
             this->allocated)
  , slots_used(services.metrics.gauge("agent_slots_used"))
{
}

Transport
Agent::make_transport()
{
  return { [this](const std::string& address,
                  v1::Envelope envelope,
                  kernel::Milliseconds timeout,
                  peer::PeerNode::ReplyCallback done) {
    this->services.node.request(
      address, std::move(envelope), timeout, std::move(done));
  } };
}

MemberHooks
Agent::member_hooks()
{
  MemberHooks hooks;
  hooks.member_started = [this](const MemberId& id, const v1::Prepare& spec) {
    this->gangs.member_started(id, spec);
  };
  hooks.member_ended = [this](const MemberId& id, bool succeeded) {
    this->gangs.member_ended(id, succeeded);
  };
  hooks.announce_result = [this](v1::MemberDone done,
                                 const std::string& driver) {
    this->results.add(std::move(done), driver);
  };
  hooks.load_changed = [this] {
    this->slots_used.set(this->allocated.slots_used());
    this->membership.announce_change();
  };
  hooks.may_renew = [this] {
    return this->membership.seen_within(
      this->settings.membership.orphan_timeout);
  };
  hooks.backend_available = [this] { return this->health.available(); };
  return hooks;
}

GangHooks
Agent::gang_hooks()
{
  GangHooks hooks;
  hooks.open = [this](const MemberId& id, std::int64_t until_ms) {
    this->members.open(id, until_ms);
  };
  hooks.extend = [this](const MemberId& id, std::int64_t until_ms) {
    this->members.extend(id, until_ms);
  };
  hooks.check_deadline = [this](const MemberId& id) {
    return this->members.check_deadline(id);
  };
  hooks.confirm_running = [this](const MemberId& id,
                                 std::function<void()> confirmed) {
    this->members.confirm_running(id, std::move(confirmed));
  };
  hooks.record_acknowledged = [this](const MemberId& id) {
    this->members.record_acknowledged(id);
  };
  hooks.is_reserved = [this](const MemberId& id) {
    return this->members.is_reserved(id);
  };
  return hooks;
}

MembershipHooks
Agent::membership_hooks()
{
  MembershipHooks hooks;
  hooks.hello = [this] { return this->hello(); };
  hooks.heartbeat = [this] { return this->heartbeat(); };
  hooks.config = [this](const v1::ConfigDigest& digest) {
    this->members.set_quarantined(digest.quarantined());
    this->requests.set_quarantined(digest.quarantined());
  };
  return hooks;
}

v1::Hello
Agent::hello() const
{
  v1::Hello hello;
  v1::Member& member = *hello.mutable_member();
  member.set_server(this->settings.name);
  member.set_incarnation(this->incarnation);
  member.set_agent_address(this->services.node.self().address);
  member.set_rack(this->settings.rack);
  member.set_accelerators(this->settings.capacity.accelerators);
  member.set_slots(this->settings.capacity.slots);
  member.set_cores(this->settings.capacity.cores);
  member.set_memory_mb(this->settings.capacity.memory_mb);
  member.set_state(this->leaving ? v1::SERVER_STATE_LEAVING
                                 : v1::SERVER_STATE_READY);
  hello.set_zone(this->settings.zone);
  for (std::string& job : this->members.jobs())
    hello.add_running_jobs(std::move(job));
  return hello;
}

v1::AgentHeartbeat
Agent::heartbeat() const
{
  v1::AgentHeartbeat heartbeat;
  heartbeat.set_slots_used(this->allocated.slots_used());
  heartbeat.set_requests_in_flight(
    static_cast<std::uint32_t>(this->requests.in_flight()));
  heartbeat.set_leaving(this->leaving);
  return heartbeat;
}

void
Agent::start()
{
  this->services.node.on_message(this->guarded(
    [this](const v1::Envelope& envelope) { this->handle(envelope); }));
  this->services.node.set_config_version_source(
    [this] { return this->membership.config_version(); });
  this->orphan_checks = this->services.timers.every(
    ORPHAN_CHECK_PERIOD, [this] { this->check_orphaned(); });
  this->health.start();
  this->membership.start();
}

void
Agent::handle(const v1::Envelope& envelope)
{
  if (envelope.has_gang_round())
    return this->handle_round(envelope);
  // All other messages come from entries.
  this->membership.record_contact(envelope);
  if (envelope.has_agent_run())
    return this->handle_run(envelope);
  if (!this->handle_member_message(envelope))
    this->membership.handle(envelope);
}

bool
Agent::handle_member_message(const v1::Envelope& envelope)
{
  switch (envelope.body_case()) {
    case v1::Envelope::kPrepare:
      this->handle_prepare(envelope);
      return true;
    case v1::Envelope::kRelease:
      this->members.release(envelope.release().key(),
                            envelope.sender_address());
      return true;
    case v1::Envelope::kStart:
      this->handle_start(envelope);
      return true;
    case v1::Envelope::kStop:
      this->handle_stop(envelope);
      return true;
    case v1::Envelope::kQueryMember:
      this->handle_query(envelope);
      return true;
    case v1::Envelope::kCheckpointTask:
      this->handle_checkpoint(envelope);
      return true;
    default:
      return false;
  }
}

void
Agent::handle_prepare(const v1::Envelope& envelope)
{
  v1::Envelope reply_envelope;
  reply_envelope.mutable_prepare_reply()->set_result(
    this->members.prepare(envelope.prepare(),
                          envelope.sender_address(),
                          kernel::parse_traceparent(envelope.traceparent())));
  this->services.node.reply(envelope, std::move(reply_envelope));
}

void
Agent::handle_start(const v1::Envelope& envelope)
{
  const v1::MemberKey& key = envelope.start().key();
  v1::Envelope reply_envelope;
  reply_envelope.mutable_start_reply()->set_state(
    this->members.start(key, envelope.sender_address()));
  this->results.set_driver(id_of(key), envelope.sender_address());
  this->services.node.reply(envelope, std::move(reply_envelope));
}

void
Agent::handle_stop(const v1::Envelope& envelope)
{
  this->members.stop(
    envelope.stop(), this->guarded([this, envelope](v1::StopReply reply) {
      v1::Envelope reply_envelope;
      *reply_envelope.mutable_stop_reply() = std::move(reply);
      this->services.node.reply(envelope, std::move(reply_envelope));
    }));
}

void
Agent::handle_query(const v1::Envelope& envelope)
{
  const v1::MemberKey& key = envelope.query_member().key();
  v1::Envelope reply_envelope;
  v1::MemberStatus& status = *reply_envelope.mutable_member_status();
  status = this->members.query(key);
  const v1::MemberDone* result = this->results.find(id_of(key));
  if (status.state() == v1::MEMBER_STATE_DONE && result != nullptr)
    *status.mutable_done() = *result;
  this->results.set_driver(id_of(key), envelope.sender_address());
  this->services.node.reply(envelope, std::move(reply_envelope));
}

void
Agent::handle_checkpoint(const v1::Envelope& envelope)
{
  this->members.checkpoint(
    envelope.checkpoint_task().key(),
    this->guarded([this, envelope](const std::string& checkpoint_key) {
      v1::Envelope reply_envelope;
      reply_envelope.mutable_checkpoint_reply()->set_checkpoint_key(
        checkpoint_key);
      this->services.node.reply(envelope, std::move(reply_envelope));
    }));
}

void
Agent::handle_round(const v1::Envelope& envelope)
{
  if (envelope.gang_round().key().incarnation() != this->incarnation)
    return;
  // The reply needs only the message id and the sender, so the round itself is
  // not copied.
  v1::Envelope request_header;
  request_header.set_message_id(envelope.message_id());
  request_header.set_sender_address(envelope.sender_address());
  this->gangs.handle_round(
    envelope.gang_round(),
    this->guarded([this, request_header](v1::GangRoundAck ack) {
      v1::Envelope reply_envelope;
      *reply_envelope.mutable_gang_round_ack() = std::move(ack);
      this->services.node.reply(request_header, std::move(reply_envelope));
    }));
}

void
Agent::handle_run(const v1::Envelope& envelope)
{
  v1::Envelope request_header;
  request_header.set_message_id(envelope.message_id());
  request_header.set_sender_address(envelope.sender_address());
  this->requests.handle(
    envelope.agent_run(),
    kernel::parse_traceparent(envelope.traceparent()),
    this->guarded([this, request_header](v1::AgentRunReply reply) {
      v1::Envelope reply_envelope;
      *reply_envelope.mutable_agent_run_reply() = std::move(reply);
      this->services.node.reply(request_header, std::move(reply_envelope));
    }));
}

void
Agent::check_orphaned()
{
  bool entry_seen =
    this->membership.seen_within(this->settings.membership.orphan_timeout);
  bool was_orphaned = std::exchange(this->orphaned, !entry_seen);
  if (entry_seen || was_orphaned)
    return;
  this->services.log.write(ORPHANED, { { "members", this->members.active() } });
  this->members.stop_all(v1::REASON_SERVER_LOST);
}

void
Agent::leave(std::function<void()> done)
{
  if (std::exchange(this->leaving, true))
    return;
  this->drained_callback = std::move(done);
  this->services.log.write(LEAVING_STARTED,
                           { { "members", this->members.active() },
                             { "requests", this->requests.in_flight() } });
  this->members.leave();
  this->requests.leave();
  this->membership.leave();
  this->drain_until_ms = kernel::boot_ms() + this->settings.drain_limit.count();
  this->drain_checks = this->services.timers.every(
    DRAIN_CHECK_PERIOD, [this] { this->check_drained(); });
}

void
Agent::check_drained()
{
  bool has_work = this->members.active() > 0 || this->gangs.size() > 0 ||
                  this->requests.in_flight() > 0 || this->results.size() > 0 ||
                  !this->membership.has_left();
  std::int64_t now = kernel::boot_ms();
  // Stopping the members at the drain limit takes at most a checkpoint and a
  // lease.
  std::int64_t end_ms = this->drain_until_ms +
                        this->settings.backend.checkpoint_timeout.count() +
                        this->settings.lease.length.count();
  // Waits one more check period, so that the last replies are sent.
  bool was_idle = std::exchange(this->drain_idle, !has_work);
  if ((!has_work && was_idle) || now >= end_ms) {
    this->drain_checks.reset();
    return this->drained_callback();
  }
  if (now < this->drain_until_ms || std::exchange(this->drain_forced, true))
    return;
  this->services.log.write(DRAIN_LIMIT,
                           { { "members", this->members.active() } });
  this->members.stop_all(v1::REASON_DRAINING);
}

} // namespace geraniumhinge::agent
