#pragma once

#include "entry/jobs.h"
#include "entry/rows.h"
#include "tests/gateway/loop_fixture.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>

namespace geraniumhinge::tests {

using platform::TableErrorKind;

/// What happens to one commit. Unscoped, so that Boost.Test can print it.
enum CommitFault : int
{
  None,
  Unavailable,      ///< Not applied.
  AppliedAmbiguous, ///< Applied, but the result is lost forever.
  DroppedAmbiguous, ///< Not applied, and the result is lost forever.
};

/// A table in memory; callbacks run in a later iteration of the loop.
struct MemoryTable : platform::Table
{
  explicit MemoryTable(kernel::Loop& loop)
    : loop(loop)
  {
  }

  kernel::Loop& loop;
  std::map<std::string, platform::Row> rows;
  std::uint64_t last_version = 0;
  bool down = false;
  std::function<CommitFault(const platform::Transaction&)> fault;

  void read(std::vector<std::string> keys,
            std::function<void(ReadResult)> done) override
  {
    std::vector<platform::Row> found;
    found.reserve(keys.size());
    for (const std::string& key : keys)
      found.push_back(rows.contains(key) ? rows[key]
                                         : platform::Row{ key, 0, {} });
    post_result(std::move(found), std::move(done));
  }
  void scan(std::string prefix,
            std::string after,
            std::size_t limit,
            std::function<void(ReadResult)> done) override
  {
    std::vector<platform::Row> found;
    for (const auto& [key, row] : rows) {
      if (key.starts_with(prefix) && key > after && found.size() < limit)
        found.push_back(row);
    }
    post_result(std::move(found), std::move(done));
  }
  void commit(platform::Transaction transaction,
              std::function<void(CommitResult)> done) override
  {
    CommitFault kind = fault ? fault(transaction) : CommitFault::None;
    CommitResult result = error(TableErrorKind::Unavailable);
    if (!down && kind == CommitFault::DroppedAmbiguous)
      result = error(TableErrorKind::Ambiguous);
    else if (!down && kind != CommitFault::Unavailable)
      result = apply(transaction);
    if (result && kind == CommitFault::AppliedAmbiguous)
      result = error(TableErrorKind::Ambiguous);
    loop.post(
      [done = std::move(done), result = std::move(result)] { done(result); });
  }
  template<typename Message>
  Message get(const std::string& key)
  {
    Message message;
    message.ParseFromString(rows[key].value);
    return message;
  }

private:
  static tl::unexpected<platform::TableError> error(TableErrorKind kind)
  {
    return tl::unexpected(platform::TableError{ kind, {}, 0 });
  }
  void post_result(std::vector<platform::Row> found,
                   std::function<void(ReadResult)> done)
  {
    ReadResult result = std::move(found);
    if (down)
      result = error(TableErrorKind::Unavailable);
    loop.post(
      [done = std::move(done), result = std::move(result)] { done(result); });
  }
  CommitResult apply(const platform::Transaction& transaction)
  {
    for (const platform::RowCheck& check : transaction.checks) {
      std::uint64_t version =
        rows.contains(check.key) ? rows[check.key].version : 0;
      if (version != check.version)
        return tl::unexpected(
          platform::TableError{ TableErrorKind::Conflict, check.key, version });
    }
    std::vector<std::uint64_t> versions;
    for (const platform::RowWrite& write : transaction.writes) {
      if (write.value)
        rows[write.key] = { write.key, ++last_version, *write.value };
      else
        rows.erase(write.key);
      versions.push_back(write.value ? last_version : 0);
    }
    return versions;
  }
};

/// Agents behind a transport that can lose requests and replies. Tasks run
/// until the test ends them; the output of a short request is its input.
struct FakeAgents
{
  using MemberId = std::tuple<std::string, std::uint32_t, std::uint32_t>;

  FakeAgents(kernel::Loop& loop, kernel::TimerService& timers)
    : loop(loop)
    , timers(timers)
  {
  }

