#pragma once

#include "core/run_times.h"
#include "kernel/log.h"
#include "kernel/metrics.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace geraniumhinge::entry {

platform::RowName
speeds_row();

/// The row's value, at most `max_bytes` long: the most certain nodes. The
/// others are learned again. Nodes of median speed are included, because the
/// factors are relative to them.
std::string
encode_speeds(const core::LearnedSpeeds& speeds, std::size_t max_bytes);

/// Nothing if the value is malformed. Malformed nodes are left out.
std::optional<core::LearnedSpeeds>
decode_speeds(const std::string& value);

/// Keeps the owner's learned speeds of nodes in one row of the store, so that
/// the next owner need not learn them again. Nothing is written while speeds do
/// not differ. The work does not depend on this row: what can't be read or
/// written is learned again.
class SpeedStore : public kernel::Task
{
public:
  SpeedStore(kernel::Loop& loop,
             kernel::TimerService& timers,
             const kernel::Log& log,
             kernel::Metrics& metrics,
             platform::Store& store,
             core::RunTimes& run_times);

  /// Reads the row, which replaces the speeds known so far.
  void start_term(std::uint64_t term);
  void end_term();

  /// Updates metrics, and writes the row if the speeds have changed noticeably
  /// and enough time has passed. Called in each scheduling round.
  void update(std::int64_t now_ms);

private:
  void read();
  void handle_read(const platform::Store::ReadResult& result);
  void apply_row(const std::string& value);
  void log_difference();
  bool is_changed(const core::LearnedSpeeds& speeds) const;
  void write(const core::LearnedSpeeds& speeds, std::int64_t now_ms);

  kernel::TimerService& timers;
  const kernel::Log& log;
  kernel::Metrics& metrics;
  platform::Store& store;
  core::RunTimes& run_times;

  std::uint64_t term = 0; ///< 0 while this entry is not the owner.
  bool reading = false;
  bool writing = false;
  int reads = 0;                        ///< Of this term.
  bool logged_difference = false;       ///< As the last event said.
  std::map<std::string, double> stored; ///< Factors in the row other than 1.
  std::int64_t next_write_ms = 0;       ///< Boot time.
  std::int64_t next_check_ms = 0;       ///< Boot time.
  kernel::Subscription retry_timer;
};

} // namespace geraniumhinge::entry
