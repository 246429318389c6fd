#pragma once

#include "core/estimate.h"
#include "core/quarantine.h"
#include "core/queue.h"
#include "core/reclaim.h"
#include "core/tuning.h"
#include "entry/convert.h"
#include "entry/driver_table.h"
#include "entry/job_stopper.h"

#include <map>
#include <set>
#include <string>

namespace geraniumhinge::entry {

/// Queue of the jobs that this entry drives and that wait for a placement. Each
/// pass gets the order and the placements from `core` and starts the drivers.
class Scheduler : public kernel::Task
{
public:
  Scheduler(const DriverContext& context,
            DriverTable& drivers,
            JobStopper& stopper);

  void start();

  void enqueue(Driver& driver);
  void dequeue(Driver& driver);
  /// Records the end of a task; failures of several jobs quarantine the server.
  void record_task_end(const std::string& server,
                       const std::string& job,
                       bool ok);

  std::size_t queued() const { return this->queue.size(); }
  std::size_t queued(const std::string& organisation);

  /// Whether the shape does not fit the registered servers even when all are
  /// idle.
  bool is_impossible(const v1::Shape& shape);

private:
  void schedule_pass();
  void run_pass();
  void place_queued(Snapshot& snapshot);
  bool place_job(Snapshot& snapshot, const core::QueueEntry& entry);
  core::Demand demand_of(const core::QueueEntry& entry);
  void assign_to_driver(Snapshot& snapshot,
                        Driver& driver,
                        const core::Demand& demand,
                        const core::Placement& placement);
  void reclaim(const Snapshot& snapshot,
               const Driver& driver,
               const core::Demand& demand);
  void commit_claims(const Driver& driver,
                     std::vector<v1::MemberPlacement> members,
                     std::int64_t until_ms,
                     std::vector<core::Victim> victims);
  void stop_victims(const std::string& job,
                    const std::vector<core::Victim>& victims);
  void reserve_for_large_job(const Snapshot& snapshot);
  /// Whether the server gets no new work.
  bool excluded(const std::string& server);
  Snapshot snapshot();
  void add_uncommitted(Snapshot& snapshot);
  std::vector<core::OrganisationShare> organisation_shares(
    const Snapshot& snapshot);
  void refresh_cells();
  /// Records the actual run time of a job that has succeeded.
  void record_run_time(const v1::Job& job);
  /// Expected run time in ms, 0 if unknown.
  std::int64_t expected_run_ms(const v1::Job& job);

  const DriverContext& context;
  DriverTable& drivers;
  JobStopper& stopper;
  core::Names names;
  core::Tuning tuning;
  core::JobQueue queue;
  core::FailureTracker failures;
  core::Estimator estimator;
  core::Policy policy;
  std::optional<core::Reservation> reservation;
  std::map<std::string, std::int64_t>
    next_plan_ms; ///< Unix time of next reclaim, by job.
  bool pass_scheduled = false;
  bool refresh_in_flight = false;
  kernel::Subscription timer;
};

} // namespace geraniumhinge::entry
