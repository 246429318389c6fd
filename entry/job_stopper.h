#pragma once

#include "entry/driver_table.h"
#include "entry/membership.h"

#include <functional>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace geraniumhinge::entry {

enum class StopError
{
  NoSuchJob,
  Unavailable,
};

/// Requests the stop of jobs that any entry drives: changes the row by
/// compare-and-set and notifies the driver. Requests that arrive together share
/// one read and one transaction.
class JobStopper : public kernel::Task
{
public:
  using Result = tl::expected<v1::JobRow, StopError>;
  using Done = std::function<void(const Result&)>;

  JobStopper(const DriverContext& context, DriverTable& drivers);

  /// `done` gets the row with the stop requested, or the unchanged row if the
  /// job has ended, is stopping already or can't be stopped for this purpose.
  void request(const std::string& job,
               v1::StopPurpose purpose,
               Done done = nullptr);

private:
  struct Request
  {
    v1::StopPurpose purpose = v1::STOP_PURPOSE_UNSPECIFIED;
    std::vector<Done> done;
  };
  using Batch = std::map<std::string, Request>;

  void read_pending();
  void read(Batch batch);
  void apply(Batch batch, const std::vector<platform::Row>& rows);
  void commit(Batch batch, std::vector<v1::JobRow> next, platform::Transaction);
  void retry_each(const Batch& batch);
  void complete(const Request& request, const Result& result);
  void fail_batch(const Batch& batch);

  const DriverContext& context;
  DriverTable& drivers;
  Batch pending;
  kernel::Subscription batch_timer;
};

} // namespace geraniumhinge::entry
