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

  /// Sets the drivers' hooks. Must be called before the first driver exists.
  void set_hooks(DriverHooks hooks);

  /// Creates the driver of a job whose row was just written.
  void start(v1::JobRow row,
             std::uint64_t version,
             const kernel::TraceContext& trace);
  /// Creates the driver of a job from its row, or lets it read the row again.
  void drive(const std::string& job);
  /// Deletes the driver of a job that another entry drives, unless it is busy.
  void drop(const std::string& job);

  /// Deletes every driver that is not busy.
  void drop_idle();

  Driver* find(const std::string& job);
  const std::map<std::string, std::unique_ptr<Driver>>& all() const
  {
    return this->drivers;
  }

  /// Handles MemberDone.
  void handle(const v1::Envelope& envelope);

  /// Notifies the driver of a job, on this or another entry, of a changed row.
  void notify(const v1::JobRow& row);

  /// Calls `fn` with the final row of a job driven here.
  void on_finished(std::function<void(const v1::JobRow&)> fn);

private:
  void handle_finished(Driver& driver);
  void handle_result_without_driver(const v1::Envelope& envelope,
                                    const platform::Table::ReadResult& result);

  const DriverContext& context;
  Membership& membership;
  DriverHooks hooks;
  std::map<std::string, std::unique_ptr<Driver>> drivers;
  std::vector<std::function<void(const v1::JobRow&)>> listeners;
};

} // namespace geraniumhinge::entry
