#include "core/guarantee.h"

#include <algorithm>

namespace geraniumhinge::core {

std::vector<CellGuarantee>
guarantees_of_cell(NameId zone, std::span<const Guarantee> guarantees)
{
  std::vector<CellGuarantee> cell_guarantees;
  for (const Guarantee& guarantee : guarantees) {
    const std::ptrdiff_t count =
      std::count(guarantee.homes.begin(), guarantee.homes.end(), zone);
    if (count > 0) {
      cell_guarantees.push_back({ guarantee.organisation,
                                  guarantee.shape,
                                  static_cast<std::uint32_t>(count) });
    }
  }
  return cell_guarantees;
}

} // namespace geraniumhinge::core
