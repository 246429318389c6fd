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

/// Forwards callers' requests to other entries while the store refuses this
/// entry. The store may still serve the others.
class Relay : public kernel::Task
{
public:
  /// `own_address` is the address at which other entries reach this one.
  Relay(kernel::Loop& loop,
        kernel::TimerService& timers,
        const kernel::Log& log,
        platform::Store& store,
        gateway::HttpClient& client,
        std::string entry,
        std::string own_address);

  /// Registers this entry and watches the rows of the others.
  void start();

  /// Forwards the request to one entry after the other until the result is not
  /// `NotApplied`. The result is `Ambiguous` if an entry may have acted on the
  /// request without a response.
  void forward(const platform::CallerRequest& request,
               platform::CallerRespond done);

  /// Sends a message to the internal address of each other entry, once. Lost
  /// messages are not sent again.
  void broadcast(const std::string& path, const std::string& body);

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
  std::map<std::string, std::string> other_entries; ///< Addresses by name.
  /// Boot time until which an address is not used, by address.
  std::map<std::string, std::int64_t> avoided_until_ms;
  kernel::Subscription register_timer;
};

} // namespace geraniumhinge::entry
