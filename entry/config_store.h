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

/// The owner of a bearer token.
struct Principal
{
  std::string name;         ///< Of the operator or caller.
  std::string organisation; ///< Empty for operators.
  bool is_operator = false;
};

/// Holds this entry's copy of the row `config`. Polls the row, never applies a
/// lower version than the current one, and commits operators' changes by
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

  /// Starts polling. `loaded` is true once the row was read; a missing row is
  /// an empty configuration of version 0.
  void start();
  bool loaded() const;

  const v1::Configuration& current() const;
  /// Version of the table row. Placement transactions check this version
  /// together with the versions of the cells.
  std::uint64_t row_version() const;

  /// Handles a version that a peer has: reads the row if the peer's version is
  /// newer.
  void observe_version(std::uint64_t version);

  /// Calls `fn` after each applied version.
  void on_change(std::function<void(const v1::Configuration&)> fn);

  /// Applies `change` to the configuration of version `base` and commits the
  /// result. `change` may run twice. A stale base is refused with the current
  /// version. If it is unknown whether the commit was applied, the error has
  /// the outcome UNKNOWN; with every other error nothing was changed.
  void change(std::uint64_t base, Change change, ChangeDone done);

  /// Finds the owner of a token in the current configuration.
  tl::expected<Principal, gateway::CallError> authenticate(
    const std::string& token) const;

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace geraniumhinge::entry
