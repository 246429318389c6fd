#pragma once

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck.h>

namespace geraniumhinge::core::test {

/// Sets and prints the seed and the number of runs of RapidCheck, before its
/// first use.
struct FixedSeed
{
  FixedSeed()
  {
    setenv("RC_PARAMS", "seed=20260117 max_success=150", 1);
    BOOST_TEST_MESSAGE("RC_PARAMS=" << std::getenv("RC_PARAMS"));
  }
};

} // namespace geraniumhinge::core::test
