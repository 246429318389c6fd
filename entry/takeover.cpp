#include "entry/takeover.h"

#include "entry/events.h"
#include "entry/rows.h"

namespace geraniumhinge::entry {

Takeover::Takeover(const DriverContext& context,
                   Membership& membership,
                   DriverTable& drivers)
  : Task(context.loop, "takeover")
  , context(context)
  , membership(membership)
  , drivers(drivers)
{
}

void
Takeover::start()
{
  this->membership.on_change([this] { this->reassign(); });
  this->scan_timer =
    this->context.timers.every(this->context.settings.scan_period, [this] {
      if (!this->scanning)
        this->scan("");
    });
  this->scan("");
}

void
Takeover::scan(const std::string& after)
{
  this->scanning = true;
  if (after.empty())
    this->found.clear();
  this->context.table.scan(
    OPEN_PREFIX,
    after,
    this->context.settings.scan_page,
    this->guarded([this](const platform::Table::ReadResult& result) {
      this->scanned(result);
    }));
}

void
Takeover::scanned(const platform::Table::ReadResult& result)
{
  if (!result) {
    this->retry_timer = this->context.timers.after(
      this->context.settings.store_retry, [this] { this->scan(""); });
    return;
  }
  for (const platform::Row& row : *result) {
    std::string job =
      row.key.substr(std::char_traits<char>::length(OPEN_PREFIX));
    this->found[job] = row.value;
    this->record_open_job(job, row.value);
  }
  if (result->size() == this->context.settings.scan_page) {
    this->scan(result->back().key);
    return;
  }
  this->scanning = false;
  // Jobs that ended need no backup any more.
  std::erase_if(this->noticed, [this](const auto& notice) {
    return !this->found.contains(notice.first);
  });
}

void
Takeover::record_open_job(const std::string& job,
                          const std::string& accepted_by)
{
  std::string self = this->membership.self().name();
  std::string driver = this->membership.driver_of(job, accepted_by);
  if (driver == self) {
    if (this->drivers.find(job) == nullptr)
      this->take_over(job, accepted_by);
    return;
  }
  if (this->membership.backup_of(job, driver) == self)
    this->noticed[job] = accepted_by;
}

void
Takeover::take_over(const std::string& job, const std::string& from)
{
  if (this->membership.is_draining())
    return;
  this->context.log.write(JOB_TAKEN_OVER, { { "job", job }, { "from", from } });
  this->context.metrics.counter("entry_takeovers_total").add();
  this->drivers.adopt(job);
}

void
Takeover::reassign()
{
  std::string self = this->membership.self().name();
  std::vector<std::string> taken;
  for (const auto& [job, accepted_by] : this->noticed) {
    if (this->membership.driver_of(job, accepted_by) == self)
      taken.push_back(job);
  }
  for (const std::string& job : taken) {
    std::string from = this->noticed[job];
    this->noticed.erase(job);
    if (this->drivers.find(job) == nullptr)
      this->take_over(job, from);
  }
  std::vector<std::string> given_up;
  for (const auto& [job, driver] : this->drivers.all()) {
    const std::string& accepted_by = driver->row().driver();
    bool known = !accepted_by.empty();
    if (known && this->membership.driver_of(job, accepted_by) != self)
      given_up.push_back(job);
  }
  for (const std::string& job : given_up) {
    this->noticed[job] = this->drivers.find(job)->row().driver();
    this->drivers.drop(job);
  }
}

void
Takeover::handle(const v1::Envelope& envelope)
{
  const v1::JobNotice& notice = envelope.job_notice();
  if (notice.driver() != this->membership.self().name()) {
    this->noticed[notice.job()] = notice.driver();
    return;
  }
  this->drivers.adopt(notice.job());
}

void
Takeover::announce(const v1::JobRow& row)
{
  std::string backup =
    this->membership.backup_of(row.job().id(), this->membership.self().name());
  const v1::EntryRow* entry = this->membership.find_live(backup);
  if (entry == nullptr)
    return;
  v1::Envelope envelope;
  envelope.mutable_job_notice()->set_job(row.job().id());
  envelope.mutable_job_notice()->set_driver(row.driver());
  envelope.mutable_job_notice()->set_urgent(row.job().spec().urgent());
  this->context.transport.send(entry->peer_address(), std::move(envelope));
}

} // namespace geraniumhinge::entry
