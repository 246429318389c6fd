#pragma once

#include "agent/gangs.h"
#include "agent/members.h"
#include "tests/agent/fake_backend.h"
#include "tests/peer/peer_fixture.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace geraniumhinge::tests {

constexpr std::uint64_t INCARNATION = 100;

/// Settings with short periods.
inline agent::AgentSettings
short_settings()
{
  agent::AgentSettings settings;
  settings.name = "server-1";
  settings.zone = "zone-1";
  settings.capacity = { 8, 8, 32, 1'024 };
  settings.backend.retry_delay = kernel::Milliseconds(10);
  settings.backend.start_limit = kernel::Milliseconds(100);
  settings.lease.length = kernel::Milliseconds(450);
  settings.lease.round_period = kernel::Milliseconds(150);
  settings.lease.round_limit = kernel::Milliseconds(150);
  settings.lease.start_wait = kernel::Milliseconds(600);
  settings.lease.max_reservation = kernel::Milliseconds(10'000);
  settings.requests.max_timeout = kernel::Milliseconds(1'000);
  settings.requests.answer_retention = kernel::Milliseconds(60'000);
  settings.requests.attempt_retention = kernel::Milliseconds(60'000);
  return settings;
}

/// The members of one agent on a fake backend server.
struct Server
{
  FakeBackend backend;
  std::uint64_t incarnation;
  agent::AgentSettings settings = short_settings();
  kernel::Metrics metrics;
  kernel::Tracer tracer{ "test", "" };
  agent::AllocatedResources allocated{ this->settings.capacity };
  std::vector<v1::MemberDone> results;
  bool backend_available = true;
  std::unique_ptr<agent::Gangs> gangs;
  agent::Members members;

  Server(Fixture& fixture, std::uint64_t incarnation)
    : incarnation(incarnation)
    , members(fixture.loop,
              fixture.timers,
              fixture.log,
              this->metrics,
              this->tracer,
              this->backend,
              this->settings,
              incarnation,
              this->allocated,
              this->hooks())
  {
  }

  agent::MemberHooks hooks()
  {
    agent::MemberHooks hooks;
    hooks.member_started = [this](const agent::MemberId& id,
                                  const v1::Prepare& spec) {
      if (this->gangs)
        this->gangs->member_started(id, spec);
    };
    hooks.member_ended = [this](const agent::MemberId& id, bool succeeded) {
      if (this->gangs)
        this->gangs->member_ended(id, succeeded);
    };
    hooks.announce_result = [this](v1::MemberDone done, const std::string&) {
      this->results.push_back(std::move(done));
    };
    hooks.load_changed = [] {};
    hooks.may_renew = [] { return true; };
    hooks.backend_available = [this] { return this->backend_available; };
    return hooks;
  }

  agent::GangHooks gang_hooks()
  {
    agent::GangHooks hooks;
    hooks.open = [this](const agent::MemberId& id, std::int64_t until) {
      this->members.open(id, until);
    };
    hooks.extend = [this](const agent::MemberId& id, std::int64_t until) {
      this->members.extend(id, until);
    };
    hooks.check_deadline = [this](const agent::MemberId& id) {
      return this->members.check_deadline(id);
    };
    hooks.confirm_running = [this](const agent::MemberId& id,
                                   std::function<void()> confirmed) {
      this->members.confirm_running(id, std::move(confirmed));
    };
    hooks.record_acknowledged = [this](const agent::MemberId& id) {
      this->members.record_acknowledged(id);
    };
    hooks.is_reserved = [this](const agent::MemberId& id) {
      return this->members.is_reserved(id);
    };
    return hooks;
  }

  v1::MemberKey key(std::uint32_t generation, std::uint32_t member = 0) const
  {
    v1::MemberKey key;
    key.set_job("job-1");
    key.set_generation(generation);
    key.set_member(member);
    key.set_incarnation(this->incarnation);
    return key;
  }

  v1::PrepareResult prepare(const v1::MemberKey& key,
                            std::uint32_t reservation_ms = 10'000,
                            const std::string& driver = "driver")
  {
    v1::Prepare prepare;
    *prepare.mutable_key() = key;
    prepare.set_accelerators(1);
    prepare.set_hold_ms(reservation_ms);
    return this->members.prepare(prepare, driver, {});
  }
};

} // namespace geraniumhinge::tests
