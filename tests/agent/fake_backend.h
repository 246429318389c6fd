#pragma once

#include "platform/backend.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace geraniumhinge::tests {

/// A backend server in memory. A task runs until finish(), or until expire()
/// finds that its lease has passed. Calls are answered at once.
class FakeBackend : public platform::Backend
{
public:
  struct Task
  {
    platform::TaskReport report;
    std::int64_t lease_until_ms = 0;
    std::int64_t ended_ms = 0;
    std::vector<Done<platform::TaskReport>> waiting;
  };
  using Key = std::pair<std::string, std::uint32_t>; ///< Job and member.

  std::map<Key, Task> tasks;
  std::vector<std::string> calls;
  bool lose_start_responses = false; ///< Starts take effect without a response.
  bool forget_tasks = false; ///< Stops find no task, as after a restart.
  std::vector<std::pair<std::uint64_t, Done<std::string>>> runs;

  std::size_t running() const
  {
    std::size_t count = 0;
    for (const std::pair<const Key, Task>& item : this->tasks)
      count += item.second.report.state == platform::TaskState::Running;
    return count;
  }

  void finish(const Key& key, platform::TaskState state)
  {
    Task& task = this->tasks.at(key);
    if (task.report.state != platform::TaskState::Running)
      return;
    task.report = { state, "output" };
    task.ended_ms = kernel::boot_ms();
    for (Done<platform::TaskReport>& done : std::exchange(task.waiting, {}))
      done(task.report);
  }

  void expire()
  {
    for (std::pair<const Key, Task>& item : this->tasks) {
      if (kernel::boot_ms() >= item.second.lease_until_ms)
        this->finish(item.first, platform::TaskState::LeaseExpired);
    }
  }

  void start(platform::TaskStart task, Done<void> done) override
  {
    this->calls.push_back("start " + task.key.job);
    this->tasks[key_of(task.key)].lease_until_ms = task.lease_until_ms;
    if (this->lose_start_responses)
      return done(tl::unexpected(platform::BackendError::NoAnswer));
    done({});
  }
  void renew(platform::TaskKey key,
             std::int64_t lease_until_ms,
             Done<platform::TaskReport> done) override
  {
    Task& task = this->tasks.at(key_of(key));
    task.lease_until_ms = lease_until_ms;
    done(task.report);
  }
  void wait(platform::TaskKey key, Done<platform::TaskReport> done) override
  {
    this->tasks.at(key_of(key)).waiting.push_back(std::move(done));
  }
  void stop(platform::TaskKey key, Done<platform::TaskReport> done) override
  {
    this->calls.push_back("stop " + key.job);
    if (this->forget_tasks || this->tasks.count(key_of(key)) == 0)
      return done(tl::unexpected(platform::BackendError::NoSuchTask));
    this->finish(key_of(key), platform::TaskState::Stopped);
    done(this->tasks.at(key_of(key)).report);
  }
  void checkpoint(platform::TaskKey, Done<std::string> done) override
  {
    done("checkpoint/1");
  }
  void throttle(platform::TaskKey, std::uint32_t, Done<void> done) override
  {
    done({});
  }
  void usage(Done<std::vector<platform::TaskUsage>> done) override
  {
    done(std::vector<platform::TaskUsage>());
  }
  void run(std::uint64_t attempt,
           std::string,
           kernel::Milliseconds,
           std::string,
           Done<std::string> done) override
  {
    this->runs.emplace_back(attempt, std::move(done));
  }

private:
  static Key key_of(const platform::TaskKey& key)
  {
    return { key.job, key.member };
  }
};

} // namespace geraniumhinge::tests
