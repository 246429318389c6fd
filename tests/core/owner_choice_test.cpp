#define BOOST_TEST_MODULE owner_choice
#include "core/owner_choice.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::core;

namespace {

/// Time that a claim needs to be seen by the other entries, in ms.
constexpr std::int64_t CLAIM_MS = 50;

} // namespace

// Guards against an owner with too little processor time while an entry with a
// larger share of a core could place the work.
BOOST_AUTO_TEST_CASE(entries_with_a_larger_share_claim_first)
{
  BOOST_TEST(claim_delay_ms(0.5) == 0);
  BOOST_TEST(claim_delay_ms(4) == 0);
  BOOST_TEST(claim_delay_ms(0.25) >= claim_delay_ms(0.5) + CLAIM_MS);
  BOOST_TEST(claim_delay_ms(0.12) >= claim_delay_ms(0.25) + CLAIM_MS);
}

// Guards against a takeover by entries with small shares that takes much longer
// than the detection of the owner's silence.
BOOST_AUTO_TEST_CASE(small_entries_take_over_too)
{
  BOOST_TEST(claim_delay_ms(0) <= 400);
}
