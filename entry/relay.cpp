#include "entry/relay.h"

#include "entry/events.h"
#include "kernel/clock.h"
#include "platform/tables.h"

#include "geraniumhinge/v1/state.pb.h"

#include <algorithm>

namespace geraniumhinge::entry {

namespace {

constexpr kernel::Milliseconds ENTRY_WAIT{ 10'000 };
constexpr kernel::Milliseconds REGISTER_TIMEOUT{ 1'000 };
constexpr kernel::Milliseconds REGISTER_RETRY{ 500 };
constexpr kernel::Milliseconds CONNECT_TIMEOUT{ 150 };
constexpr kernel::Milliseconds RESPONSE_TIMEOUT{ 1'200 };
/// How long an entry that did not respond gets no more requests.
constexpr std::int64_t AVOID_MS = 3'000;
/// The same for an entry that refused. Short, since all entries refuse during
/// an outage of the store.
constexpr std::int64_t AVOID_REFUSING_MS = 300;

platform::TableWatchOptions
entry_options()
{
  platform::TableWatchOptions options;
  options.table = platform::ENTRY_TABLE;
  options.part = platform::WORK_PART;
  options.wait = ENTRY_WAIT;
  return options;
}

} // namespace

Relay::Relay(kernel::Loop& loop,
             kernel::TimerService& timers,
             const kernel::Log& log,
             platform::Store& store,
             gateway::HttpClient& client,
             std::string entry,
             std::string own_address)
  : Task(loop, "relay")
  , timers(timers)
  , log(log)
  , store(store)
  , client(client)
  , entry(std::move(entry))
  , own_address(std::move(own_address))
  , watcher(
      loop,
      timers,
      log,
      store,
      entry_options(),
      { [this](const platform::RowPage& page) { this->handle_rows(page); },
        [this](const platform::RowPage& page) { this->handle_rows(page); } })
{
}

void
Relay::start()
{
  this->register_entry();
  this->watcher.start();
}

void
Relay::register_entry()
{
  v1::NodeRow row;
  row.set_node(this->entry);
  row.set_http_address(this->own_address);
  platform::RowChange change;
  change.writes.push_back(
    { { platform::ENTRY_TABLE, platform::WORK_PART, this->entry },
      row.SerializeAsString() });
  this->store.commit(
    change,
    REGISTER_TIMEOUT,
    this->guarded([this](const platform::Store::CommitResult& result) {
      if (!result)
        this->register_timer = this->timers.after(
          REGISTER_RETRY, [this] { this->register_entry(); });
    }));
}

void
Relay::handle_rows(const platform::RowPage& page)
{
  for (const platform::StoredRow& item : page.rows) {
    v1::NodeRow row;
    if (item.removed)
      this->other_entries.erase(item.name.key);
    else if (item.name.key != this->entry && row.ParseFromString(item.value))
      this->other_entries[item.name.key] = row.http_address();
  }
}

void
Relay::broadcast(const std::string& path, const std::string& body)
{
  for (const std::pair<const std::string, std::string>& item :
       this->other_entries) {
    gateway::HttpClientRequest call;
    call.method = "POST";
    call.url = "http://" + item.second + path;
    call.body = body;
    call.connect_timeout = CONNECT_TIMEOUT;
    call.timeout = RESPONSE_TIMEOUT;
    this->client.call(std::move(call),
                      [](const gateway::HttpClient::Result&) {});
  }
}

void
Relay::forward(const platform::CallerRequest& request,
               platform::CallerRespond done)
{
  std::vector<std::string> addresses;
  for (const std::pair<const std::string, std::string>& item :
       this->other_entries)
    addresses.push_back(item.second);
  std::int64_t now = kernel::boot_ms();
  std::erase_if(addresses, [this, now](const std::string& address) {
    std::map<std::string, std::int64_t>::const_iterator avoided =
      this->avoided_until_ms.find(address);
    return avoided != this->avoided_until_ms.end() && now < avoided->second;
  });
  this->forward_next(request, std::move(addresses), std::move(done));
}

void
Relay::forward_next(const platform::CallerRequest& request,
                    std::vector<std::string> addresses,
                    platform::CallerRespond done)
{
  if (addresses.empty()) {
    done({ platform::CallerResult::NotApplied, {}, 0 });
    return;
  }
  std::string address = addresses.front();
  addresses.erase(addresses.begin());
  platform::ForwardCall encoded = platform::encode_forward_call(request);
  gateway::HttpClientRequest call;
  call.method = encoded.method;
  call.url = "http://" + address + request.path;
  call.headers = std::move(encoded.headers);
  call.body = request.body;
  call.connect_timeout = CONNECT_TIMEOUT;
  call.timeout = std::min(RESPONSE_TIMEOUT, request.deadline);
  bool full_timeout = call.timeout == RESPONSE_TIMEOUT;
  this->client.call(
    std::move(call),
    this->guarded([this,
                   request,
                   address,
                   full_timeout,
                   addresses = std::move(addresses),
                   done = std::move(done)](
                    gateway::HttpClient::Result result) mutable {
      platform::CallerResponse response;
      if (result)
        response =
          platform::decode_caller_response(result->status, result->body);
      else if (result.error() == gateway::HttpClientError::Ambiguous)
        response.result = platform::CallerResult::Ambiguous;
      // A timeout cut short by the caller's deadline does not show that the
      // other entry is unresponsive.
      bool unresponsive =
        !result && (full_timeout || gateway::not_applied(result.error()));
      if (unresponsive)
        this->avoided_until_ms[address] = kernel::boot_ms() + AVOID_MS;
      else if (result && response.result == platform::CallerResult::NotApplied)
        this->avoided_until_ms[address] = kernel::boot_ms() + AVOID_REFUSING_MS;
      bool read_only = request.operation == platform::CallerOperation::GetState;
      if (response.result == platform::CallerResult::NotApplied ||
          (!result && read_only))
        this->forward_next(request, std::move(addresses), std::move(done));
      else
        done(response);
    }));
}

} // namespace geraniumhinge::entry
