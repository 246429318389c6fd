#pragma once

#include "platform/table.h"

#include <map>
#include <vector>

namespace geraniumhinge::tests {

/// A table in memory. A read copies its rows at once; with `hold_reads`, the
/// test completes held reads in any order, else they complete at once. Commits
/// complete at once.
struct FakeTable : platform::Table
{
  struct PendingRead
  {
    std::vector<platform::Row> rows;
    std::function<void(ReadResult)> done;
  };

  std::map<std::string, platform::Row> rows;
  std::uint64_t last_version = 0;
  bool hold_reads = false;
  std::vector<PendingRead> held;
  std::optional<platform::TableErrorKind> commit_fault;

  void read(std::vector<std::string> keys,
            std::function<void(ReadResult)> done) override
  {
    PendingRead read{ {}, std::move(done) };
    for (const std::string& key : keys)
      read.rows.push_back(rows.contains(key) ? rows[key]
                                             : platform::Row{ key, 0, {} });
    held.push_back(std::move(read));
    if (!hold_reads)
      complete(held.size() - 1);
  }
  void complete(std::size_t index)
  {
    PendingRead read = std::move(held[index]);
    held.erase(held.begin() + static_cast<std::ptrdiff_t>(index));
    read.done(std::move(read.rows));
  }
  void scan(std::string,
            std::string,
            std::size_t,
            std::function<void(ReadResult)> done) override
  {
    done(std::vector<platform::Row>{});
  }
  void commit(platform::Transaction transaction,
              std::function<void(CommitResult)> done) override
  {
    if (commit_fault) {
      done(tl::unexpected(platform::TableError{ *commit_fault, {}, 0 }));
      return;
    }
    for (const platform::RowCheck& check : transaction.checks) {
      std::uint64_t version = rows[check.key].version;
      if (version == check.version)
        continue;
      done(tl::unexpected(platform::TableError{
        platform::TableErrorKind::Conflict, check.key, version }));
      return;
    }
    std::vector<std::uint64_t> versions;
    for (const platform::RowWrite& write : transaction.writes) {
      rows[write.key] = { write.key, ++last_version, *write.value };
      versions.push_back(last_version);
    }
    done(std::move(versions));
  }
};

} // namespace geraniumhinge::tests
