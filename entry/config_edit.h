#pragma once

#include "geraniumhinge/v1/scheduler.pb.h"

#include <string>

namespace geraniumhinge::entry {

/// Finds an organisation by name; nullptr if there is none.
v1::Organisation*
find_organisation(v1::Configuration& configuration, const std::string& name);

/// Finds a caller by name; nullptr if there is none.
v1::Caller*
find_caller(v1::Configuration& configuration, const std::string& name);

bool
has_callers(const v1::Configuration& configuration,
            const std::string& organisation);

/// Whether a caller other than `caller` has the token.
bool
is_token_of_other(const v1::Configuration& configuration,
                  const std::string& caller,
                  const std::string& digest);

void
erase_organisation(v1::Configuration& configuration, const std::string& name);

/// Returns whether the caller existed.
bool
erase_caller(v1::Configuration& configuration, const std::string& name);

/// Adds a server to the list of quarantined servers, if it is not there yet.
void
add_quarantine(v1::Configuration& configuration, const std::string& server);

/// Returns whether the server was quarantined.
bool
erase_quarantine(v1::Configuration& configuration, const std::string& server);

/// Replaces all guarantees. A guarantee with the shape and count of an earlier
/// one keeps the home zones; a new one gets them at its admission. Returns
/// whether any guarantee needs admission; without new ones, all still fit.
bool
replace_guarantees(
  v1::Organisation& organisation,
  const google::protobuf::RepeatedPtrField<v1::Guarantee>& guarantees);

} // namespace geraniumhinge::entry
