// Replays seeded job streams with the scheduling decisions of core and compares
// the chosen policy with each placement rule alone. Usage: bench_policy
// [DIRECTORY]. Writes policy.json and the data of the plots to DIRECTORY.

#include "bench/policy_deployments.h"
#include "bench/policy_replay_run.h"
#include "bench/policy_summary.h"
#include "bench/policy_variants.h"

#include <atomic>
#include <cstdio>
#include <fmt/core.h>
#include <fstream>
#include <functional>
#include <thread>

using namespace geraniumhinge;
using namespace geraniumhinge::bench;

namespace {

constexpr std::uint64_t FIRST_SEED = 9'001;
constexpr unsigned THREADS = 4;

/// Results of several variants on the same streams.
struct Study
{
  std::vector<Stream> streams;
  std::vector<Variant> variants;
  std::vector<std::vector<Result>> results; ///< By variant, by stream.

  Summary summary(std::size_t variant) const
  {
    Summary total;
    for (std::size_t i = 0; i < this->streams.size(); ++i) {
      total.add(this->streams[i], this->results[variant][i]);
    }
    return total;
  }
};

void
run_parallel(std::size_t count, const std::function<void(std::size_t)>& fn)
{
  std::atomic<std::size_t> next{ 0 };
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < THREADS; ++i) {
    threads.emplace_back([&next, count, &fn] {
      for (std::size_t index = next++; index < count; index = next++) {
        fn(index);
      }
    });
  }
}

Study
run_study(const Deployment& deployment,
          std::vector<Variant> variants,
          std::uint32_t seeds,
          StreamOptions options)
{
  Study study;
  study.variants = std::move(variants);
  for (std::uint32_t i = 0; i < seeds; ++i) {
    options.seed = FIRST_SEED + i;
    study.streams.push_back(StreamGenerator(deployment, options).generate());
  }
  study.results.assign(study.variants.size(), std::vector<Result>(seeds));
  run_parallel(study.variants.size() * seeds,
               [&study, seeds](std::size_t index) {
                 const std::size_t variant = index / seeds;
                 const std::size_t seed = index % seeds;
                 study.results[variant][seed] =
                   Replay(study.streams[seed], study.variants[variant]).run();
               });
  return study;
}

void
print_row(const std::string& name, const Summary& summary)
{
  fmt::print("{:<36}{:>9.2f} ±{:<6.2f}{:>7.2f}{:>8.2f}{:>9.1f}{:>8.3f} "
             "±{:<6.3f}{:>7.1f}{:>8.2f}{:>8.4f}{:>7.0f}{:>7.0f}\n",
             name,
             summary["completion_min"].mean(),
             summary["completion_min"].standard_deviation(),
             summary["slowdown_p50"].mean(),
             summary["slowdown_p99"].mean(),
             summary["large_wait_min"].mean(),
             summary["fragmentation"].mean(),
             summary["fragmentation"].standard_deviation(),
             summary["urgent_start_p50_s"].mean(),
             summary["urgent_in_1.6s"].mean(),
             summary["lost_work_share"].mean(),
             summary["preemptions"].mean(),
             summary["migrations"].mean());
}

nlohmann::json
print_report(const std::string& title, const Study& study)
{
  fmt::print(
    "\n{}\n{:<36}{:>17}{:>7}{:>8}{:>9}{:>16}{:>7}{:>8}{:>8}{:>7}{:>7}\n",
    title,
    "variant",
    "completion min",
    "p50",
    "p99",
    "large w.",
    "fragmentation",
    "urg s",
    "<1.6 s",
    "lost",
    "pre.",
    "migr.");
  nlohmann::json result;
  for (std::size_t i = 0; i < study.variants.size(); ++i) {
    const Summary summary = study.summary(i);
    print_row(study.variants[i].name, summary);
    result[study.variants[i].name] = summary.json();
  }
  return result;
}

