#pragma once

#include "core/cell.h"
#include "core/names.h"
#include "gateway/unary.h"

#include "geraniumhinge/v1/scheduler.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumhinge::entry {

/// Assigns home zones to all guarantees of a configuration, such that they
/// pack on the fleet with `spare_servers` lost in each zone. If they do not,
/// the error names the guarantee that did not fit; `field` is the path of the
/// guarantees of `organisation`, which is the one that changes.
tl::expected<void, gateway::CallError>
admit_configuration(v1::Configuration& configuration,
                    const std::string& organisation,
                    const std::string& field,
                    core::Names& names,
                    const std::vector<core::Cell>& fleet,
                    std::uint32_t spare_servers);

} // namespace geraniumhinge::entry
