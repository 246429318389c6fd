#define BOOST_TEST_MODULE metrics
#include "kernel/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace geraniumhinge::kernel;

// Guards against a TYPE line per label set: scrapers reject a repeated TYPE
// line.
BOOST_AUTO_TEST_CASE(label_sets_share_one_type_line)
{
  Metrics metrics;
  metrics.counter("jobs_total{outcome=\"failed\"}").add(2);
  metrics.counter("jobs_total{outcome=\"succeeded\"}").add();
  BOOST_TEST(metrics.text() ==
             "# TYPE geraniumhinge_jobs_total counter\n"
             "geraniumhinge_jobs_total{outcome=\"failed\"} 2\n"
             "geraniumhinge_jobs_total{outcome=\"succeeded\"} 1\n");
}

// Guards against wrong quantiles of few samples, which the estimator can't
// compute: the maximum is returned instead.
BOOST_AUTO_TEST_CASE(quantiles_of_few_samples_are_the_maximum)
{
  Summary summary;
  summary.observe(3);
  summary.observe(9);
  BOOST_TEST(summary.quantile(0.5) == 9);
  BOOST_TEST(summary.count() == 2);
}

// Guards against an estimator that computes other quantiles than the requested
// ones.
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

// Guards against bucket counts that are not cumulative, as readers of the
// Prometheus format expect them to be, and against labels that get lost.
BOOST_AUTO_TEST_CASE(histograms_count_cumulatively)
{
  Metrics metrics;
  Histogram& histogram = metrics.histogram("call_ms{kind=\"read\"}");
  for (double value : { 0.5, 7.0, 7.5, 90'000.0 })
    histogram.observe(value);
  std::string text = metrics.text();
  for (const char* line :
       { "# TYPE geraniumhinge_call_ms histogram\n",
         "geraniumhinge_call_ms_bucket{kind=\"read\",le=\"5\"} 1\n",
         "geraniumhinge_call_ms_bucket{kind=\"read\",le=\"10\"} 3\n",
         "geraniumhinge_call_ms_bucket{kind=\"read\",le=\"30000\"} 3\n",
         "geraniumhinge_call_ms_bucket{kind=\"read\",le=\"+Inf\"} 4\n",
         "geraniumhinge_call_ms_count{kind=\"read\"} 4\n" })
    BOOST_TEST(text.find(line) != std::string::npos);
}
