#pragma once

#include "agent/fences.h"
#include "agent/transport.h"
#include "kernel/task.h"
#include "kernel/timer.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace geraniumhinge::agent {

/// Results of members that no entry has acknowledged yet. Each result is sent
/// alternately to its driver and to the known entries in turn until one of them
/// acknowledges.
class PendingResults : public kernel::Task
{
public:
  PendingResults(kernel::Loop& loop,
                 kernel::TimerService& timers,
                 kernel::Milliseconds retry_delay,
                 Transport transport,
                 std::function<std::vector<std::string>()> entries);

  /// Sends a result, first to the driver at this address.
  void add(v1::MemberDone done, const std::string& driver);

  /// Returns a result that is not acknowledged yet, or null.
  const v1::MemberDone* find(const MemberId& id) const;
  /// Replaces the address of the driver of a result.
  void set_driver(const MemberId& id, const std::string& driver);

  std::size_t size() const { return this->waiting.size(); }

private:
  struct Waiting
  {
    v1::MemberDone done;
    std::string driver;
    std::size_t attempts = 0;
    kernel::Subscription retry_timer;
  };

  void send(const MemberId& id);
  std::string next_address(const Waiting& item) const;

  kernel::TimerService& timers;
  kernel::Milliseconds retry_delay;
  Transport transport;
  std::function<std::vector<std::string>()> entries;
  std::map<MemberId, Waiting> waiting;
};

} // namespace geraniumhinge::agent
