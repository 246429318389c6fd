#define BOOST_TEST_MODULE metrics
#include "kernel/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::kernel;

// Guards against label sets that repeat the type line, which scrapers refuse.
BOOST_AUTO_TEST_CASE(type_line_stands_once_for_all_label_sets)
{
  Metrics metrics;
  metrics.counter("jobs_total{outcome=\"failed\"}").add(2);
  metrics.counter("jobs_total{outcome=\"succeeded\"}").add();
  BOOST_TEST(metrics.text() ==
             "# TYPE geraniumhinge_jobs_total counter\n"
             "geraniumhinge_jobs_total{outcome=\"failed\"} 2\n"
             "geraniumhinge_jobs_total{outcome=\"succeeded\"} 1\n");
}

// Guards against quantiles of few samples, which the estimator can't give.
BOOST_AUTO_TEST_CASE(quantiles_of_few_samples_are_the_maximum)
{
  Summary summary;
  summary.observe(3);
  summary.observe(9);
  BOOST_TEST(summary.quantile(0.5) == 9);
  BOOST_TEST(summary.count() == 2);
}

// Guards against an estimator that is wired to other quantiles than it names.
BOOST_AUTO_TEST_CASE(quantiles_of_many_samples_are_close)
{
  Summary summary;
  constexpr int SAMPLES = 10'000;
  for (int i = 0; i < SAMPLES; i++)
    summary.observe(i * 7919 % SAMPLES);
  BOOST_TEST(summary.quantile(0.5) == 5'000,
             boost::test_tools::tolerance(0.05));
  BOOST_TEST(summary.quantile(0.99) == 9'900,
             boost::test_tools::tolerance(0.05));
}
