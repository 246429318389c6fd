#pragma once

#include "agent/lease_clock.h"
#include "agent/pacer.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/backend_worker.h"

#include "geraniumhinge/v1/peer.pb.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::agent {

struct ServerAgentOptions
{
  std::string node;
  kernel::Milliseconds lease{ 3'000 };
  kernel::Milliseconds max_lease{ 6'000 }; ///< The server shortens longer ones.
  /// How long the lease is renewed without a word from the owner.
  kernel::Milliseconds orphan{ 4'000 };
  kernel::Milliseconds poll_wait{ 700 }; ///< Longest wait of one poll.
};

/// Carries out the owner's orders on one backend server: starts and stops
/// runs, renews their lease, and keeps their ends until they are stored. What
/// runs there is adopted after a restart of the agent.
class ServerAgent : public kernel::Task
{
public:
  ServerAgent(kernel::Loop& loop,
              kernel::TimerService& timers,
              const kernel::Log& log,
              kernel::Metrics& metrics,
              platform::WorkerClient& worker,
              ServerAgentOptions options,
              std::function<void()> on_change);

  /// The server said that it lives. Begins to watch a new instance.
  void apply_announcement(const platform::Announcement& announcement);
  /// The server said that it ends now.
  void apply_departure(const std::string& id);

  /// Older orders, and orders for another instance, start nothing.
  void apply(const v1::ServerOrders& orders);

  v1::ServerReport report();

private:
  using RunKey = std::pair<std::string, std::uint32_t>; ///< Task and attempt.

  enum class RunPhase
  {
    Waiting,  ///< For capacity.
    Starting, ///< The start was sent and may have had an effect.
    Started,
    Stopping,
    Stopped, ///< The server confirmed the stop; the next poll decides.
    Absent,  ///< Not there, and never will be.
  };

  struct RunTrack
  {
    RunPhase phase = RunPhase::Waiting;
    v1::RunOrder order;
    bool calling = false;
    bool attempted = false;      ///< A start was sent.
    std::int64_t since_ms = 0;   ///< Of the phase.
    std::int64_t retry_ms = 0;   ///< Not called before.
    bool listed = false;         ///< Seen in the server's list.
    std::uint32_t percent = 100; ///< Pace that it was last given.
    bool pacing = false;         ///< A change of its pace is under way.
  };

  platform::WorkerTarget target() const;
  bool usable() const;
  bool owner_seen_lately() const;
  bool may_renew_lease() const;
  void begin_instance(const platform::Announcement& announcement);
  void poll_server();
  std::uint64_t acknowledged_ends() const;
  void poll_answered(
    std::int64_t sent_ms,
    tl::expected<platform::WorkerLists, platform::WorkerError> lists);
  void apply_lists(std::int64_t sent_ms, platform::WorkerLists lists);
  void poll_failed(platform::WorkerError error);
  void raise_fencing_token();
  void track_orders();
  void track_unordered_runs();
  void reconcile();
  void advance(const RunKey& key, RunTrack& run);
  bool has_capacity(const v1::RunOrder& order) const;
  void start(const RunKey& key, RunTrack& run);
  void started(const RunKey& key, platform::StartResult result);
  void stop(const RunKey& key, RunTrack& run);
  bool pacing() const;
  void pace_runs();
  void pace(const RunKey& key, RunTrack& run, std::uint32_t percent);
  void enter(const RunKey& key, RunTrack& run, RunPhase phase);
  bool is_ordered(const RunKey& key) const;
  bool stop_is_ordered(const RunKey& key) const;

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::WorkerClient& worker;
  ServerAgentOptions options;
  std::function<void()> on_change;

  std::optional<platform::Announcement> server;
  std::uint64_t fencing_token;
  std::uint64_t fence_step;
  /// Tells answers of an earlier instance apart.
  std::uint64_t instance_number = 0;
  LeaseClock lease_clock;
  platform::WorkerLists lists;
  bool listed = false; ///< The lists are those of the current instance.
  bool poll_in_flight = false;
  bool answering = false; ///< The last poll was answered.
  bool leaving = false;   ///< The server said that it ends.
  bool replaced = false;  ///< Another instance answered at its address.
  bool lease_over = false;
  int refused_polls = 0;         ///< Polls in a row that nobody listened to.
  std::int64_t announced_ms = 0; ///< Boot time of the last announcement.
  Pacer pacer;
  std::uint64_t stored_ends = 0;
  v1::ServerOrders orders;
  bool have_orders = false; ///< For the current instance.
  std::uint64_t term = 0;
  std::int64_t owner_last_seen_ms = 0;
  std::map<RunKey, RunTrack> runs;
  std::uint64_t report_sequence = 0;
  kernel::Subscription poll_retry;
  kernel::Subscription tick;
};

} // namespace geraniumhinge::agent
