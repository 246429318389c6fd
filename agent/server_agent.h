#pragma once

#include "agent/crash_log.h"
#include "agent/instance_change.h"
#include "agent/lease_clock.h"
#include "agent/pacer.h"
#include "agent/report_log.h"
#include "kernel/event_limit.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/server_client.h"

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
  std::string service;           ///< Of the backend server; empty if not known.
  std::uint64_t incarnation = 0; ///< Of this process.
  kernel::Milliseconds lease{ 3'000 };
  /// The server shortens longer leases.
  kernel::Milliseconds max_lease{ 6'000 };
  /// Leases are renewed for this long after the last report that the owner has
  /// replied to was sent.
  kernel::Milliseconds orphan_timeout{ 4'000 };
  kernel::Milliseconds poll_wait{ 700 }; ///< Longest wait of one poll.
  /// Time between two announcements of the server.
  kernel::Milliseconds heartbeat_period{ 1'500 };
  /// Runs start only on orders that reply to a recent report, because the zone
  /// may be evacuated.
  bool limit_order_age = false;
};

/// Why an announcement is ignored.
enum class IgnoreReason
{
  Instance,    ///< It names another instance; the current one answers.
  Description, ///< It contradicts what the instance announced before.
};

inline constexpr NamedValue<IgnoreReason> IGNORE_REASON_NAMES[] = {
  { IgnoreReason::Instance, "instance" },
  { IgnoreReason::Description, "description" },
};

/// Carries out the owner's orders on one backend server: starts and stops
/// runs, renews their lease, and reports their ends until the owner has stored
/// them. After a restart, the agent adopts the runs that it finds on the
/// server.
class ServerAgent : public kernel::Task
{
public:
  ServerAgent(kernel::Loop& loop,
              kernel::TimerService& timers,
              const kernel::Log& log,
              kernel::Metrics& metrics,
              platform::ServerClient& server_client,
              ServerAgentOptions options,
              std::function<void()> on_change);

  /// Applies an announcement of the server. The first one starts to poll its
  /// instance. One that names another instance starts over with that, but only
  /// once the current instance has ended by its own response, or silently for
  /// longer than its leases.
  void apply_announcement(const platform::Announcement& announcement);
  /// Records that the server with this identifier is shutting down.
  void apply_departure(const std::string& id);

  /// Applies the owner's orders. Orders with an earlier term are ignored; those
  /// with the same term and no higher sequence number show only that the owner
  /// is alive. Orders for another instance start and stop nothing, nor do
  /// orders from before a report that all runs have ended.
  void apply_orders(const v1::ServerOrders& orders);

  /// Builds the next report to the owner.
  v1::ServerReport report();

private:
  using RunKey = std::pair<std::string, std::uint32_t>; ///< Task and attempt.

  enum class RunPhase
  {
    Waiting,  ///< For free resources.
    Starting, ///< A start request was sent; its effect is ambiguous.
    Started,
    Stopping,
    Stopped, ///< The server confirmed the stop; the next poll shows the end.
    NeverStarted, ///< Not on the server, and will never start there.
  };

  struct TrackedRun
  {
    RunPhase phase = RunPhase::Waiting;
    v1::RunOrder order;
    bool call_in_flight = false; ///< A start or stop request.
    bool start_sent = false;
    bool ticket_rejected = false; ///< By the server, at the last start.
    /// Boot time of the first start request, 0 if this process sent none.
    std::int64_t first_start_ms = 0;
    std::int64_t phase_started_ms = 0;
    std::int64_t next_call_ms = 0;    ///< Earliest time of the next request.
    bool seen_on_server = false;      ///< Listed by a poll of this instance.
    std::uint32_t pace_percent = 100; ///< Last one that the server accepted.
    bool pace_call_in_flight = false;
  };

  /// The checkpoint, or an empty one if it is too long for a report.
  std::string reported_checkpoint(const std::string& checkpoint);
  platform::ServerTarget target() const;
  bool state_is_known() const;
  /// Whether no run is left on the server while its state isn't known: the
  /// instance may have leases of its predecessor's runs that started late, and
  /// an announcement of another writer does not end the predecessor.
  bool unknown_leases_expired() const;
  bool owner_seen_lately() const;
  bool orders_allow_starts() const;
  bool may_renew_lease() const;
  std::int64_t grant_lease(std::int64_t now_ms);
  std::int64_t no_lease_ms(std::int64_t now_ms) const;
  void record_owner_reply(const v1::ServerOrders& orders);
  void discard_orders();
  std::set<RunKey> unconfirmed_starts() const;
  bool stray_runs_remain();
  bool may_be_on_server(const TrackedRun& run) const;
  void record_crash();
  bool is_other_instance(const platform::ServerTaskLists& lists) const;
  void update_instance(const platform::Announcement& announcement);
  void check_announced_instance(const platform::Announcement& announcement);
  void schedule_check(std::int64_t delay_ms);
  void check_current_instance();
  InstanceState state_shown_by(
    const tl::expected<platform::ServerTaskLists, platform::ServerError>&
      result) const;
  void judge_announced(InstanceState state);
  bool is_own_service(const platform::Announcement& announcement) const;
  void ignore_announcement(const platform::Announcement& announcement,
                           IgnoreReason reason);
  void begin_instance(const platform::Announcement& announcement);
  kernel::Milliseconds longest_poll_wait() const;
  void poll_server();
  std::uint64_t acknowledged_ends() const;
  void log_acknowledgement(std::uint64_t number);
  void poll_answered(
    std::int64_t sent_ms,
    tl::expected<platform::ServerTaskLists, platform::ServerError> lists);
  void apply_lists(std::int64_t sent_ms, platform::ServerTaskLists lists);
  void poll_failed(platform::ServerError error, std::int64_t sent_ms);
  void handle_refused_token(std::uint64_t token);
  void track_orders();
  void track_unordered_runs();
  void reconcile();
  void advance_run(const RunKey& key, TrackedRun& run);
  std::int64_t announcement_age_ms() const;
  bool announcement_is_recent() const;
  bool has_capacity(const RunKey& key, const TrackedRun& run) const;
  void start_run(const RunKey& key, TrackedRun& run);
  void handle_start_result(const RunKey& key, platform::StartResult result);
  void stop_run(const RunKey& key, TrackedRun& run);
  bool must_pace() const;
  void update_pace();
  void set_pace(const RunKey& key, TrackedRun& run, std::uint32_t percent);
  static void set_phase(TrackedRun& run, RunPhase phase);
  bool is_ordered(const RunKey& key) const;
  bool stop_is_ordered(const RunKey& key) const;

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::ServerClient& server_client;
  ServerAgentOptions options;
  std::function<void()> on_change;

  std::optional<platform::Announcement> server;
  /// Last announcement of another instance, until the current one is checked.
  std::optional<platform::Announcement> announced;
  bool check_in_flight = false;
  std::int64_t checked_ms = 0; ///< Boot time of the last check's end.
  kernel::Subscription check_retry;
  kernel::EventLimit ignored_announcements;
  std::uint64_t fencing_token;
  std::uint64_t fencing_token_step;
  /// Raised for each new instance. Responses to calls that were sent with
  /// another number are dropped.
  std::uint64_t instance_number = 0;
  LeaseClock lease_clock;
  std::int64_t started_ms = 0;    ///< Boot time of the start of this process.
  bool has_granted_lease = false; ///< This process has, to any instance.
  platform::ServerTaskLists lists;
  bool lists_known = false; ///< `lists` are from the current instance.
  bool poll_in_flight = false;
  bool answering = false; ///< The last poll was answered.
  /// A poll did not renew the lease, which may have expired since.
  bool renewal_interrupted = false;
  bool leaving = false;           ///< The server announced its shutdown.
  bool instance_replaced = false; ///< Another instance answered at its address.
  /// No run is left: every lease has expired or the instance has ended.
  bool leases_expired = false;
  /// Consecutive polls whose connection was refused.
  int refused_polls = 0;
  /// Time limit of the last poll.
  kernel::Milliseconds poll_timeout{ 0 };
  /// Boot time from which the server may have been silent: of the first failed
  /// poll after the last answer, or of its sending if it got no response.
  std::int64_t silent_since_ms = 0;
  CrashLog crash_log;
  /// Boot time at which the last announcement arrived.
  std::int64_t announced_ms = 0;
  Pacer pacer;
  /// Ends up to this number are stored by the owner.
  std::uint64_t stored_ends = 0;
  std::uint64_t last_acknowledged_end = 0; ///< To the server.
  v1::ServerOrders orders;
  /// Boot time at which the report was sent to which `orders` reply; 0 if not
  /// known.
  std::int64_t orders_report_ms = 0;
  /// `orders` are for this instance and not discarded.
  bool orders_are_current = false;
  std::uint64_t term = 0; ///< Of the owner.
  ReportLog reports;
  /// Orders that reply to an earlier report are not carried out.
  std::uint64_t first_valid_report = 0;
  /// Boot time at which the last report with a reply was sent.
  std::int64_t owner_last_seen_ms = 0;
  std::map<RunKey, TrackedRun> runs;
  /// Runs whose start may have reached this instance although it was meant for
  /// the one before. The instance is reported only after they have ended.
  std::set<RunKey> stray_runs;
  kernel::Subscription poll_retry;
  kernel::Subscription reconcile_timer;
};

} // namespace geraniumhinge::agent
