#include "entry/driver_table.h"

#include "entry/rows.h"

namespace geraniumhinge::entry {

DriverTable::DriverTable(const DriverContext& context, Membership& membership)
  : Task(context.loop, "driver_table")
  , context(context)
  , membership(membership)
{
  this->context.cell_cache.on_change([this] {
    for (const auto& [job, driver] : this->drivers)
      driver->check_members();
  });
}

void
DriverTable::set_hooks(DriverHooks hooks)
{
  this->hooks = std::move(hooks);
  this->hooks.finished = [this](Driver& driver) {
    this->handle_finished(driver);
  };
}

void
DriverTable::start(v1::JobRow row,
                   std::uint64_t version,
                   const kernel::TraceContext& trace)
{
  std::string job = row.job().id();
  std::unique_ptr<Driver>& driver = this->drivers[job];
  if (driver)
    return;
  driver = std::make_unique<Driver>(this->context, this->hooks, job);
  driver->start(std::move(row), version, trace);
}

void
DriverTable::drive(const std::string& job)
{
  std::unique_ptr<Driver>& driver = this->drivers[job];
  if (driver) {
    driver->reload();
    return;
  }
  driver = std::make_unique<Driver>(this->context, this->hooks, job);
  driver->load();
}

void
DriverTable::drop(const std::string& job)
{
  Driver* driver = this->find(job);
  if (driver == nullptr || driver->busy())
    return;
  if (driver->state() == DriverState::Queued)
    this->hooks.dequeue(*driver);
  this->drivers.erase(job);
}

void
DriverTable::drop_idle()
{
  std::vector<std::string> jobs;
  for (const auto& [job, driver] : this->drivers)
    jobs.push_back(job);
  for (const std::string& job : jobs)
    this->drop(job);
}

Driver*
DriverTable::find(const std::string& job)
{
  std::map<std::string, std::unique_ptr<Driver>>::iterator found =
    this->drivers.find(job);
  return found == this->drivers.end() ? nullptr : found->second.get();
}

void
DriverTable::on_finished(std::function<void(const v1::JobRow&)> fn)
{
  this->listeners.push_back(std::move(fn));
}

void
DriverTable::handle_finished(Driver& driver)
{
  for (const std::function<void(const v1::JobRow&)>& listener : this->listeners)
    listener(driver.row());
  // Deferred, because the driver is still on the call stack.
  this->post([this, job = driver.job()] {
    Driver* found = this->find(job);
    if (found != nullptr && found->state() == DriverState::Done)
      this->drivers.erase(job);
  });
}

void
DriverTable::handle(const v1::Envelope& envelope)
{
  const std::string& job = envelope.member_done().key().job();
  Driver* driver = this->find(job);
  if (driver != nullptr) {
    driver->handle_member_done(envelope);
    return;
  }
  this->context.table.read(
    { job_key(job) },
    this->guarded([this, envelope](const platform::Table::ReadResult& result) {
      this->handle_result_without_driver(envelope, result);
    }));
}

void
DriverTable::handle_result_without_driver(
  const v1::Envelope& envelope,
  const platform::Table::ReadResult& result)
{
  // The agent repeats the result until it is acknowledged.
  if (!result)
    return;
  const v1::MemberKey& key = envelope.member_done().key();
  std::optional<v1::JobRow> row = parse_row<v1::JobRow>(result->front());
  bool result_obsolete = !row || row->job().state() == v1::JOB_STATE_DONE ||
                         key.generation() < row->job().generation();
  if (result_obsolete) {
    v1::Envelope reply;
    reply.mutable_ack();
    this->context.transport.reply(envelope, std::move(reply));
    return;
  }
  std::string driver = this->membership.driver_of(key.job(), row->driver());
  const v1::EntryRow* entry = this->membership.find_live(driver);
  if (entry == nullptr || driver == this->membership.self().name()) {
    this->drive(key.job());
    return;
  }
  v1::Envelope forwarded;
  *forwarded.mutable_member_done() = envelope.member_done();
  this->context.transport.send(entry->peer_address(), std::move(forwarded));
}

void
DriverTable::notify(const v1::JobRow& row)
{
  const std::string& job = row.job().id();
  if (Driver* driver = this->find(job)) {
    driver->reload();
    return;
  }
  std::string name = this->membership.driver_of(job, row.driver());
  const v1::EntryRow* entry = this->membership.find_live(name);
  if (entry == nullptr || name == this->membership.self().name()) {
    this->drive(job);
    return;
  }
  v1::Envelope envelope;
  envelope.mutable_job_notice()->set_job(job);
  envelope.mutable_job_notice()->set_driver(name);
  envelope.mutable_job_notice()->set_urgent(row.job().spec().urgent());
  this->context.transport.send(entry->peer_address(), std::move(envelope));
}

} // namespace geraniumhinge::entry
