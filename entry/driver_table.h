#pragma once

#include "entry/driver.h"
#include "entry/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// The drivers of this entry, by job.
class DriverTable : public kernel::Task
{
public:
  DriverTable(const DriverContext& context, Membership& membership);

  /// Sets how drivers reach the scheduler. Before the first driver.
  void set_hooks(DriverHooks hooks);

  /// Drives a job whose row was just written.
  void start(v1::JobRow row,
             std::uint64_t version,
             const kernel::TraceContext& trace);
  /// Drives a job by its row; reads the row again if it is driven already.
  void adopt(const std::string& job);
  /// Stops driving a job that another entry drives, unless a step is under way.
  void drop(const std::string& job);

  /// Drops every driver that is between two steps.
  void drop_idle();

  Driver* find(const std::string& job);
  const std::map<std::string, std::unique_ptr<Driver>>& all() const
  {
    return this->drivers;
  }

  /// Handles MemberDone.
  void handle(const v1::Envelope& envelope);

  /// Tells the driver of a job, here or elsewhere, that its row has changed.
  void notify(const v1::JobRow& row);

  /// Calls `fn` with the final row of a job driven here.
  void on_finished(std::function<void(const v1::JobRow&)> fn);

private:
  void finished(Driver& driver);
  void result_of_other(const v1::Envelope& envelope,
                       const platform::Table::ReadResult& result);

  const DriverContext& context;
  Membership& membership;
  DriverHooks hooks;
  std::map<std::string, std::unique_ptr<Driver>> drivers;
  std::vector<std::function<void(const v1::JobRow&)>> listeners;
};

} // namespace geraniumhinge::entry
