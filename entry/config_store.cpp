#include "entry/config_store.h"

#include "entry/config_events.h"
#include "entry/config_token.h"

#include <unordered_map>
#include <utility>
#include <vector>

namespace geraniumhinge::entry {

namespace {

constexpr char CONFIG_KEY[] = "config";
constexpr std::uint32_t STORE_RETRY_MS = 1'000;
// The first try may fail because the row's version became unknown when a
// response was lost. The second try uses the version read after that.
constexpr int MAX_COMMIT_TRIES = 2;

gateway::CallError
store_error(v1::Outcome outcome, std::string message)
{
  gateway::CallError error =
    gateway::call_error(v1::ERROR_KIND_STORE_UNAVAILABLE, std::move(message));
  error.detail.set_outcome(outcome);
  error.detail.set_retry_after_ms(STORE_RETRY_MS);
  return error;
}

gateway::CallError
stale_error(std::uint64_t current)
{
  gateway::CallError error = gateway::call_error(
    v1::ERROR_KIND_STALE_VERSION,
    "the change is based on another version than " + std::to_string(current));
  error.detail.set_field("base_version");
  error.detail.set_accepted(std::to_string(current));
  error.detail.set_current_version(current);
  error.detail.set_outcome(v1::OUTCOME_NOT_RUN);
  return error;
}

gateway::CallError
not_loaded()
{
  gateway::CallError error = gateway::call_error(
    v1::ERROR_KIND_NOT_READY, "the configuration has not been read yet");
  error.detail.set_outcome(v1::OUTCOME_NOT_RUN);
  error.detail.set_retry_after_ms(STORE_RETRY_MS);
  return error;
}

/// A change by an operator whose response is not sent yet.
struct PendingChange
{
  std::uint64_t base = 0;
  ConfigStore::Change apply;
  ConfigStore::ChangeDone done;
  int tries_left = MAX_COMMIT_TRIES;
};

using PendingPointer = std::shared_ptr<PendingChange>;

} // namespace

struct ConfigStore::State
{
  ConfigStore& owner;
  kernel::TimerService& timers;
  const kernel::Log& log;
  platform::Table& table;
  kernel::Milliseconds poll_period;
  std::unordered_map<std::string, std::string> operators;  ///< By digest.
  std::unordered_map<std::string, Principal> callers = {}; ///< By digest.
  std::vector<std::function<void(const v1::Configuration&)>> listeners = {};
  v1::Configuration config = {};
  std::uint64_t row_version = 0;
  bool loaded = false;
  bool reading = false;
  bool read_again = false;
  kernel::Subscription poll_timer = {};