/// Returns the index of the baseline with the lowest mean of `metric`.
std::size_t
best_baseline(const Study& study, const std::string& metric)
{
  std::size_t best = 0;
  for (std::size_t i = 1; i < BASELINE_COUNT; ++i) {
    if (study.summary(i)[metric].mean() < study.summary(best)[metric].mean()) {
      best = i;
    }
  }
  return best;
}

/// Returns the ratios of the chosen policy to the baseline with the lowest
/// `metric`, for `metric` and for `other_metric`. The chosen policy has the
/// index BASELINE_COUNT, after the baselines.
nlohmann::json
ratios(const Study& study,
       const std::string& metric,
       const std::string& other_metric)
{
  const std::size_t best = best_baseline(study, metric);
  const Summary chosen = study.summary(BASELINE_COUNT);
  const Summary baseline = study.summary(best);
  return { { "baseline", study.variants[best].name },
           { metric, chosen[metric].mean() / baseline[metric].mean() },
           { other_metric,
             chosen[other_metric].mean() / baseline[other_metric].mean() } };
}

std::vector<Variant>
study_variants(const std::string& deployment, bool with_ablations)
{
  std::vector<Variant> variants = baseline_variants();
  variants.push_back(chosen_variant(deployment));
  if (with_ablations) {
    for (const std::vector<Variant>& group :
         { reservation_variants(), ablation_variants(deployment) }) {
      variants.insert(variants.end(), group.begin(), group.end());
    }
  }
  return variants;
}

void
write_timeline(const std::string& path, const Study& study)
{
  std::ofstream out(path);
  const std::size_t best = best_baseline(study, "fragmentation");
  const std::vector<double>& baseline = study.results[best][0].fragmentation;
  const std::vector<double>& chosen =
    study.results[BASELINE_COUNT][0].fragmentation;
  for (std::size_t i = 0; i < std::min(baseline.size(), chosen.size()); ++i) {
    out << static_cast<double>(i) / 12 << ' ' << baseline[i] << ' ' << chosen[i]
        << '\n';
  }
}

/// Returns the relative change of the mean completion time of the other
/// organisations' jobs when organisation 0 submits ten times as many jobs.
double
completion_change_under_overload(const Deployment& deployment,
                                 const Variant& variant)
{
  std::vector<double> means;
  for (const std::uint32_t first_organisation_factor : { 1U, 10U }) {
    StreamOptions options;
    options.first_organisation_factor = first_organisation_factor;
    options.bursts = false;
    const Study study = run_study(deployment, { variant }, 3, options);
    std::vector<double> completion;
    for (std::size_t i = 0; i < study.streams.size(); ++i) {
      for (const FinishedJob& finished_job : study.results[0][i].finished) {
        if (study.streams[i].jobs[finished_job.id].organisation != 0) {
          completion.push_back(finished_job.completion_ms);
        }
      }
    }
    means.push_back(mean_of(completion));
  }
  return means[1] / means[0] - 1;
}

nlohmann::json
measure_isolation(Deployment deployment)
{
  nlohmann::json result;
  deployment.horizon_ms = DAY_MS;
  // With ten times the jobs of organisation 0, the total load is 2.3 times the
  // capacity of the fleet.
  deployment.load = 0.5;
  for (const double limit : { 0.0, 1.0 }) {
    Variant variant = chosen_variant(deployment.name);
    variant.share_limit = limit;
    const double change = completion_change_under_overload(deployment, variant);
    fmt::print("isolation {:<12} load {:.2f} limit {:.1f}: {:+.1f}%\n",
               deployment.name,
               deployment.load,
               limit,
               100 * change);
    result.push_back({ { "load", deployment.load },
                       { "share_limit", limit },
                       { "change", change } });
  }
  return result;
}

