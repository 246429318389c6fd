#include "entry/evacuations.h"

#include "entry/events.h"
#include "platform/operator_config.h"
#include "platform/start_limits.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <optional>
#include <string_view>
#include <vector>

namespace geraniumhinge::entry {

namespace {

/// For rows on deployments without the setting.
constexpr std::int64_t DEFAULT_EVACUATE_MS = 5'000;
/// For the delivery of orders, and clocks that differ in speed.
constexpr std::int64_t MARGIN_MS = 300;
/// A report may list a run only this long after its start: an agent polls its
/// server every 0.7 s and then sends the report.
constexpr std::int64_t LISTING_DELAY_MS = 1'000;
/// Other writers may have written rows for any number of zones.
constexpr std::size_t MAX_REPORTED_ZONES = 64;
constexpr std::size_t MAX_LABEL_LENGTH = 64;

/// The zone of a row that requests an evacuation.
std::optional<std::string>
evacuated_zone(const platform::StoredRow& row)
{
  constexpr std::string_view PREFIX = platform::EVACUATION_KEY_PREFIX;
  const std::string& key = row.name.key;
  if (!key.starts_with(PREFIX) || key.size() == PREFIX.size())
    return std::nullopt;
  return key.substr(PREFIX.size());
}

/// The rows of a page in the order in which they were written, including those
/// whose value can't be read.
std::vector<const platform::StoredRow*>
rows_by_version(const platform::RowPage& page)
{
  std::vector<const platform::StoredRow*> rows;
  for (const platform::StoredRow& row : page.rows)
    rows.push_back(&row);
  for (const platform::StoredRow& row : page.unreadable)
    rows.push_back(&row);
  std::stable_sort(
    rows.begin(),
    rows.end(),
    [](const platform::StoredRow* left, const platform::StoredRow* right) {
      return left->version < right->version;
    });
  return rows;
}

/// The zone as the value of a metric's label.
std::string
label_value(const std::string& zone)
{
  std::string value = zone.substr(0, MAX_LABEL_LENGTH);
  std::replace_if(
    value.begin(),
    value.end(),
    [](unsigned char character) {
      return std::isalnum(character) == 0 && character != '-' &&
             character != '_' && character != '.';
    },
    '_');
  return value;
}

} // namespace

Evacuations::Evacuations(const kernel::Log& log,
                         kernel::Metrics& metrics,
                         std::int64_t evacuate_ms)
  : log(log)
  , metrics(metrics)
  , evacuate_ms(evacuate_ms)
{
}

void
Evacuations::set_evacuate_ms(std::int64_t evacuate_ms)
{
  this->evacuate_ms = evacuate_ms;
}

bool
Evacuations::replace(const platform::RowPage& page, std::int64_t known_until_ms)
{
  std::set<std::string> requested;
  for (const platform::StoredRow* row : rows_by_version(page)) {
    std::optional<std::string> zone = evacuated_zone(*row);
    if (zone && !row->removed)
      requested.insert(*zone);
  }
  std::set<std::string> opened;
  for (const std::pair<const std::string, std::int64_t>& item :
       this->closures) {
    if (!requested.contains(item.first))
      opened.insert(item.first);
  }
  bool changed = !opened.empty();
  for (const std::string& zone : opened)
    this->open(zone);
  for (const std::string& zone : requested)
    changed = this->close(zone, known_until_ms) || changed;
  return changed;
}

bool
Evacuations::apply(const platform::RowPage& page, std::int64_t known_until_ms)
{
  bool changed = false;
  for (const platform::StoredRow* row : rows_by_version(page)) {
    std::optional<std::string> zone = evacuated_zone(*row);
    if (!zone)
      continue;
    bool applied =
      row->removed ? this->open(*zone) : this->close(*zone, known_until_ms);
    changed = changed || applied;
  }
  return changed;
}

/// A row that is written again while the zone is closed changes nothing: if it
/// was removed in between, this entry has placed nothing there meanwhile.
bool
Evacuations::close(const std::string& zone, std::int64_t known_until_ms)
{
  bool closed = this->closures.try_emplace(zone, known_until_ms).second;
  if (closed)
    this->report(zone, true);
  return closed;
}

bool
Evacuations::open(const std::string& zone)
{
  bool opened = this->closures.erase(zone) > 0;
  if (opened)
    this->report(zone, false);
  return opened;
}

void
Evacuations::report(const std::string& zone, bool closed)
{
  if (this->reported.size() == MAX_REPORTED_ZONES &&
      !this->reported.contains(zone))
    return;
  this->reported.insert(zone);
  this->metrics
    .gauge(
      fmt::format("entry_zone_evacuated{{zone=\"{}\"}}", label_value(zone)))
    .set(closed ? 1 : 0);
  this->log.write(closed ? ZONE_CLOSED : ZONE_OPENED, { { "zone", zone } });
}

std::int64_t
Evacuations::grace_ms() const
{
  std::int64_t total_ms =
    this->evacuate_ms > 0 ? this->evacuate_ms : DEFAULT_EVACUATE_MS;
  std::int64_t reserved_ms = platform::START_LIMIT.count() +
                             platform::SERVER_CALL_TIMEOUT.count() + MARGIN_MS;
  return std::max<std::int64_t>(total_ms - reserved_ms, 0);
}

std::int64_t
Evacuations::starts_end_ms(const std::string& zone) const
{
  std::map<std::string, std::int64_t>::const_iterator closure =
    this->closures.find(zone);
  bool known = closure != this->closures.end() && closure->second != 0;
  return known ? closure->second + this->grace_ms() : 0;
}

bool
Evacuations::allows_starts(const std::string& zone, std::int64_t now_ms) const
{
  return !this->is_closed(zone) || now_ms < this->starts_end_ms(zone);
}

bool
Evacuations::must_recall(const std::string& zone, std::int64_t now_ms) const
{
  if (!this->is_closed(zone))
    return false;
  std::int64_t end_ms = this->starts_end_ms(zone);
  return end_ms == 0 || now_ms >= end_ms + LISTING_DELAY_MS;
}

std::set<std::string>
Evacuations::zones_without_starts(std::int64_t now_ms) const
{
  std::set<std::string> zones;
  for (const std::pair<const std::string, std::int64_t>& item :
       this->closures) {
    if (!this->allows_starts(item.first, now_ms))
      zones.insert(item.first);
  }
  return zones;
}

std::int64_t
Evacuations::max_data_age_ms(std::int64_t config_age_ms) const
{
  return this->evacuate_ms > 0 ? std::min(config_age_ms, this->grace_ms()) : 0;
}

} // namespace geraniumhinge::entry
