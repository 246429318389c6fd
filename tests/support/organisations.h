#pragma once

#include "tests/support/caller.h"
#include "tests/support/deployment.h"

#include <string>
#include <vector>

namespace geraniumhinge::tests {

/// An organisation with one caller.
struct OrganisationCaller
{
  std::string name;
  std::string token;
  Caller caller; ///< Uses any entry.
};

/// Token of the caller that `create_organisations` assigns to the organisation.
std::string
caller_token(const std::string& organisation);

/// Creates organisations with wide limits and one caller each, and waits until
/// every entry has the new configuration. Returns an empty list on failure.
std::vector<OrganisationCaller>
create_organisations(const Deployment& deployment,
                     std::size_t entries,
                     const std::vector<std::string>& names);

/// Waits until every entry reports at least this version of the configuration.
/// Returns false if the wait times out.
bool
wait_for_version(const Deployment& deployment,
                 std::size_t entries,
                 std::uint64_t version,
                 kernel::Milliseconds limit);

} // namespace geraniumhinge::tests
