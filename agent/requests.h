#pragma once

#include "agent/settings.h"
#include "agent/slots.h"
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

/// Short requests: each runs in one slot of the backend server. Attempts of
/// non-idempotent requests are remembered, so that none runs twice and a query
/// gets a true answer.
class Requests : public kernel::Task
{
public:
  using Respond = std::function<void(v1::AgentRunReply)>;

  Requests(kernel::Loop& loop,
           kernel::Metrics& metrics,
           kernel::Tracer& tracer,
           platform::Backend& backend,
           const RequestSettings& settings,
           std::uint64_t incarnation,
           Slots& slots);

  void handle(const v1::AgentRun& run,
              const kernel::TraceContext& trace,
              Respond respond);

  /// Refuses new requests from now on.
  void leave() { this->leaving = true; }
  void set_quarantined(bool value) { this->quarantined = value; }

  std::size_t in_flight() const { return this->running; }

private:
  struct Attempt
  {
    bool running = true;
    v1::AgentRunReply reply;
    std::vector<Respond> waiting;
  };
  /// Attempts in order of the time at which something is due.
  using Due = std::deque<std::pair<std::int64_t, std::uint64_t>>;

  void answer_known(const v1::AgentRun& run, Attempt& known, Respond respond);
  void run_exclusive(const v1::AgentRun& run,
                     const kernel::TraceContext& trace,
                     Respond respond);
  bool refuses() const;
  void execute(const v1::AgentRun& run,
               const kernel::TraceContext& trace,
               Respond respond);
  void finish_attempt(std::uint64_t attempt, v1::AgentRunReply reply);
  void refuse_attempt(std::uint64_t attempt, const Respond& respond);
  void respond_with(const Respond& respond, v1::AgentRunReply reply) const;
  void prune();

  kernel::Metrics& metrics;
  kernel::Tracer& tracer;
  platform::Backend& backend;
  const RequestSettings& settings;
  std::uint64_t incarnation;
  Slots& slots;
  kernel::Counter& refusals;
  kernel::Summary& run_ms;
  std::size_t running = 0;
  bool leaving = false;
  bool quarantined = false;
  std::unordered_map<std::uint64_t, Attempt> attempts;
  Due outputs_due;
  Due attempts_due;
};

} // namespace geraniumhinge::agent
