#pragma once

#include "gateway/unary.h"
#include "kernel/log.h"
#include "kernel/task.h"
#include "kernel/timer.h"
#include "platform/table.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace geraniumhinge::entry {

/// Who a bearer token speaks for.
struct Principal
{
  std::string name;
  std::string organisation; ///< Empty for operators.
  bool is_operator = false;
};

/// This entry's copy of the row `config`. It polls the row's version, applies
/// no lower version than it has, and makes operators' changes by
/// compare-and-set.
class ConfigStore : public kernel::Task
{
public:
  using Change =
    std::function<tl::expected<void, gateway::CallError>(v1::Configuration&)>;
  using ChangeDone =
    std::function<void(tl::expected<std::uint64_t, gateway::CallError>)>;

  ConfigStore(kernel::Loop& loop,
              kernel::TimerService& timers,
              const kernel::Log& log,
              platform::Table& table,
              kernel::Milliseconds poll_period,
              const std::map<std::string, std::string>& operator_digests);
  ~ConfigStore() override;

  /// Starts polling. The store is loaded once the row was read for the first
  /// time; a missing row is an empty configuration of version 0.
  void start();
  bool loaded() const;

  const v1::Configuration& current() const;
  /// Version of the table row, for the checks of a transaction. Placement
  /// transactions check it together with the cells.
  std::uint64_t row_version() const;

  /// A peer has this version: reads the row if it is newer than ours.
  void observe_version(std::uint64_t version);

  /// Calls `fn` after each applied version.
  void on_change(std::function<void(const v1::Configuration&)> fn);

  /// Applies `change` to the configuration of version `base` and commits it;
  /// refuses a stale base with the current version. `change` may run twice.
  /// A lost answer that could not be resolved is an error with the outcome
  /// UNKNOWN; every other error means that nothing was changed.
  void change(std::uint64_t base, Change change, ChangeDone done);

  /// Finds who a token speaks for under the current configuration.
  tl::expected<Principal, gateway::CallError> authenticate(
    const std::string& token) const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace geraniumhinge::entry