  kernel::Loop& loop;
  kernel::TimerService& timers;
  std::map<std::string, std::uint64_t> incarnations; ///< By address.
  std::map<MemberId, v1::MemberState> members;
  std::map<std::string, int> starts; ///< Generations that started, by job.
  std::set<std::string> succeed;     ///< Jobs whose started members succeed.
  std::map<std::uint64_t, std::string> attempts; ///< Short requests that ran.
  std::set<std::uint64_t> refused;
  bool outcomes_unknown = false; ///< Each short request crashes its server.
  std::function<bool(const std::string&, const v1::Envelope&)> lose_request;
  std::function<bool(const std::string&, const v1::Envelope&)> lose_reply;
  std::function<void(const v1::Envelope&)> on_message;
  std::vector<kernel::Subscription> timeouts;
  int acks = 0;

  entry::Transport transport()
  {
    entry::Transport result;
    result.send = [this](const std::string& address,
                         const v1::Envelope& envelope) {
      handle(address, envelope);
    };
    result.request = [this](const std::string& address,
                            const v1::Envelope& envelope,
                            kernel::Milliseconds timeout,
                            peer::PeerNode::ReplyCallback done) {
      request(address, envelope, timeout, std::move(done));
    };
    result.reply = [this](const v1::Envelope&, const v1::Envelope& reply) {
      acks += reply.has_ack() ? 1 : 0;
    };
    return result;
  }

  bool overlapping() const
  {
    std::map<std::string, std::set<std::uint32_t>> running;
    for (const auto& [id, state] : members) {
      if (state == v1::MEMBER_STATE_STARTED)
        running[std::get<0>(id)].insert(std::get<1>(id));
    }
    for (const auto& [job, generations] : running) {
      if (generations.size() > 1)
        return true;
    }
    return false;
  }

private:
  void request(const std::string& address,
               const v1::Envelope& envelope,
               kernel::Milliseconds timeout,
               peer::PeerNode::ReplyCallback done)
  {
    bool lost = !incarnations.contains(address) ||
                (lose_request && lose_request(address, envelope));
    v1::Envelope reply;
    if (!lost)
      reply = handle(address, envelope);
    lost = lost || (lose_reply && lose_reply(address, envelope));
    if (lost)
      timeouts.push_back(timers.after(timeout, [done = std::move(done)] {
        done(tl::unexpected(peer::PeerError::TimedOut));
      }));
    else
      loop.post([done = std::move(done), reply] { done(reply); });
  }

  static MemberId id_of(const v1::MemberKey& key)
  {
    return { key.job(), key.generation(), key.member() };
  }

  v1::MemberState state_of(const std::string& address, const v1::MemberKey& key)
  {
    if (key.incarnation() != incarnations[address])
      return v1::MEMBER_STATE_OTHER_INCARNATION;
    v1::MemberState& state = members[id_of(key)];
    if (state == v1::MEMBER_STATE_UNSPECIFIED)
      state = v1::MEMBER_STATE_NEVER_STARTED;
    if (state == v1::MEMBER_STATE_STARTED && succeed.contains(key.job()))
      state = v1::MEMBER_STATE_DONE;
    return state;
  }

  v1::Envelope handle(const std::string& address, const v1::Envelope& envelope)
  {
    if (on_message)
      on_message(envelope);
    v1::Envelope reply;
    if (envelope.has_prepare()) {
      const v1::MemberKey& key = envelope.prepare().key();
      bool fits = key.incarnation() == incarnations[address] &&
                  !members.contains(id_of(key));
      if (fits)
        members[id_of(key)] = v1::MEMBER_STATE_HELD;
      reply.mutable_prepare_reply()->set_result(
        fits ? v1::PREPARE_RESULT_HELD : v1::PREPARE_RESULT_STALE);
    } else if (envelope.has_release()) {
      v1::MemberState& state = members[id_of(envelope.release().key())];
      if (state != v1::MEMBER_STATE_STARTED)
        state = v1::MEMBER_STATE_NEVER_STARTED;
    } else if (envelope.has_start()) {
      reply.mutable_start_reply()->set_state(
        start(address, envelope.start().key()));
    } else if (envelope.has_stop()) {
      reply.mutable_stop_reply()->set_state(
        stop(address, envelope.stop().key()));
    } else if (envelope.has_query_member()) {
      query(address, envelope.query_member().key(), reply);
    } else if (envelope.has_agent_run()) {
      run(address, envelope.agent_run(), reply);
    }
    return reply;
  }

