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

/// Results of members, kept until an entry acknowledges them. Each is sent to
/// its driver first, then to the other known entries in turn.
class Results : public kernel::Task
{
public:
  Results(kernel::Loop& loop,
          kernel::TimerService& timers,
          kernel::Milliseconds retry,
          Transport transport,
          std::function<std::vector<std::string>()> entries);

  void add(v1::MemberDone done, const std::string& driver);

  /// A result that was not acknowledged yet, or null.
  const v1::MemberDone* find(const MemberId& id) const;
  /// Sends to this address first from now on.
  void set_driver(const MemberId& id, const std::string& driver);

  std::size_t size() const { return this->waiting.size(); }

private:
  struct Waiting
  {
    v1::MemberDone done;
    std::string driver;
    std::size_t attempts = 0;
    kernel::Subscription retry;
  };

  void send(const MemberId& id);
  std::string address_for(const Waiting& item) const;

  kernel::TimerService& timers;
  kernel::Milliseconds retry;
  Transport transport;
  std::function<std::vector<std::string>()> entries;
  std::map<MemberId, Waiting> waiting;
};

} // namespace geraniumhinge::agent