  void read();
  void read_row(std::function<void(bool)> done);
  bool apply_row(const platform::Row& row);
  void apply_configuration(v1::Configuration next,
                           std::uint64_t next_row_version);
  void commit(const PendingPointer& pending);
  void handle_commit_result(const PendingPointer& pending,
                            const v1::Configuration& next,
                            const platform::Table::CommitResult& result);
  void handle_conflict(const PendingPointer& pending);
};

/// Reads the row. If a read is in flight, another one follows that read.
void
ConfigStore::State::read()
{
  if (this->reading) {
    this->read_again = true;
    return;
  }
  this->reading = true;
  this->read_again = false;
  this->read_row([this](bool) {
    this->reading = false;
    if (this->read_again)
      this->read();
  });
}

void
ConfigStore::State::read_row(std::function<void(bool)> done)
{
  this->table.read(
    { CONFIG_KEY },
    this->owner.guarded(
      [this, done = std::move(done)](const platform::Table::ReadResult& rows) {
        done(rows && this->apply_row(rows->front()));
      }));
}

/// Applies a row that was read, if it is newer. Returns whether the row is
/// valid.
bool
ConfigStore::State::apply_row(const platform::Row& row)
{
  v1::Configuration next;
  if (!next.ParseFromString(row.value)) {
    this->log.write(CONFIG_MALFORMED, { { "row_version", row.version } });
    return false;
  }
  if (this->loaded && next.version() < this->config.version())
    this->log.write(
      CONFIG_ROW_OLDER,
      { { "in_force", this->config.version() }, { "read", next.version() } });
  this->apply_configuration(std::move(next), row.version);
  return true;
}

void
ConfigStore::State::apply_configuration(v1::Configuration next,
                                        std::uint64_t next_row_version)
{
  if (this->loaded && next.version() < this->config.version())
    return;
  // Also when the configuration is the same: after a lost response, the version
  // of the row was unknown.
  if (next_row_version > this->row_version)
    this->row_version = next_row_version;
  if (this->loaded && next.version() == this->config.version())
    return;
  this->loaded = true;
  this->config = std::move(next);
  this->callers.clear();
  for (const v1::Caller& caller : this->config.callers())
    this->callers[caller.token_digest()] =
      Principal{ caller.name(), caller.organisation(), false };
  this->log.write(CONFIG_APPLIED, { { "version", this->config.version() } });
  for (const std::function<void(const v1::Configuration&)>& listener :
       this->listeners)
    listener(this->config);
}

void
ConfigStore::State::commit(const PendingPointer& pending)
{
  --pending->tries_left;
  v1::Configuration next = this->config;
  tl::expected<void, gateway::CallError> changed = pending->apply(next);
  if (!changed) {
    pending->done(tl::unexpected(changed.error()));
    return;
  }
  next.set_version(pending->base + 1);
  platform::Transaction transaction;
  transaction.checks.push_back({ CONFIG_KEY, this->row_version });
  transaction.writes.push_back({ CONFIG_KEY, next.SerializeAsString() });
  this->table.commit(
    std::move(transaction),
    this->owner.guarded([this, pending, next = std::move(next)](
                          const platform::Table::CommitResult& result) {
      this->handle_commit_result(pending, next, result);
    }));
}

void
ConfigStore::State::handle_commit_result(
  const PendingPointer& pending,
  const v1::Configuration& next,
  const platform::Table::CommitResult& result)
{
  if (result) {
    this->log.write(CONFIG_CHANGED, { { "version", next.version() } });
    this->apply_configuration(next, result->front());
    // Version 0 means that the response was lost and the row has changed since.
    if (result->front() == 0)
      this->read();
    pending->done(next.version());
    return;
  }
  switch (result.error().kind) {
    case platform::TableErrorKind::Conflict:
      this->handle_conflict(pending);
      return;
    case platform::TableErrorKind::Unavailable:
      pending->done(tl::unexpected(
        store_error(v1::OUTCOME_NOT_RUN, "the store is unavailable")));
      return;
    case platform::TableErrorKind::Ambiguous:
      pending->done(tl::unexpected(
        store_error(v1::OUTCOME_UNKNOWN,
                    "the store did not say whether the change was made")));
      return;
  }
}

/// Handles a conflict: another change came first, or the row's version was not
/// known. Reads the row; tries again if the base is still current, else refuses
/// the change with the current version.
void
ConfigStore::State::handle_conflict(const PendingPointer& pending)
{
  this->read_row([this, pending](bool read) {
    if (!read)
      pending->done(tl::unexpected(
        store_error(v1::OUTCOME_NOT_RUN, "the store is unavailable")));
    else if (this->config.version() == pending->base && pending->tries_left > 0)
      this->commit(pending);
    else
      pending->done(tl::unexpected(stale_error(this->config.version())));
  });
}

ConfigStore::ConfigStore(
  kernel::Loop& loop,
  kernel::TimerService& timers,
  const kernel::Log& log,
  platform::Table& table,
  kernel::Milliseconds poll_period,
  const std::map<std::string, std::string>& operator_digests)
  : Task(loop, "config_store")
  , state(new State{ .owner = *this,
                     .timers = timers,
                     .log = log,
                     .table = table,
                     .poll_period = poll_period,
                     .operators = {} })
{
  for (const std::pair<const std::string, std::string>& item : operator_digests)
    this->state->operators[item.second] = item.first;
}

ConfigStore::~ConfigStore() = default;

void
ConfigStore::start()
{
  State* state = this->state.get();
  state->poll_timer =
    state->timers.every(state->poll_period, [state] { state->read(); });
  state->read();
}

bool
ConfigStore::loaded() const
{
  return this->state->loaded;
}

const v1::Configuration&
ConfigStore::current() const
{
  return this->state->config;
}

std::uint64_t
ConfigStore::row_version() const
{
  return this->state->row_version;
}

void
ConfigStore::observe_version(std::uint64_t version)
{
  if (version > this->state->config.version() || !this->state->loaded)
    this->state->read();
}

void
ConfigStore::on_change(std::function<void(const v1::Configuration&)> fn)
{
  this->state->listeners.push_back(std::move(fn));
}

void
ConfigStore::change(std::uint64_t base, Change change, ChangeDone done)
{
  State* state = this->state.get();
  if (!state->loaded) {
    done(tl::unexpected(not_loaded()));
    return;
  }
  if (base < state->config.version()) {
    done(tl::unexpected(stale_error(state->config.version())));
    return;
  }
  PendingPointer pending = std::make_shared<PendingChange>(PendingChange{
    base, std::move(change), std::move(done), MAX_COMMIT_TRIES });
  // A base that is newer than this entry's copy was read from another entry.
  if (base > state->config.version())
    state->handle_conflict(pending);
  else
    state->commit(pending);
}

tl::expected<Principal, gateway::CallError>
ConfigStore::authenticate(const std::string& token) const
{
  if (token.empty())
    return tl::unexpected(gateway::call_error(v1::ERROR_KIND_UNAUTHENTICATED,
                                              "the call has no bearer token"));
  std::string digest = token_digest(token);
  std::unordered_map<std::string, std::string>::const_iterator found =
    this->state->operators.find(digest);
  if (found != this->state->operators.end())
    return Principal{ found->second, {}, true };
  if (!this->state->loaded)
    return tl::unexpected(not_loaded());
  std::unordered_map<std::string, Principal>::const_iterator caller =
    this->state->callers.find(digest);
  if (caller != this->state->callers.end())
    return caller->second;
  return tl::unexpected(gateway::call_error(v1::ERROR_KIND_UNAUTHENTICATED,
                                            "the bearer token is not known"));
}

} // namespace geraniumhinge::entry
