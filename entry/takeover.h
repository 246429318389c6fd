#pragma once

#include "entry/driver_table.h"
#include "entry/membership.h"
#include "entry/settings.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/table.h"

#include "geraniumhinge/v1/peer.pb.h"

#include <map>
#include <string>

namespace geraniumhinge::entry {

/// Decides which open jobs this entry drives: those it accepted, and those of
/// entries that are down. A JobNotice names a job that this entry takes over as
/// soon as the job's driver is down; scans of the index find the other jobs.
class Takeover : public kernel::Task
{
public:
  Takeover(const DriverContext& context,
           Membership& membership,
           DriverTable& drivers);

  /// Scans the index of open jobs and starts the periodic scans.
  void start();

  /// Handles JobNotice.
  void handle(const v1::Envelope& envelope);

  /// Notifies the backup entry of a new job that this entry drives.
  void notify_backup(const v1::JobRow& row);

private:
  void scan(const std::string& after);
  void handle_scan(const platform::Table::ReadResult& result);
  void record_open_job(const std::string& job, const std::string& accepted_by);
  void reassign_jobs();
  void take_over(const std::string& job, const std::string& from);

  const DriverContext& context;
  Membership& membership;
  DriverTable& drivers;
  bool scan_in_progress = false;
  kernel::Subscription scan_timer;
  kernel::Subscription retry_timer;
  /// Jobs whose backup is this entry, with the entry that accepted each.
  std::map<std::string, std::string> backup_jobs;
  /// Jobs found by the scan in progress, with the entry that accepted each.
  std::map<std::string, std::string> open_jobs;
};

} // namespace geraniumhinge::entry