  v1::MemberState start(const std::string& address, const v1::MemberKey& key)
  {
    v1::MemberState state = state_of(address, key);
    if (state != v1::MEMBER_STATE_HELD)
      return state;
    starts[key.job()] += key.member() == 0 ? 1 : 0;
    return members[id_of(key)] = v1::MEMBER_STATE_STARTED;
  }

  v1::MemberState stop(const std::string& address, const v1::MemberKey& key)
  {
    v1::MemberState state = state_of(address, key);
    if (state == v1::MEMBER_STATE_HELD)
      members[id_of(key)] = state = v1::MEMBER_STATE_NEVER_STARTED;
    if (state == v1::MEMBER_STATE_STARTED)
      members[id_of(key)] = state = v1::MEMBER_STATE_STOPPED;
    return state;
  }

  void query(const std::string& address,
             const v1::MemberKey& key,
             v1::Envelope& reply)
  {
    v1::MemberStatus& status = *reply.mutable_member_status();
    status.set_state(state_of(address, key));
    if (status.state() != v1::MEMBER_STATE_DONE)
      return;
    *status.mutable_done()->mutable_key() = key;
    status.mutable_done()->set_ran(true);
    status.mutable_done()->set_outcome(v1::OUTCOME_SUCCEEDED);
  }

  void run(const std::string& address,
           const v1::AgentRun& run,
           v1::Envelope& reply)
  {
    v1::AgentRunReply& run_reply = *reply.mutable_agent_run_reply();
    bool other_incarnation =
      run.incarnation() != 0 && run.incarnation() != incarnations[address];
    bool known = attempts.contains(run.attempt());
    if (other_incarnation)
      run_reply.set_result(run.query_only() ? v1::AGENT_RUN_RESULT_UNKNOWN
                                            : v1::AGENT_RUN_RESULT_REFUSED);
    else if (!known && (run.query_only() || refused.contains(run.attempt())))
      refused.insert(run.attempt());
    else if (!known)
      attempts[run.attempt()] = run.input();
    if (!other_incarnation && !attempts.contains(run.attempt()))
      run_reply.set_result(v1::AGENT_RUN_RESULT_REFUSED);
    if (other_incarnation || !attempts.contains(run.attempt()))
      return;
    run_reply.set_result(outcomes_unknown ? v1::AGENT_RUN_RESULT_UNKNOWN
                                          : v1::AGENT_RUN_RESULT_DONE);
    run_reply.set_output(attempts[run.attempt()]);
  }
};

inline entry::EntrySettings
fast_settings()
{
  entry::EntrySettings settings =
    *entry::read_settings(nlohmann::json::parse(R"({
      "name": "e1", "zone": "z1", "http": {"listen": "127.0.0.1:1"},
      "peer": {"listen": "127.0.0.1:2"},
      "store": {"table_url": "u", "objects_url": "u", "retry_ms": 20},
      "requests": {"attempt_timeout_ms": 30},
      "jobs": {"prepare_timeout_ms": 30, "hold_ms": 500, "lease_ms": 500,
               "orphan_ms": 1000, "member_poll_ms": 100, "stop_grace_ms": 0,
               "schedule_ms": 20}})"));
  return settings;
}

inline v1::EntryRow
entry_row(const std::string& name)
{
  v1::EntryRow row;
  row.set_name(name);
  row.set_incarnation(kernel::random_id());
  return row;
}

/// The tasks of one entry for jobs. Entries share the table and the agents.
struct EntryNode
{
  EntryNode(kernel::Loop& loop,
            kernel::TimerService& timers,
            MemoryTable& table,
            FakeAgents& agents,
            const v1::Configuration& configuration,
            const std::string& name)
    : settings(fast_settings())
    , cell_cache(loop, timers, log, metrics, table, kernel::Milliseconds(50))
    , membership(loop,
                 timers,
                 log,
                 table,
                 agents.transport(),
                 settings,
                 entry_row(name))
    , fleet(loop,
            timers,
            log,
            metrics,
            settings,
            agents.transport(),
            membership,
            cell_cache,
            [&configuration]() -> const v1::Configuration& {
              return configuration;
            })
    , context{ loop,
               timers,
               log,
               metrics,
               tracer,
               table,
               cell_cache,
               fleet,
               agents.transport(),
               settings,
               [&configuration]() -> const v1::Configuration& {
                 return configuration;
               },
               [&table] { return table.rows[entry::CONFIG_KEY].version; },
               [] {},
               [] { return false; } }
    , drivers(context, membership)
    , stopper(context, drivers)
    , scheduler(context, drivers, stopper)
    , takeover(context, membership, drivers)
    , jobs(context, membership, drivers, scheduler, stopper, takeover)
  {
    entry::DriverHooks hooks;
    hooks.enqueue = [this](entry::Driver& driver) {
      this->scheduler.enqueue(driver);
    };
    hooks.dequeue = [this](entry::Driver& driver) {
      this->scheduler.dequeue(driver);
    };
    hooks.task_ended =
      [this](const std::string& server, const std::string& job, bool ok) {
        this->scheduler.record_task_end(server, job, ok);
      };
    drivers.set_hooks(std::move(hooks));
    cell_cache.start([this] { this->scheduler.start(); });
  }

