#pragma once

#include "agent/allocated_resources.h"
#include "agent/settings.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/trace.h"
#include "platform/backend.h"

#include "geraniumhinge/v1/peer.pb.h"

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace geraniumhinge::agent {

/// Runs short requests, each in one slot of the backend server. Attempts of
/// non-idempotent requests are recorded, so that no attempt runs twice and a
/// query gets the correct result.
class Requests : public kernel::Task
{
public:
  using ReplyCallback = std::function<void(v1::AgentRunReply)>;

  Requests(kernel::Loop& loop,
           kernel::Metrics& metrics,
           kernel::Tracer& tracer,
           platform::Backend& backend,
           const RequestSettings& settings,
           std::uint64_t incarnation,
           AllocatedResources& allocated);

  void handle(const v1::AgentRun& run,
              const kernel::TraceContext& trace,
              ReplyCallback reply_callback);

  /// Refuses new requests from now on.
  void leave() { this->leaving = true; }
  void set_quarantined(bool value) { this->quarantined = value; }

  std::size_t in_flight() const { return this->running; }

private:
  struct Attempt
  {
    bool running = true;
    v1::AgentRunReply reply;
    std::vector<ReplyCallback> waiting_callbacks;
  };
  /// Expiry times in milliseconds on the boot clock, and attempts, in order.
  using Expiries = std::deque<std::pair<std::int64_t, std::uint64_t>>;

  void reply_for_known_attempt(const v1::AgentRun& run,
                               Attempt& known,
                               ReplyCallback reply_callback);
  void run_exclusive(const v1::AgentRun& run,
                     const kernel::TraceContext& trace,
                     ReplyCallback reply_callback);
  bool refuses() const;
  void execute(const v1::AgentRun& run,
               const kernel::TraceContext& trace,
               ReplyCallback reply_callback);
  void finish_attempt(std::uint64_t attempt, v1::AgentRunReply reply);
  void refuse_attempt(std::uint64_t attempt,
                      const ReplyCallback& reply_callback);
  void send_reply(const ReplyCallback& reply_callback,
                  v1::AgentRunReply reply) const;
  void remove_expired();

  kernel::Metrics& metrics;
  kernel::Tracer& tracer;
  platform::Backend& backend;
  const RequestSettings& settings;
  std::uint64_t incarnation;
  AllocatedResources& allocated;
  kernel::Counter& refused_count;
  kernel::Summary& request_ms;
  std::size_t running = 0;
  bool leaving = false;
  bool quarantined = false;
  std::unordered_map<std::uint64_t, Attempt> attempts;
  Expiries output_expiries;
  Expiries attempt_expiries;
};

} // namespace geraniumhinge::agent
