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
  this->membership.on_change([this] { this->reassign_jobs(); });
  this->scan_timer =
    this->context.timers.every(this->context.settings.scan_period, [this] {
      if (!this->scan_in_progress)
        this->scan("");
    });
  this->scan("");
}

void
Takeover::scan(const std::string& after)
{
  this->scan_in_progress = true;
  if (after.empty())
    this->open_jobs.clear();
  this->context.table.scan(
    OPEN_PREFIX,
    after,
    this->context.settings.scan_page,
    this->guarded([this](const platform::Table::ReadResult& result) {
      this->handle_scan(result);
    }));
}

void
Takeover::handle_scan(const platform::Table::ReadResult& result)
{
  if (!result) {
    this->retry_timer = this->context.timers.after(
      this->context.settings.store_retry_delay, [this] { this->scan(""); });
    return;
  }
  for (const platform::Row& row : *result) {
    std::string job =
      row.key.substr(std::char_traits<char>::length(OPEN_PREFIX));
    this->open_jobs[job] = row.value;
    this->record_open_job(job, row.value);
  }
  if (result->size() == this->context.settings.scan_page) {
    this->scan(result->back().key);
    return;
  }
  this->scan_in_progress = false;
  // A job that is no longer in the index has ended and needs no backup.
  std::erase_if(this->backup_jobs, [this](const auto& entry) {
    return !this->open_jobs.contains(entry.first);
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
    this->backup_jobs[job] = accepted_by;
}

void
Takeover::take_over(const std::string& job, const std::string& from)
{
  if (this->membership.is_draining())
    return;
  this->context.log.write(JOB_TAKEN_OVER, { { "job", job }, { "from", from } });
  this->context.metrics.counter("entry_takeovers_total").add();
  this->drivers.drive(job);
}

void
Takeover::reassign_jobs()
{
  std::string self = this->membership.self().name();
  std::vector<std::string> jobs_to_take_over;
  for (const auto& [job, accepted_by] : this->backup_jobs) {
    if (this->membership.driver_of(job, accepted_by) == self)
      jobs_to_take_over.push_back(job);
  }
  for (const std::string& job : jobs_to_take_over) {
    std::string from = this->backup_jobs[job];
    this->backup_jobs.erase(job);
    if (this->drivers.find(job) == nullptr)
      this->take_over(job, from);
  }
  std::vector<std::string> jobs_to_drop;
  for (const auto& [job, driver] : this->drivers.all()) {
    const std::string& accepted_by = driver->row().driver();
    bool known = !accepted_by.empty();
    if (known && this->membership.driver_of(job, accepted_by) != self)
      jobs_to_drop.push_back(job);
  }
  for (const std::string& job : jobs_to_drop) {
    this->backup_jobs[job] = this->drivers.find(job)->row().driver();
    this->drivers.drop(job);
  }
}

void
Takeover::handle(const v1::Envelope& envelope)
{
  const v1::JobNotice& notice = envelope.job_notice();
  if (notice.driver() != this->membership.self().name()) {
    this->backup_jobs[notice.job()] = notice.driver();
    return;
  }
  this->drivers.drive(notice.job());
}

void
Takeover::notify_backup(const v1::JobRow& row)
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
