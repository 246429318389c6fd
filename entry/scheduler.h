#pragma once

#include "core/estimate.h"
#include "core/quarantine.h"
#include "core/queue.h"
#include "core/reclaim.h"
#include "core/tuning.h"
#include "entry/convert.h"
#include "entry/driver_table.h"
#include "entry/stopper.h"

#include <map>
#include <set>
#include <string>

namespace geraniumhinge::entry {

/// The queue of jobs that this entry drives and that wait for a place. Each
/// pass asks `core` for the order and the places and hands them to drivers.
class Scheduler : public kernel::Task
{
public:
  Scheduler(const DriverContext& context,
            DriverTable& drivers,
            Stopper& stopper);

  void start();

  void enqueue(Driver& driver);
  void dequeue(Driver& driver);
  /// A task ended on a server; failures of several jobs quarantine it.
  void record_task_end(const std::string& server,
                       const std::string& job,
                       bool ok);

  std::size_t queued() const { return this->queue.size(); }
  std::size_t queued(const std::string& organisation);

  /// Whether no fleet of the registered servers could ever hold the shape.
  bool is_impossible(const v1::Shape& shape);

private:
  void schedule_pass();
  void pass();
  void place_queued(Snapshot& snapshot);
  bool place_one(Snapshot& snapshot, const core::QueueEntry& entry);
  core::Demand demand_of(const core::QueueEntry& entry);
  void assign_to_driver(Snapshot& snapshot,
                        Driver& driver,
                        const core::Demand& demand,
                        const core::Placement& placement);
  void reclaim(const Snapshot& snapshot,
               const Driver& driver,
               const core::Demand& demand);
  void claim(const Driver& driver,
             std::vector<v1::MemberPlacement> members,
             std::int64_t until_ms,
             std::vector<core::Victim> victims);
  void stop_victims(const std::string& job,
                    const std::vector<core::Victim>& victims);
  void reserve(const Snapshot& snapshot);
  bool withheld(const std::string& server);
  Snapshot snapshot();
  void add_uncommitted(Snapshot& snapshot);
  std::vector<core::OrganisationShare> shares(const Snapshot& snapshot);
  void refresh_blocked();
  /// Learns the actual run time of a job that has succeeded.
  void record_run_time(const v1::Job& job);
  /// Expected run time in ms, 0 if unknown.
  std::int64_t expected_run_ms(const v1::Job& job);

  const DriverContext& context;
  DriverTable& drivers;
  Stopper& stopper;
  core::Names names;
  core::Tuning tuning;
  core::JobQueue queue;
  core::FailureTracker failures;
  core::Estimator estimator;
  core::Policy policy;
  std::optional<core::Reservation> reservation;
  std::map<std::string, std::int64_t> claimed_ms; ///< Job to its next plan.
  bool pass_scheduled = false;
  bool refreshing = false;
  kernel::Subscription timer;
};

} // namespace geraniumhinge::entry
