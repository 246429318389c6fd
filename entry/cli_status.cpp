#include "entry/cli_status.h"

#include "kernel/names.h"

#include <algorithm>
#include <fmt/format.h>
#include <vector>

namespace geraniumhinge::entry {

namespace {

using TableRow = std::vector<std::string>;

constexpr NamedValue<v1::ServerState> STATE_NAMES[] = {
  { v1::SERVER_STATE_READY, "ready" },
  { v1::SERVER_STATE_LEAVING, "leaving" },
  { v1::SERVER_STATE_LOST, "lost" },
  { v1::SERVER_STATE_QUARANTINED, "quarantined" },
};

std::string
yes_no(bool value)
{
  return value ? "yes" : "no";
}

/// Formats rows as left-aligned columns, two spaces apart, under a title. The
/// first row holds the column titles.
std::string
format_table(const std::string& title, const std::vector<TableRow>& rows)
{
  std::vector<std::size_t> widths(rows.front().size());
  for (const TableRow& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text = title + "\n";
  for (const TableRow& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i)
      line += fmt::format("  {:<{}}", row[i], widths[i]);
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string
format_entries(const v1::GetStatusResponse& status)
{
  std::vector<TableRow> rows{ { "NAME", "ZONE", "ADDRESS", "LIVE", "READY" } };
  for (const v1::EntryStatus& entry : status.entries())
    rows.push_back({ entry.name(),
                     entry.zone(),
                     entry.address(),
                     yes_no(entry.live()),
                     yes_no(entry.ready()) });
  return format_table("Entries", rows);
}

std::string
format_cells(const v1::GetStatusResponse& status)
{
  std::vector<TableRow> rows{ { "ZONE",
                                "VERSION",
                                "PREFERRED ENTRY",
                                "SERVERS",
                                "ACCELERATORS",
                                "FREE",
                                "FRAGMENTATION",
                                "WITNESS HOLDS" } };
  for (const v1::CellStatus& cell : status.cells())
    rows.push_back({ cell.zone(),
                     std::to_string(cell.version()),
                     cell.preferred_entry(),
                     std::to_string(cell.servers()),
                     std::to_string(cell.accelerators()),
                     std::to_string(cell.accelerators_free()),
                     fmt::format("{:.2f}", cell.fragmentation()),
                     yes_no(cell.witness_holds()) });
  return format_table("Cells", rows);
}

std::string
format_servers(const v1::GetStatusResponse& status)
{
  std::vector<TableRow> rows{ { "NAME",
                                "ZONE",
                                "RACK",
                                "STATE",
                                "ACCELERATORS",
                                "USED",
                                "SLOTS",
                                "CORES",
                                "MEMORY MB" } };
  for (const v1::BackendServer& server : status.servers())
    rows.push_back({ server.name(),
                     server.zone(),
                     server.rack(),
                     std::string(name_of(STATE_NAMES, server.state())),
                     std::to_string(server.accelerators()),
                     std::to_string(server.accelerators_used()),
                     std::to_string(server.slots()),
                     std::to_string(server.cores()),
                     std::to_string(server.memory_mb()) });
  return format_table("Backend servers", rows);
}

std::string
format_organisations(const v1::GetStatusResponse& status)
{
  std::vector<TableRow> rows{
    { "NAME", "GUARANTEED ACCELERATORS", "USED", "RECLAIMABLE" }
  };
  for (const v1::GuaranteeStatus& guarantee : status.guarantees())
    rows.push_back({ guarantee.organisation(),
                     std::to_string(guarantee.guaranteed_accelerators()),
                     std::to_string(guarantee.used_accelerators()),
                     yes_no(guarantee.reclaimable()) });
  return format_table("Organisations", rows);
}

} // namespace

std::string
format_status(const v1::GetStatusResponse& status)
{
  return fmt::format("Configuration version {}, {} jobs queued, {} running\n\n"
                     "{}\n{}\n{}\n{}",
                     status.configuration_version(),
                     status.jobs_queued(),
                     status.jobs_running(),
                     format_entries(status),
                     format_cells(status),
                     format_servers(status),
                     format_organisations(status));
}

} // namespace geraniumhinge::entry
