// Replays seeded job streams through core and compares the chosen policy with
// each single candidate. Usage: bench_policy [DIRECTORY], which receives
// policy.json and the data of the plots.

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

/// Runs of several variants on the same streams.
struct Study
{
  std::vector<Stream> streams;
  std::vector<Variant> variants;
  std::vector<std::vector<Result>> results; ///< By variant, by stream.

  Summary summary(std::size_t variant) const
  {
    Summary all;
    for (std::size_t i = 0; i < this->streams.size(); ++i) {
      all.add(this->streams[i], this->results[variant][i]);
    }
    return all;
  }
};

void
in_parallel(std::size_t count, const std::function<void(std::size_t)>& fn)
{
  std::atomic<std::size_t> next{ 0 };
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < THREADS; ++i) {
    threads.emplace_back([&next, count, &fn] {
      for (std::size_t at = next++; at < count; at = next++) {
        fn(at);
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
    study.streams.push_back(StreamMaker(deployment, options).make());
  }
  study.results.assign(study.variants.size(), std::vector<Result>(seeds));
  in_parallel(study.variants.size() * seeds, [&study, seeds](std::size_t at) {
    const std::size_t variant = at / seeds;
    const std::size_t seed = at % seeds;
    study.results[variant][seed] =
      Replay(study.streams[seed], study.variants[variant]).run();
  });
  return study;
}

void
print_row(const std::string& name, const Summary& one)
{
  fmt::print("{:<36}{:>9.2f} ±{:<6.2f}{:>7.2f}{:>8.2f}{:>9.1f}{:>8.3f} "
             "±{:<6.3f}{:>7.1f}{:>8.2f}{:>8.4f}{:>7.0f}{:>7.0f}\n",
             name,
             one["completion_min"].mean(),
             one["completion_min"].spread(),
             one["slowdown_p50"].mean(),
             one["slowdown_p99"].mean(),
             one["large_wait_min"].mean(),
             one["fragmentation"].mean(),
             one["fragmentation"].spread(),
             one["urgent_start_p50_s"].mean(),
             one["urgent_in_1.6s"].mean(),
             one["lost_work_share"].mean(),
             one["preemptions"].mean(),
             one["migrations"].mean());
}

nlohmann::json
report(const std::string& title, const Study& study)
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
  nlohmann::json all;
  for (std::size_t i = 0; i < study.variants.size(); ++i) {
    const Summary one = study.summary(i);
    print_row(study.variants[i].name, one);
    all[study.variants[i].name] = one.json();
  }
  return all;
}

/// Index of the baseline with the lowest figure.
std::size_t
best_baseline(const Study& study, const std::string& figure)
{
  std::size_t best = 0;
  for (std::size_t i = 1; i < BASELINES; ++i) {
    if (study.summary(i)[figure].mean() < study.summary(best)[figure].mean()) {
      best = i;
    }
  }
  return best;
}

/// Our figure over that of the best baseline, and the other measure over the
/// same baseline's. The chosen policy follows the baselines.
nlohmann::json
ratios(const Study& study, const std::string& figure, const std::string& other)
{
  const std::size_t best = best_baseline(study, figure);
  const Summary ours = study.summary(BASELINES);
  const Summary theirs = study.summary(best);
  return { { "baseline", study.variants[best].name },
           { figure, ours[figure].mean() / theirs[figure].mean() },
           { other, ours[other].mean() / theirs[other].mean() } };
}

std::vector<Variant>
main_variants(const std::string& deployment, bool all)
{
  std::vector<Variant> variants = baselines();
  variants.push_back(chosen(deployment));
  if (all) {
    for (const std::vector<Variant>& more :
         { reserving(), ablations(deployment) }) {
      variants.insert(variants.end(), more.begin(), more.end());
    }
  }
  return variants;
}

void
write_timeline(const std::string& path, const Study& study)
{
  std::ofstream out(path);
  const std::size_t best = best_baseline(study, "fragmentation");
  const std::vector<double>& theirs = study.results[best][0].fragmentation;
  const std::vector<double>& ours = study.results[BASELINES][0].fragmentation;
  for (std::size_t i = 0; i < std::min(theirs.size(), ours.size()); ++i) {
    out << static_cast<double>(i) / 12 << ' ' << theirs[i] << ' ' << ours[i]
        << '\n';
  }
}

/// Change of the mean completion time of the other organisations' jobs when
/// organisation 0 submits ten times its jobs.
double
flood_change(const Deployment& deployment, const Variant& variant)
{
  std::vector<double> means;
  for (const std::uint32_t flood : { 1U, 10U }) {
    StreamOptions options;
    options.flood = flood;
    options.bursts = false;
    const Study study = run_study(deployment, { variant }, 3, options);
    std::vector<double> completion;
    for (std::size_t i = 0; i < study.streams.size(); ++i) {
      for (const FinishedJob& one : study.results[0][i].finished) {
        if (study.streams[i].jobs[one.id].organisation != 0) {
          completion.push_back(one.completion_ms);
        }
      }
    }
    means.push_back(mean_of(completion));
  }
  return means[1] / means[0] - 1;
}

nlohmann::json
isolation(Deployment deployment)
{
  nlohmann::json all;
  deployment.horizon = DAY;
  // Ten times the load of organisation 0 is then 2.3 times the fleet.
  deployment.load = 0.5;
  for (const double limit : { 0.0, 1.0 }) {
    Variant variant = chosen(deployment.name);
    variant.share_limit = limit;
    const double change = flood_change(deployment, variant);
    fmt::print("isolation {:<12} load {:.2f} limit {:.1f}: {:+.1f}%\n",
               deployment.name,
               deployment.load,
               limit,
               100 * change);
    all.push_back({ { "load", deployment.load },
                    { "share_limit", limit },
                    { "change", change } });
  }
  return all;
}

nlohmann::json
load_sweep(Deployment deployment)
{
  nlohmann::json all;
  for (const double load : { 0.7, 1.0, 1.25 }) {
    deployment.load = load;
    const Study study = run_study(
      deployment, main_variants(deployment.name, false), 3, StreamOptions{});
    const double completion =
      ratios(study, "completion_min", "fragmentation")["completion_min"];
    const double fragmentation =
      ratios(study, "fragmentation", "completion_min")["fragmentation"];
    fmt::print("load {:.2f} {:<12} completion {:.3f} fragmentation {:.3f}\n",
               load,
               deployment.name,
               completion,
               fragmentation);
    all.push_back({ { "load", load },
                    { "completion_ratio", completion },
                    { "fragmentation_ratio", fragmentation } });
  }
  return all;
}

nlohmann::json
today(const Deployment& deployment,
      const std::string& directory,
      nlohmann::json& headline)
{
  nlohmann::json all;
  const Study quiet = run_study(
    deployment, main_variants(deployment.name, true), 5, StreamOptions{});
  all["quiet"] = report(deployment.name, quiet);
  StreamOptions faulty;
  faulty.faults = true;
  const Study faults =
    run_study(deployment, main_variants(deployment.name, false), 5, faulty);
  all["faults"] = report(deployment.name + ", with faults", faults);
  const bool by_completion = deployment.name == "valcorta";
  headline = by_completion ? ratios(quiet, "completion_min", "fragmentation")
                           : ratios(quiet, "fragmentation", "completion_min");
  all["ratios"] = headline;
  all["ratios_with_faults"] =
    by_completion ? ratios(faults, "completion_min", "fragmentation")
                  : ratios(faults, "fragmentation", "completion_min");
  all["slowdown_p99_ratio"] =
    ratios(quiet, "slowdown_p99", "completion_min")["slowdown_p99"];
  write_timeline(directory + "/policy_" + deployment.name + ".dat", quiet);
  return all;
}

nlohmann::json
in_two_years()
{
  const Deployment deployment = two_year();
  nlohmann::json all;
  for (const bool faults : { false, true }) {
    StreamOptions options;
    options.faults = faults;
    const Study study =
      run_study(deployment, main_variants(deployment.name, false), 2, options);
    all[faults ? "faults" : "quiet"] =
      report(deployment.name + (faults ? ", with faults" : ""), study);
  }
  return all;
}

} // namespace

int
main(int argc, char** argv)
{
  const std::string directory = argc > 1 ? argv[1] : "docs/measurements";
  nlohmann::json all;
  nlohmann::json fragmentation;
  nlohmann::json completion;
  const Deployment first = consortium();
  const Deployment second = valcorta();
  all["seeds"] = { { "first", FIRST_SEED }, { "count", 5 } };
  all[first.name] = today(first, directory, fragmentation);
  all[second.name] = today(second, directory, completion);
  all["two-year"] = in_two_years();
  fmt::print("\n");
  for (const Deployment& one : { first, second }) {
    all["load_sweep"][one.name] = load_sweep(one);
    all["isolation"][one.name] = isolation(one);
  }
  std::ofstream(directory + "/policy.json") << all.dump(1) << '\n';
  fmt::print("\nconsortium completion {:.3f}, valcorta fragmentation {:.3f} of "
             "the same baselines\n",
             fragmentation["completion_min"].get<double>(),
             completion["fragmentation"].get<double>());
  fmt::print("completion_ratio={:.3f} fragmentation_ratio={:.3f}\n",
             completion["completion_min"].get<double>(),
             fragmentation["fragmentation"].get<double>());
  return 0;
}
