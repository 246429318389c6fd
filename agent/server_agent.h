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
  kernel::Milliseconds watch{ 700 }; ///< Longest wait of one look.
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

  /// The server said that it lives. Begins to watch a new life.
  void announced(const platform::Announcement& announcement);
  /// The server said that it ends now.
  void departed(const std::string& id);

  /// Older orders, and orders for another life, start nothing.
  void apply(const v1::ServerOrders& orders);

  v1::ServerReport report();

private:
  using RunKey = std::pair<std::string, std::uint32_t>; ///< Task and attempt.

  enum class RunPhase
  {
    Waiting,  ///< For room.
    Starting, ///< The start was sent and may have had an effect.
    Started,
    Stopping,
    Stopped, ///< The server confirmed the stop; the next look decides.
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
  bool owner_heard() const;
  bool may_grant() const;
  void begin_life(const platform::Announcement& announcement);
  void look();
  std::uint64_t seen_ends() const;
  void looked(std::int64_t sent_ms,
              tl::expected<platform::WorkerLists, platform::WorkerError> lists);
  void take_lists(std::int64_t sent_ms, platform::WorkerLists lists);
  void look_failed(platform::WorkerError error);
  void fenced();
  void track_orders();
  void track_strays();
  void reconcile();
  void advance(const RunKey& key, RunTrack& run);
  bool has_room(const v1::RunOrder& order) const;
  void start(const RunKey& key, RunTrack& run);
  void started(const RunKey& key, platform::StartResult result);
  void stop(const RunKey& key, RunTrack& run);
  bool pacing() const;
  void pace_runs();
  void pace(const RunKey& key, RunTrack& run, std::uint32_t percent);
  void enter(const RunKey& key, RunTrack& run, RunPhase phase);
  bool wanted(const RunKey& key) const;
  bool asked_to_stop(const RunKey& key) const;

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::WorkerClient& worker;
  ServerAgentOptions options;
  std::function<void()> on_change;

  std::optional<platform::Announcement> server;
  std::uint64_t fencing_token;
  std::uint64_t fence_step;
  std::uint64_t life_number = 0; ///< Tells answers of an earlier life apart.
  LeaseClock lease_clock;
  platform::WorkerLists lists;
  bool listed = false; ///< The lists are those of the current life.
  bool looking = false;
  bool answering = false; ///< The last look was answered.
  bool leaving = false;   ///< The server said that it ends.
  bool replaced = false;  ///< Another life answered at its address.
  bool lease_over = false;
  int refusals = 0;              ///< Looks in a row that nobody listened to.
  std::int64_t announced_ms = 0; ///< Boot time of the last announcement.
  Pacer pacer;
  std::uint64_t stored_ends = 0;
  v1::ServerOrders orders;
  bool have_orders = false; ///< For the current life.
  std::uint64_t term = 0;
  std::int64_t owner_heard_ms = 0;
  std::map<RunKey, RunTrack> runs;
  std::uint64_t report_sequence = 0;
  kernel::Subscription look_retry;
  kernel::Subscription tick;
};

} // namespace geraniumhinge::agent
