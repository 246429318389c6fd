#pragma once

#include "entry/server_table.h"
#include "entry/work_view.h"

#include "geraniumhinge/v1/peer.pb.h"

#include <cstdint>

namespace geraniumhinge::entry {

/// Orders of a higher term, and later ones of the same term, replace others.
struct OrdersNumber
{
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
};

/// All that shall run on an agent's server, and what must be stopped there.
/// Payloads are left out for runs that the agent has reported.
v1::ServerOrders
make_orders(const WorkView& view,
            const AgentView& agent,
            const OrdersNumber& number);

} // namespace geraniumhinge::entry
