#include "entry/rows.h"

#include "kernel/clock.h"

#include <fmt/format.h>
#include <google/protobuf/message.h>
#include <xxhash.h>

namespace geraniumhinge::entry {

std::string
cell_key(const std::string& zone)
{
  return CELL_PREFIX + zone;
}

std::string
job_key(const std::string& job)
{
  return JOB_PREFIX + job;
}

std::string
open_key(const std::string& job)
{
  return OPEN_PREFIX + job;
}

std::string
entry_key(const std::string& entry)
{
  return ENTRY_PREFIX + entry;
}

std::string
request_key(const std::string& organisation, const std::string& request_id)
{
  return REQUEST_PREFIX + organisation + "/" + request_id;
}

std::string
new_job_id(const std::string& organisation)
{
  return fmt::format(
    "{}.{:012x}{:016x}", organisation, kernel::unix_ms(), kernel::random_id());
}

std::string
organisation_of(const std::string& job)
{
  return job.substr(0, job.find('.'));
}

platform::RowWrite
write_row(const std::string& key, const google::protobuf::Message& value)
{
  return { key, value.SerializeAsString() };
}

platform::RowWrite
delete_row(const std::string& key)
{
  return { key, std::nullopt };
}

std::uint64_t
body_hash(const google::protobuf::Message& body)
{
  std::string bytes = body.SerializeAsString();
  return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace geraniumhinge::entry
