#pragma once

#include "platform/table.h"

#include "geraniumhinge/v1/state.pb.h"

#include <optional>
#include <string>

namespace geraniumhinge::entry {

inline constexpr char CELL_PREFIX[] = "cell/";
inline constexpr char JOB_PREFIX[] = "job/";
inline constexpr char OPEN_PREFIX[] = "open/";
inline constexpr char REQUEST_PREFIX[] = "request/";
inline constexpr char ENTRY_PREFIX[] = "entry/";
inline constexpr char MARKER_PREFIX[] = "txn/";
inline constexpr char CONFIG_KEY[] = "config";

std::string
cell_key(const std::string& zone);
std::string
job_key(const std::string& job);
std::string
open_key(const std::string& job);
std::string
entry_key(const std::string& entry);
std::string
request_key(const std::string& organisation, const std::string& request_id);

/// A new job id from the organisation, the time and a random number. The jobs
/// of an organisation are one range of keys, in the order of submission.
std::string
new_job_id(const std::string& organisation);

/// The organisation that a job id belongs to.
std::string
organisation_of(const std::string& job);

/// Parses the value of an existing row.
template<typename Message>
std::optional<Message>
parse_row(const platform::Row& row)
{
  Message message;
  if (row.version == 0 || !message.ParseFromString(row.value))
    return std::nullopt;
  return message;
}

platform::RowWrite
write_row(const std::string& key, const google::protobuf::Message& value);

platform::RowWrite
delete_row(const std::string& key);

/// Hash of a request body, to distinguish a repeated request from a
/// different one.
std::uint64_t
body_hash(const google::protobuf::Message& body);

} // namespace geraniumhinge::entry
