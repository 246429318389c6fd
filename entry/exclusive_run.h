#pragma once

#include "entry/run_context.h"
#include "kernel/task.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// One non-idempotent short request. Its row names the only attempt that may
/// have run. A new attempt replaces the old one only after the old one's agent
/// has confirmed that the old attempt has not run and never will.
class ExclusiveRun : public kernel::Task
{
public:
  /// Gets nothing if the request id belongs to a different request.
  using Done = std::function<void(std::optional<v1::RunResponse>)>;

  ExclusiveRun(RunContext& context,
               std::string key,
               std::uint64_t hash,
               v1::RunRequest request,
               const kernel::TraceContext& trace,
               std::function<void()> ended);

  /// Adds a caller that waits for the outcome for at most `timeout`.
  void join(kernel::Milliseconds timeout, Done done);
  void start();
  std::uint64_t request_hash() const { return this->hash; }

private:
  struct Waiter
  {
    Done done;
    kernel::Subscription deadline;
  };

  void start_attempt();
  void write_attempt(PickedServer picked);
  void handle_attempt_commit(const platform::Table::CommitResult& result,
                             v1::RequestRow next);
  void dispatch();
  void handle_dispatch_reply(const peer::PeerNode::Reply& reply);
  void apply_reply(const v1::AgentRunReply& reply);
  void query();
  void schedule_query();
  void handle_query_reply(const peer::PeerNode::Reply& reply);
  void handle_refusal();
  void read_row();
  void handle_row(const platform::Table::ReadResult& result);
  void continue_from_row(v1::RequestRow row, std::uint64_t version);
  void record_outcome(v1::RunResponse response);
  void handle_record_commit(const platform::Table::CommitResult& result);
  void refuse(v1::Reason reason);
  void respond(const std::optional<v1::RunResponse>& response);
  void end();
  kernel::Milliseconds remaining() const;
  v1::Envelope envelope(bool query_only) const;

  RunContext& context;
  std::string key;
  std::uint64_t hash;
  v1::RunRequest request;
  std::function<void()> ended;
  kernel::Span span;
  std::int64_t deadline_ms;
  v1::RequestRow row;
  std::uint64_t version = 0;        ///< Of the row, 0 if it does not exist.
  std::uint64_t attempt_number = 0; ///< Replies to earlier ones are dropped.
  int attempts = 0;
  bool resolved = false;
  bool row_absent = false;         ///< The row was read and did not exist.
  bool confirming_absence = false; ///< Reads the row before NOT_RUN.
  std::optional<PickedServer> picked;
  std::set<std::string> tried_servers;
  std::vector<Waiter> waiters;
  kernel::Subscription timer;
};

} // namespace geraniumhinge::entry
