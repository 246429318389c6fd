#pragma once

#include "gateway/http_client.h"
#include "kernel/log.h"
#include "kernel/task.h"
#include "platform/caller.h"
#include "platform/store.h"
#include "platform/table_watcher.h"

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

  /// Forwards the request to the other entries, one after the other, until one
  /// answers otherwise than that it did nothing. Ambiguous if one may have
  /// acted on it.
  void forward(const platform::CallerRequest& request,
               platform::CallerRespond done);

private:
  void handle_rows(const platform::RowPage& page);
  void register_entry();
  void forward_next(const platform::CallerRequest& request,
                    std::vector<std::string> addresses,
                    platform::CallerRespond done);

  kernel::TimerService& timers;
  const kernel::Log& log;
  platform::Store& store;
  gateway::HttpClient& client;
  std::string entry;
  std::string own_address;
  platform::TableWatcher watcher;
  std::map<std::string, std::string> others; ///< Addresses by entry.
  /// Boot time, by address.
  std::map<std::string, std::int64_t> avoided_until_ms;
  kernel::Subscription register_timer;
};

} // namespace geraniumhinge::entry
