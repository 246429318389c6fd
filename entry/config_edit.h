#pragma once

#include "geraniumhinge/v1/scheduler.pb.h"

#include <string>

namespace geraniumhinge::entry {

/// Finds by name; nullptr if there is none.
v1::Organisation*
find_organisation(v1::Configuration& configuration, const std::string& name);

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

/// Returns whether there was such a caller.
bool
erase_caller(v1::Configuration& configuration, const std::string& name);

/// Adds a server once.
void
add_quarantine(v1::Configuration& configuration, const std::string& server);

/// Returns whether the server was quarantined.
bool
erase_quarantine(v1::Configuration& configuration, const std::string& server);

/// Replaces all guarantees. One that keeps its shape and count keeps its home
/// zones, others have none until they are admitted. Returns whether any needs
/// to be admitted; fewer guarantees always pack.
bool
replace_guarantees(
  v1::Organisation& organisation,
  const google::protobuf::RepeatedPtrField<v1::Guarantee>& guarantees);

} // namespace geraniumhinge::entry
