#include "entry/speed_store.h"

#include "entry/events.h"
#include "entry/work_rows.h"
#include "kernel/clock.h"
#include "kernel/json_parse.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace geraniumhinge::entry {

namespace {

using Json = nlohmann::json;

constexpr kernel::Milliseconds TIMEOUT{ 1'200 };
constexpr kernel::Milliseconds READ_RETRY{ 500 };
/// The speeds are learned again within seconds, so a store that does not answer
/// needs no more tries.
constexpr int MAX_READS = 4;

constexpr std::int64_t MIN_WRITE_PERIOD_MS = 2'000;
constexpr std::int64_t CHECK_PERIOD_MS = 1'000;
/// Half of what a node may use for control at 1,200 backend servers.
constexpr std::int64_t MAX_BYTES_PER_S = 1'000;
constexpr std::int64_t MS_PER_S = 1'000;
/// The store accepts values of 65,536 bytes.
constexpr std::size_t MAX_VALUE_BYTES = 48'000;
/// A node's change is noticeable from this logarithm on: factor 1.2.
constexpr double NOTICEABLE_LOG = 0.18;
/// The row is written when this share of its nodes, or one, has changed.
constexpr double NOTICEABLE_SHARE = 0.05;
/// Closer to 1, a factor does not count as different.
constexpr double MIN_DIFFERENT_LOG = 0.08;
/// Factors and variances are stored as integers.
constexpr double FACTOR_SCALE = 100;
constexpr double VARIANCE_SCALE = 1'000;
/// A node of the row besides its name: punctuation and two numbers.
constexpr std::size_t NODE_BYTES = 16;
constexpr std::size_t HEADER_BYTES = 100; ///< Of the row's other values.

/// Names of nodes may contain any bytes.
std::string
dump(const Json& json)
{
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool
differs(const core::NodeSpeed& speed)
{
  return std::abs(std::log(speed.factor)) >= MIN_DIFFERENT_LOG;
}

std::map<std::string, double>
factors_of(const core::LearnedSpeeds& speeds)
{
  std::map<std::string, double> factors;
  for (const core::NodeSpeed& speed : speeds.nodes) {
    if (differs(speed))
      factors[speed.node] = speed.factor;
  }
  return factors;
}

} // namespace

platform::RowName
speeds_row()
{
  return { platform::ESTIMATE_TABLE,
           platform::WORK_PART,
           platform::SPEEDS_KEY };
}

std::string
encode_speeds(const core::LearnedSpeeds& speeds, std::size_t max_bytes)
{
  Json nodes = Json::array();
  std::size_t bytes = HEADER_BYTES;
  for (const core::NodeSpeed& speed : speeds.nodes) {
    // Escaped characters take up to six bytes.
    std::size_t node_bytes = dump(speed.node).size() + NODE_BYTES;
    if (bytes + node_bytes > max_bytes)
      continue;
    bytes += node_bytes;
    nodes.push_back({ speed.node,
                      std::lround(speed.factor * FACTOR_SCALE),
                      std::lround(speed.variance * VARIANCE_SCALE) });
  }
  return dump({ { "nodes", std::move(nodes) },
                { "products", speeds.agreement.products },
                { "squares", speeds.agreement.squares } });
}

std::optional<core::LearnedSpeeds>
decode_speeds(const std::string& value)
{
  Json row = kernel::parse_json(value);
  if (!row.is_object() || !row.contains("nodes") || !row["nodes"].is_array())
    return std::nullopt;
  core::LearnedSpeeds speeds;
  for (const Json& node : row["nodes"]) {
    if (!node.is_array() || node.size() != 3 || !node[0].is_string() ||
        !node[1].is_number() || !node[2].is_number())
      continue;
    speeds.nodes.push_back({ node[0].get<std::string>(),
                             node[1].get<double>() / FACTOR_SCALE,
                             node[2].get<double>() / VARIANCE_SCALE });
  }
  Json products = row.value("products", Json());
  Json squares = row.value("squares", Json());
  if (products.is_number() && squares.is_number())
    speeds.agreement = { products.get<double>(), squares.get<double>() };
  return speeds;
}

SpeedStore::SpeedStore(kernel::Loop& loop,
                       kernel::TimerService& timers,
                       const kernel::Log& log,
                       kernel::Metrics& metrics,
                       platform::Store& store,
                       core::RunTimes& run_times)
  : Task(loop, "speed_store")
  , timers(timers)
  , log(log)
  , metrics(metrics)
  , store(store)
  , run_times(run_times)
{
}

void
SpeedStore::start_term(std::uint64_t term)
{
  this->end_term();
  this->term = term;
  this->reads = 0;
  this->stored.clear();
  this->next_write_ms = 0;
  this->next_check_ms = 0;
  this->read();
}

void
SpeedStore::end_term()
{
  this->term = 0;
  this->reading = false;
  this->writing = false;
  this->retry_timer.reset();
}

void
SpeedStore::read()
{
  this->reading = true;
  ++this->reads;
  platform::RowName row = speeds_row();
  this->store.read({ row.table, row.part, row.key, 1 },
                   TIMEOUT,
                   this->guarded([this, term = this->term](
                                   const platform::Store::ReadResult& result) {
                     if (term == this->term && this->reading)
                       this->handle_read(result);
                   }));
}

void
SpeedStore::handle_read(const platform::Store::ReadResult& result)
{
  if (!result && this->reads < MAX_READS) {
    this->retry_timer =
      this->timers.after(READ_RETRY, [this] { this->read(); });
    return;
  }
  this->reading = false;
  const platform::StoredRow* row =
    result ? platform::find_row(result->rows, speeds_row()) : nullptr;
  if (row)
    this->apply_row(row->value);
}

void
SpeedStore::apply_row(const std::string& value)
{
  std::optional<core::LearnedSpeeds> speeds = decode_speeds(value);
  if (!speeds) {
    this->log.write(SPEEDS_MALFORMED, { { "bytes", value.size() } });
    return;
  }
  this->run_times.restore(*speeds, kernel::boot_ms());
  this->stored = factors_of(this->run_times.speeds());
}

void
SpeedStore::update(std::int64_t now_ms)
{
  if (this->term == 0 || this->reading || now_ms < this->next_check_ms)
    return;
  this->next_check_ms = now_ms + CHECK_PERIOD_MS;
  this->log_difference();
  if (this->writing || now_ms < this->next_write_ms ||
      this->store.unresponsive() || !this->store.serving())
    return;
  core::LearnedSpeeds speeds;
  if (this->run_times.speeds_differ())
    speeds = this->run_times.speeds();
  if (this->is_changed(speeds))
    this->write(speeds, now_ms);
}

void
SpeedStore::log_difference()
{
  bool differ = this->run_times.speeds_differ();
  this->metrics.gauge("entry_speeds_differ").set(differ ? 1 : 0);
  if (differ == this->logged_difference)
    return;
  this->logged_difference = differ;
  this->log.write(SPEEDS_DIFFER,
                  { { "differ", differ },
                    { "nodes", factors_of(this->run_times.speeds()).size() } });
}

bool
SpeedStore::is_changed(const core::LearnedSpeeds& speeds) const
{
  std::map<std::string, double> factors = factors_of(speeds);
  double changed = 0;
  for (const std::pair<const std::string, double>& item : factors) {
    std::map<std::string, double>::const_iterator before =
      this->stored.find(item.first);
    double factor = before == this->stored.end() ? 1 : before->second;
    changed +=
      std::abs(std::log(item.second / factor)) >= NOTICEABLE_LOG ? 1 : 0;
  }
  for (const std::pair<const std::string, double>& item : this->stored) {
    bool lost = !factors.contains(item.first) &&
                std::abs(std::log(item.second)) >= NOTICEABLE_LOG;
    changed += lost ? 1 : 0;
  }
  return changed >=
         std::max(1.0,
                  NOTICEABLE_SHARE * static_cast<double>(this->stored.size()));
}

void
SpeedStore::write(const core::LearnedSpeeds& speeds, std::int64_t now_ms)
{
  std::string value = encode_speeds(speeds, MAX_VALUE_BYTES);
  std::int64_t bytes = static_cast<std::int64_t>(value.size());
  this->next_write_ms =
    now_ms + std::max(MIN_WRITE_PERIOD_MS, bytes * MS_PER_S / MAX_BYTES_PER_S);
  this->metrics.counter("entry_speed_writes_total").add();
  this->metrics.counter("entry_speed_written_bytes_total").add(value.size());
  platform::RowChange change;
  change.conditions.push_back({ owner_row(), this->term });
  change.writes.push_back({ speeds_row(), std::move(value) });
  this->writing = true;
  this->store.commit(
    change,
    TIMEOUT,
    this->guarded([this, term = this->term, factors = factors_of(speeds)](
                    const platform::Store::CommitResult& result) {
      if (term != this->term)
        return;
      this->writing = false;
      // Otherwise the row is written again; a lost term is noticed by the
      // changes of the work.
      if (result)
        this->stored = factors;
    }));
}

} // namespace geraniumhinge::entry