  entry::EntrySettings settings;
  kernel::Log log{ "test", kernel::Severity::Error };
  kernel::Metrics metrics;
  kernel::Tracer tracer{ "test", "" };
  entry::CellCache cell_cache;
  entry::Membership membership;
  entry::Fleet fleet;
  entry::DriverContext context;
  entry::DriverTable drivers;
  entry::JobStopper stopper;
  entry::Scheduler scheduler;
  entry::Takeover takeover;
  entry::JobApi jobs;
};

/// A table with one cell of three backend servers, their agents, and one
/// organisation.
struct EntryFixture : LoopFixture
{
  MemoryTable table{ loop };
  FakeAgents agents{ loop, timers };
  v1::Configuration configuration;

  EntryFixture()
  {
    configuration.set_version(1);
    configuration.add_organisations()->set_name("org1");
    v1::CellRow cell;
    cell.set_zone("z1");
    for (int index = 1; index <= 3; ++index) {
      v1::Member& member = *cell.add_members();
      member.set_server("s" + std::to_string(index));
      member.set_incarnation(index);
      member.set_agent_address("a" + std::to_string(index));
      member.set_rack("r1");
      member.set_accelerators(8);
      member.set_slots(8);
      member.set_cores(32);
      member.set_memory_mb(1024);
      member.set_state(v1::SERVER_STATE_READY);
      agents.incarnations[member.agent_address()] = index;
    }
    table.rows["cell/z1"] = { "cell/z1", 1, cell.SerializeAsString() };
    table.last_version = 1;
  }

  std::unique_ptr<EntryNode> node(const std::string& name)
  {
    return std::make_unique<EntryNode>(
      loop, timers, table, agents, configuration, name);
  }

  static v1::SubmitJobRequest job_request(std::uint32_t members,
                                          bool idempotent)
  {
    v1::SubmitJobRequest request;
    request.set_request_id("r1");
    request.mutable_spec()->mutable_shape()->set_members(members);
    request.mutable_spec()->mutable_shape()->set_accelerators(8);
    request.mutable_spec()->set_idempotent(idempotent);
    return request;
  }

  /// Submits a job and returns its id, or "refused".
  std::string submit(EntryNode& node, const v1::SubmitJobRequest& request)
  {
    std::string id;
    this->run_until([&] { return !node.cell_cache.all().empty(); });
    node.jobs.submit(
      { "caller", "org1", false },
      {},
      request,
      [&id](tl::expected<v1::SubmitJobResponse, gateway::CallError> result) {
        id = result ? result->job().id() : "refused";
      });
    this->run_until([&] { return !id.empty(); });
    return id;
  }

  v1::Job job(const std::string& id)
  {
    return this->table.get<v1::JobRow>(entry::job_key(id)).job();
  }

  void run_until_done(const std::string& id)
  {
    this->run_until([&] {
      BOOST_REQUIRE(!this->agents.overlapping());
      return this->job(id).state() == v1::JOB_STATE_DONE;
    });
    v1::CellRow cell = this->table.get<v1::CellRow>("cell/z1");
    BOOST_TEST(cell.allocations_size() == 0);
    BOOST_TEST(!this->table.rows.contains(entry::open_key(id)));
  }
};

} // namespace geraniumhinge::tests