nlohmann::json
load_sweep(Deployment deployment)
{
  nlohmann::json result;
  for (const double load : { 0.7, 1.0, 1.25 }) {
    deployment.load = load;
    const Study study = run_study(
      deployment, study_variants(deployment.name, false), 3, StreamOptions{});
    const double completion =
      ratios(study, "completion_min", "fragmentation")["completion_min"];
    const double fragmentation =
      ratios(study, "fragmentation", "completion_min")["fragmentation"];
    fmt::print("load {:.2f} {:<12} completion {:.3f} fragmentation {:.3f}\n",
               load,
               deployment.name,
               completion,
               fragmentation);
    result.push_back({ { "load", load },
                       { "completion_ratio", completion },
                       { "fragmentation_ratio", fragmentation } });
  }
  return result;
}

nlohmann::json
evaluate_deployment(const Deployment& deployment,
                    const std::string& directory,
                    nlohmann::json& headline_ratios)
{
  nlohmann::json result;
  const Study without_faults = run_study(
    deployment, study_variants(deployment.name, true), 5, StreamOptions{});
  result["quiet"] = print_report(deployment.name, without_faults);
  StreamOptions fault_options;
  fault_options.faults = true;
  const Study faults = run_study(
    deployment, study_variants(deployment.name, false), 5, fault_options);
  result["faults"] = print_report(deployment.name + ", with faults", faults);
  const bool by_completion = deployment.name == "valcorta";
  headline_ratios =
    by_completion ? ratios(without_faults, "completion_min", "fragmentation")
                  : ratios(without_faults, "fragmentation", "completion_min");
  result["ratios"] = headline_ratios;
  result["ratios_with_faults"] =
    by_completion ? ratios(faults, "completion_min", "fragmentation")
                  : ratios(faults, "fragmentation", "completion_min");
  result["slowdown_p99_ratio"] =
    ratios(without_faults, "slowdown_p99", "completion_min")["slowdown_p99"];
  write_timeline(directory + "/policy_" + deployment.name + ".dat",
                 without_faults);
  return result;
}

nlohmann::json
evaluate_two_year_scale()
{
  const Deployment deployment = two_year();
  nlohmann::json result;
  for (const bool faults : { false, true }) {
    StreamOptions options;
    options.faults = faults;
    const Study study =
      run_study(deployment, study_variants(deployment.name, false), 2, options);
    result[faults ? "faults" : "quiet"] =
      print_report(deployment.name + (faults ? ", with faults" : ""), study);
  }
  return result;
}

} // namespace

int
main(int argc, char** argv)
{
  const std::string directory = argc > 1 ? argv[1] : "docs/measurements";
  nlohmann::json result;
  nlohmann::json consortium_ratios;
  nlohmann::json valcorta_ratios;
  const Deployment consortium_deployment = consortium();
  const Deployment valcorta_deployment = valcorta();
  result["seeds"] = { { "first", FIRST_SEED }, { "count", 5 } };
  result[consortium_deployment.name] =
    evaluate_deployment(consortium_deployment, directory, consortium_ratios);
  result[valcorta_deployment.name] =
    evaluate_deployment(valcorta_deployment, directory, valcorta_ratios);
  result["two-year"] = evaluate_two_year_scale();
  fmt::print("\n");
  for (const Deployment& deployment :
       { consortium_deployment, valcorta_deployment }) {
    result["load_sweep"][deployment.name] = load_sweep(deployment);
    result["isolation"][deployment.name] = measure_isolation(deployment);
  }
  std::ofstream(directory + "/policy.json") << result.dump(1) << '\n';
  fmt::print("\nconsortium completion {:.3f}, valcorta fragmentation {:.3f} of "
             "the same baselines\n",
             consortium_ratios["completion_min"].get<double>(),
             valcorta_ratios["fragmentation"].get<double>());
  fmt::print("completion_ratio={:.3f} fragmentation_ratio={:.3f}\n",
             valcorta_ratios["completion_min"].get<double>(),
             consortium_ratios["fragmentation"].get<double>());
  return 0;
}
