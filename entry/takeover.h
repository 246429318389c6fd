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
/// entries that are down. Notices of the accepting entry name the jobs to take
/// over at once; scans of the index find the rest.
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

  /// Tells the backup driver that this entry drives a new job.
  void announce(const v1::JobRow& row);

private:
  void scan(const std::string& after);
  void scanned(const platform::Table::ReadResult& result);
  void record_open_job(const std::string& job, const std::string& accepted_by);
  void reassign();
  void take_over(const std::string& job, const std::string& from);

  const DriverContext& context;
  Membership& membership;
  DriverTable& drivers;
  bool scanning = false;
  kernel::Subscription scan_timer;
  kernel::Subscription retry_timer;
  /// Job to the entry that accepted it, for jobs this entry is backup of.
  std::map<std::string, std::string> noticed;
  std::map<std::string, std::string> found; ///< By the scan under way.
};

} // namespace geraniumhinge::entry
