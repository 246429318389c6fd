#pragma once

#include "entry/server_table.h"
#include "entry/work_view.h"

#include "geraniumhinge/v1/peer.pb.h"

#include <cstdint>

namespace geraniumhinge::entry {

/// Number of a set of orders. Orders replace those of a lower term, and those
/// of the same term with a lower sequence number.
struct OrdersNumber
{
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
};

/// Makes the list of all runs that the agent's server must have, and of the
/// runs to stop. Runs that the agent has reported get no payload.
v1::ServerOrders
make_orders(const WorkView& view,
            const AgentView& agent,
            const OrdersNumber& number);

} // namespace geraniumhinge::entry
