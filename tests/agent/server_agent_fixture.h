#pragma once

#include "agent/server_agent.h"
#include "tests/gateway/loop_fixture.h"
#include "tests/platform/server_standin.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace geraniumhinge::tests {

inline constexpr char SERVER_ID[] = "i-7f3a91c2";
inline constexpr char TASK[] = "5c0e7a21d94b36f8.0.0.0";
inline constexpr std::uint64_t INCARNATION = 7;
inline constexpr kernel::Milliseconds MAX_LEASE{ 1'000 };
inline constexpr char OTHER_TASK[] = "5c0e7a21d94b36f8.0.0.1";

/// An agent, its backend server, and the orders of an owner.
struct ServerAgentFixture : LoopFixture
{
  kernel::Log log{ "agent", kernel::Severity::Error };
  kernel::Metrics metrics;
  gateway::HttpClient client{ loop, timers, 16 };
  platform::ServerClient server_client{ client };
  ServerStandin server{ loop, timers };
  std::uint64_t sequence = 0;
  std::uint64_t announcements = 0;
  kernel::Milliseconds heartbeat_period{ 1'500 };
  kernel::Milliseconds orphan_timeout{ 600 };
  kernel::Milliseconds poll_wait{ 100 };
  int changes = 0; ///< Calls of the agent's hook for changes.
  std::unique_ptr<agent::ServerAgent> agent = make_agent(log);

  std::unique_ptr<agent::ServerAgent> make_agent() { return make_agent(log); }

  std::unique_ptr<agent::ServerAgent> make_agent(const kernel::Log& agent_log)
  {
    agent::ServerAgentOptions options;
    options.node = "node-1";
    options.service = "planner";
    options.incarnation = INCARNATION;
    options.lease = kernel::Milliseconds(900);
    options.max_lease = MAX_LEASE;
    options.orphan_timeout = orphan_timeout;
    options.poll_wait = poll_wait;
    options.heartbeat_period = heartbeat_period;
    return std::make_unique<agent::ServerAgent>(
      loop, timers, agent_log, metrics, server_client, options, [this] {
        ++changes;
      });
  }

  /// What the server announces now.
  platform::Announcement announcement(const std::string& state = "ready")
  {
    platform::AnnouncementRequest request{
      SERVER_ID, false, server.announcement(state, ++announcements).dump()
    };
    std::optional<platform::Announcement> read =
      platform::decode_announcement(request);
    BOOST_REQUIRE(read.has_value());
    return *read;
  }

  void announce(const std::string& state = "ready")
  {
    agent->apply_announcement(announcement(state));
  }

  v1::ServerOrders orders(std::uint64_t term = 5)
  {
    v1::ServerOrders result;
    result.set_term(term);
    result.set_sequence(++sequence);
    result.mutable_life()->set_id(SERVER_ID);
    result.mutable_life()->set_born_ms(server.started_ms);
    result.set_agent_incarnation(INCARNATION);
    result.set_report_sequence(agent->report().sequence());
    return result;
  }

  static void add(google::protobuf::RepeatedPtrField<v1::RunOrder>* runs,
                  const std::string& task,
                  std::uint32_t attempt,
                  std::int64_t accelerators = 1)
  {
    v1::RunOrder& run = *runs->Add();
    run.set_task(task);
    run.set_attempt(attempt);
    run.set_payload("text");
    run.mutable_demand()->set_accelerators(accelerators);
    run.mutable_demand()->set_millicores(100);
  }

  /// Repeats the owner's orders in reply to new reports, with rising sequence
  /// numbers, until a condition holds.
  void send_orders_until(const v1::ServerOrders& ordered,
                         const std::function<bool()>& condition)
  {
    kernel::Subscription order_timer =
      timers.every(kernel::Milliseconds(50), [this, ordered] {
        v1::ServerOrders repeated = ordered;
        repeated.set_sequence(++sequence);
        repeated.set_report_sequence(agent->report().sequence());
        agent->apply_orders(repeated);
      });
    run_until(condition);
  }

  /// Applies the same orders again and again, as if their delivery had been
  /// delayed, until a condition holds.
  void repeat_old_orders_until(const v1::ServerOrders& old,
                               const std::function<bool()>& condition)
  {
    kernel::Subscription order_timer =
      timers.every(kernel::Milliseconds(50), [this, old] {
        v1::ServerOrders repeated = old;
        repeated.set_sequence(++sequence);
        agent->apply_orders(repeated);
      });
    run_until(condition);
  }

  /// A condition that holds after several polls of the server.
  static std::function<bool()> after_several_polls()
  {
    std::int64_t begin_ms = kernel::boot_ms();
    return [begin_ms] { return kernel::boot_ms() - begin_ms > 800; };
  }

  bool reports(core::RunEndKind kind)
  {
    v1::ServerReport report = agent->report();
    for (const v1::EndReport& end : report.ended()) {
      if (end.kind() == static_cast<std::uint32_t>(kind))
        return true;
    }
    return false;
  }

  bool listed() { return agent->report().listed(); }
};

} // namespace geraniumhinge::tests
