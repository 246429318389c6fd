#pragma once

#include "entry/run_context.h"
#include "kernel/task.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// One non-idempotent short request. Its row names the only attempt that may
/// have run; another attempt replaces it only once the agent of the first has
/// confirmed that it never ran and never will.
class ExclusiveRun : public kernel::Task
{
public:
  /// Nothing if the request id belongs to another request.
  using Done = std::function<void(std::optional<v1::RunResponse>)>;

  ExclusiveRun(RunContext& context,
               std::string key,
               std::uint64_t hash,
               v1::RunRequest request,
               const kernel::TraceContext& trace,
               std::function<void()> ended);

  /// Waits for the outcome, at most until the caller's deadline.
  void join(kernel::Milliseconds timeout, Done done);
  void start();
  std::uint64_t body() const { return this->hash; }

private:
  struct Waiter
  {
    Done done;
    kernel::Subscription deadline;
  };

  void attempt();
  void write_attempt(PickedServer picked);
  void attempt_written(const platform::Table::CommitResult& result,
                       v1::RequestRow next);
  void dispatch();
  void replied(const peer::PeerNode::Reply& reply);
  void apply_reply(const v1::AgentRunReply& reply);
  void query();
  void query_later();
  void queried(const peer::PeerNode::Reply& reply);
  void attempt_refused();
  void read_row();
  void row_read(const platform::Table::ReadResult& result);
  void follow(v1::RequestRow row, std::uint64_t version);
  void record(v1::RunResponse response);
  void recorded(const platform::Table::CommitResult& result);
  void forget(v1::Reason reason);
  void answer(const std::optional<v1::RunResponse>& response);
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
  std::uint64_t version = 0; ///< Of the row, 0 if it does not exist.
  std::uint64_t step = 0;    ///< Attempt that replies must belong to.
  int attempts = 0;
  bool resolved = false;
  bool row_absent = false; ///< The row was read and did not exist.
  bool refusing = false;   ///< The read decides whether to answer NOT_RUN.
  std::optional<PickedServer> picked;
  std::set<std::string> tried;
  std::vector<Waiter> waiters;
  kernel::Subscription timer;
};

} // namespace geraniumhinge::entry
