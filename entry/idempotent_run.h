#pragma once

#include "entry/run_context.h"
#include "kernel/task.h"

#include <functional>
#include <set>
#include <string>

namespace geraniumhinge::entry {

/// One idempotent short request. If a server does not reply in time, the
/// request is also sent to another server; the first reply counts.
class IdempotentRun : public kernel::Task
{
public:
  using Done = std::function<void(v1::RunResponse)>;

  IdempotentRun(RunContext& context,
                v1::RunRequest request,
                const kernel::TraceContext& trace,
                Done done);

  void start();

private:
  void dispatch();
  void send(const PickedServer& picked);
  void handle_reply(const PickedServer& picked,
                    const peer::PeerNode::Reply& reply);
  void attempt_timed_out(const std::string& server, std::int64_t sent_ms);
  void try_another_server();
  void record_lost_attempt();
  void retry_after_delay();
  void give_up(v1::Reason reason);
  void finish(v1::RunResponse response);
  kernel::Milliseconds remaining() const;

  RunContext& context;
  v1::RunRequest request;
  Done done;
  kernel::Span span;
  std::int64_t deadline_ms;
  int attempts = 0;
  int lost_attempts = 0; ///< Attempts without a known outcome.
  int missing_replies = 0;
  std::uint32_t busy_retries = 0;
  bool may_have_run = false;
  std::set<std::string> tried_servers;
  kernel::Subscription attempt_timer;
  kernel::Subscription retry_timer;
  kernel::Subscription deadline_timer;
};

} // namespace geraniumhinge::entry
