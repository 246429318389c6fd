#include "core/guarantee.h"

#include <algorithm>

namespace geraniumhinge::core {

std::vector<HomedGuarantee>
homed_in(NameId zone, std::span<const Guarantee> guarantees)
{
  std::vector<HomedGuarantee> homed;
  for (const Guarantee& guarantee : guarantees) {
    const std::ptrdiff_t count =
      std::count(guarantee.homes.begin(), guarantee.homes.end(), zone);
    if (count > 0) {
      homed.push_back({ guarantee.organisation,
                        guarantee.shape,
                        static_cast<std::uint32_t>(count) });
    }
  }
  return homed;
}

} // namespace geraniumhinge::core
