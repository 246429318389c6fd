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

/// Asks for jobs to be stopped, on any entry: the row is changed by
/// compare-and-set and its driver told to read it. Requests that arrive
/// together are read in one step and, for queued jobs, committed in one
/// transaction.
class Stopper : public kernel::Task
{
public:
  using Result = tl::expected<v1::JobRow, StopError>;
  using Done = std::function<void(const Result&)>;

  Stopper(const DriverContext& context, DriverTable& drivers);

  /// `done` gets the row after the request took effect: final, stopping, or
  /// already so before.
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

  void flush();
  void read(Batch batch);
  void apply(Batch batch, const std::vector<platform::Row>& rows);
  void commit(Batch batch, std::vector<v1::JobRow> next, platform::Transaction);
  void commit_each(const Batch& batch);
  void settle(const Request& request, const Result& result);
  void fail(const Batch& batch);

  const DriverContext& context;
  DriverTable& drivers;
  Batch pending;
  kernel::Subscription batch_timer;
};

} // namespace geraniumhinge::entry
