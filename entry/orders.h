#pragma once

#include "entry/server_table.h"
#include "entry/work_view.h"

#include "geraniumhinge/v1/peer.pb.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace geraniumhinge::entry {

/// Number of a set of orders. Orders replace those of a lower term, and those
/// of the same term with a lower sequence number.
struct OrdersNumber
{
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
};

/// Name and attempt of a run.
using RunName = std::pair<std::string, std::uint32_t>;

/// Makes the list of all runs that the agent's server must have, and of the
/// runs to stop. Runs that the agent has reported get no payload. Runs in
/// `ending`, whose end is being stored, are left out, so that they can't start
/// beside their next attempt; so are all runs of a server whose leases have
/// expired.
v1::ServerOrders
make_orders(const WorkView& view,
            const AgentView& agent,
            const OrdersNumber& number,
            const std::set<RunName>& ending);

} // namespace geraniumhinge::entry
