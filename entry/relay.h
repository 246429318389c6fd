#pragma once

#include "gateway/http_client.h"
#include "kernel/log.h"
#include "kernel/task.h"
#include "platform/caller.h"
#include "platform/follower.h"
#include "platform/store.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// Passes callers' requests to other entries, while the store turns this one
/// away and may serve them.
class Relay : public kernel::Task
{
public:
  /// `own_address` is where other entries reach this one.
  Relay(kernel::Loop& loop,
        kernel::TimerService& timers,
        const kernel::Log& log,
        platform::Store& store,
        gateway::HttpClient& client,
        std::string entry,
        std::string own_address);

  /// Registers this entry and follows the others.
  void start();

  /// Asks the other entries, one after the other, until one answers otherwise
  /// than that it did nothing. Uncertain if one may have acted on it.
  void pass(const platform::CallerRequest& request,
            platform::CallerRespond done);

private:
  void on_rows(const platform::RowPage& page);
  void register_entry();
  void ask(const platform::CallerRequest& request,
           std::vector<std::string> addresses,
           platform::CallerRespond done);

  kernel::TimerService& timers;
  const kernel::Log& log;
  platform::Store& store;
  gateway::HttpClient& client;
  std::string entry;
  std::string own_address;
  platform::Follower follower;
  std::map<std::string, std::string> others; ///< Addresses by entry.
  std::map<std::string, std::int64_t>
    avoided_until_ms; ///< Boot time, by address.
  kernel::Subscription register_timer;
};

} // namespace geraniumhinge::entry
