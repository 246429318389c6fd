#pragma once

#include "core/cell.h"
#include "core/names.h"
#include "gateway/unary.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// Assigns home zones to all guarantees of a configuration, such that all of
/// them fit on the fleet with `spare_servers` lost in each zone. If they do not
/// fit, the error names a guarantee that does not fit. `organisation` is the
/// one that changes, and `field` is the path of its guarantees.
tl::expected<void, gateway::CallError>
admit_configuration(v1::Configuration& configuration,
                    const std::string& organisation,
                    const std::string& field,
                    core::Names& names,
                    const std::vector<core::Cell>& fleet,
                    std::uint32_t spare_servers);

} // namespace geraniumhinge::entry
