#include "review/probe/cases.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace geraniumhinge::review {

namespace {

constexpr char JOB[] = "5c0e7a21d94b36f8";
constexpr int ACCEPTED = 200;
constexpr int ALL_ACCELERATORS = 8;

std::string
task(int step, int index)
{
  return fmt::format("{}.0.{}.{}", JOB, step, index);
}

bool
submit(World& world, const std::string& body)
{
  return world.call("POST", std::string(QUEUE) + JOB, body).status == ACCEPTED;
}

bool
is_final(const std::string& state)
{
  return state == "completed" || state == "failed" || state == "canceled";
}

/// Asks for the job until it has ended. Returns the last state.
std::string
final_state(World& world, int limit_ms)
{
  constexpr int POLL_MS = 500;
  std::string state;
  for (int waited = 0; waited < limit_ms && !is_final(state);
       waited += POLL_MS) {
    world.pause(POLL_MS);
    state = world.state(JOB);
  }
  return state;
}

} // namespace

Case
find_case(const std::string& name)
{
  static const std::map<std::string, Case> cases{
    { "late-accept", &cancelled_before_stored },
    { "gang-budget", &gang_failure_behind_a_freeze },
    { "crashes", &given_up_after_crashes },
    { "lasting", &lasting_task_not_restarted },
    { "machines-lost", &machines_lost_with_owner },
    { "quarantine", &healthy_worker_not_used },
    { "route", &route_removed },
    { "scale-out", &workers_added_beside_advice },
    { "waiting", &waiting_job_not_counted },
  };
  std::map<std::string, Case>::const_iterator found = cases.find(name);
  return found == cases.end() ? nullptr : found->second;
}

/// UNASKED: the store loses the answers of the writes of one submission and
/// performs them late. The caller, told that the outcome is unknown, cancels
/// the job; that is acknowledged, and the job runs all the same.
Verdict
cancelled_before_stored(World& world, bool trouble)
{
  constexpr int WORKERS = 3;
  constexpr int ATTEMPTS = 4;
  constexpr int WORK_MS = 10'000;
  constexpr int OTHER_WORK_MS = 100;
  constexpr int OTHER_JOBS = 24;
  constexpr int OTHER_PERIOD_MS = 100;
  constexpr kernel::Milliseconds LATE{ 5'900 };
  constexpr std::int64_t CANCEL_MS = 3'000;
  constexpr std::int64_t STOP_GRACE_MS = 900;
  constexpr int RUN_LIMIT_MS = 10'000;
  constexpr int UNKNOWN_JOB = 410;
  world.configure(3, nlohmann::json::array({ World::route(QUEUE, ATTEMPTS) }));
  world.plan = [](const Run&, const std::string& spec) {
    return WorkPlan{ spec == "other" ? OTHER_WORK_MS : WORK_MS, "done" };
  };
  world.add_entry();
  world.add_entry();
  for (int index = 0; index < WORKERS; ++index)
    world.add_worker();
  if (!world.wait_ready())
    return Verdict::NotRun;
  world.store_front().lose_writes(trouble ? std::string("j/") + JOB : "", LATE);
  std::vector<kernel::Subscription> others;
  others.reserve(OTHER_JOBS);
  for (int index = 0; index < OTHER_JOBS; ++index)
    others.push_back(world.after(index * OTHER_PERIOD_MS, [&world, index] {
      world.call_beside("POST",
                        fmt::format("{}{:016x}", QUEUE, index + 1),
                        submission("other", 1, 1, false),
                        static_cast<std::size_t>(index % 2));
    }));
  Reply submitted = world.call(
    "POST", std::string(QUEUE) + JOB, submission("text", 1, 1, false));
  world.store_front().lose_writes("", LATE);
  world.note(fmt::format("the store lost the answers of {} of {} writes",
                         world.store_front().lost_writes,
                         world.store_front().writes));
  Reply cancelled = world.call("DELETE", std::string(QUEUE) + JOB);
  if (cancelled.status != ACCEPTED && cancelled.status != UNKNOWN_JOB)
    return Verdict::NotRun;
  std::int64_t cancelled_ms = world.now_ms();
  world.pause(RUN_LIMIT_MS);
  bool broken = false;
  std::string name = task(0, 0);
  for (const Sighting& item : world.sightings) {
    std::int64_t after_ms = item.at_ms - cancelled_ms;
    if (item.run.first != name || after_ms <= 0)
      continue;
    world.note(
      fmt::format("{} ms after the cancelling: {}", after_ms, item.event));
    broken = broken || (item.event == "start" && after_ms > CANCEL_MS);
  }
  bool runs_on = world.worker_of({ name, 1 }).has_value() &&
                 world.now_ms() - cancelled_ms > CANCEL_MS + STOP_GRACE_MS;
  if (runs_on)
    world.note("the job runs on");
  return broken || runs_on ? Verdict::Broken : Verdict::Held;
}

/// BUDGET: a member of a gang fails in each attempt by its task's own fault.
/// During the first attempt the member's agent is frozen for a moment.
Verdict
gang_failure_behind_a_freeze(World& world, bool trouble)
{
  constexpr int MEMBERS = 3;
  constexpr std::size_t ATTEMPTS = 4;
  constexpr std::uint32_t MAX_ATTEMPT = 7;
  constexpr int WORK_MS = 1'500;
  constexpr int PLACE_LIMIT_MS = 8'000;
  constexpr int POLL_LIMIT_MS = 1'500;
  constexpr int FAIL_AFTER_FREEZE_MS = 50;
  constexpr int FREEZE_MS = 2'450;
  constexpr std::int64_t FRESH_MS = 20;
  constexpr int END_LIMIT_MS = 10'000;
  const std::string failing = task(0, 1);
  world.configure(
    3,
    nlohmann::json::array({ World::route(QUEUE, static_cast<int>(ATTEMPTS)) }));
  world.gang_size = [](const std::string&) { return std::size_t{ MEMBERS }; };
  world.plan = [](const Run&, const std::string&) {
    return WorkPlan{ 1'000'000, "done" };
  };
  world.add_entry();
  world.add_entry();
  for (int index = 0; index < MEMBERS; ++index)
    world.add_worker();
  if (!world.wait_ready() ||
      !submit(world, submission("gang", MEMBERS, ALL_ACCELERATORS, true)))
    return Verdict::NotRun;
  for (std::uint32_t attempt = 1; attempt <= MAX_ATTEMPT; ++attempt) {
    Run run{ failing, attempt };
    auto is_working = [&world, &run] {
      std::optional<std::size_t> on = world.worker_of(run);
      return on && world.workers[*on]->running[run].working_since_ms != 0;
    };
    if (!world.wait(PLACE_LIMIT_MS, is_working))
      break;
    world.pause(WORK_MS);
    std::size_t on = *world.worker_of(run);
    if (trouble && attempt == 1) {
      // Just after the worker's lease was renewed, so that it lasts.
      world.wait(POLL_LIMIT_MS, [&world, on] {
        return kernel::boot_ms() - world.workers[on]->renewed_ms < FRESH_MS;
      });
      world.note(fmt::format("machine side-{} freezes", on + 1));
      world.agent(on).freeze();
      world.pause(FAIL_AFTER_FREEZE_MS);
      world.fail(on, run);
      world.pause(FREEZE_MS - FAIL_AFTER_FREEZE_MS);
      world.agent(on).resume();
      world.note(fmt::format("machine side-{} wakes", on + 1));
    } else {
      world.fail(on, run);
    }
  }
  std::string state = final_state(world, END_LIMIT_MS);
  // Ends that were taken note of, without a lapse of the lease in between.
  std::size_t failed = 0;
  bool broken = false;
  for (std::size_t at = 0; at < world.sightings.size(); ++at) {
    const Sighting& item = world.sightings[at];
    if (item.run.first != failing)
      continue;
    if (item.event == "start" && failed >= ATTEMPTS) {
      world.note(fmt::format(
        "attempt {} started after {} failed runs", item.run.second, failed));
      broken = true;
    }
    if (item.event != "failed")
      continue;
    for (std::size_t later = at + 1; later < world.sightings.size(); ++later) {
      const Sighting& next = world.sightings[later];
      if (next.worker != item.worker)
        continue;
      if (next.event == "lease over")
        break;
      if (next.event == "noted: failed" && next.run == item.run) {
        ++failed;
        break;
      }
    }
  }
  world.note(fmt::format("{} failed runs were taken note of, state {}",
                         failed,
                         state.empty() ? "unknown" : state));
  if (failed < ATTEMPTS)
    return Verdict::NotRun;
  return broken ? Verdict::Broken : Verdict::Held;
}

/// LOST: workers crash one after the other and come back; the job of a gang
/// that runs on all of them is given up although none of its tasks failed.
Verdict
given_up_after_crashes(World& world, bool trouble)
{
  constexpr int WORKERS = 6;
  constexpr int ATTEMPTS = 4;
  constexpr int CRASHES = 5;
  constexpr int WORK_MS = 7'000;
  constexpr int CRASH_AFTER_MS = 3'000;
  constexpr int DOWN_MS = 2'000;
  constexpr int START_LIMIT_MS = 12'000;
  constexpr int END_LIMIT_MS = 40'000;
  world.configure(3, nlohmann::json::array({ World::route(QUEUE, ATTEMPTS) }));
  world.gang_size = [](const std::string&) { return std::size_t{ WORKERS }; };
  world.plan = [](const Run&, const std::string&) {
    return WorkPlan{ WORK_MS, "done" };
  };
  world.add_entry();
  world.add_entry();
  for (int index = 0; index < WORKERS; ++index)
    world.add_worker();
  if (!world.wait_ready() ||
      !submit(world, submission("gang", WORKERS, ALL_ACCELERATORS, true)))
    return Verdict::NotRun;
  for (int crash = 0; trouble && crash < CRASHES; ++crash) {
    Worker& worker = *world.workers[static_cast<std::size_t>(crash)];
    bool working = world.wait(START_LIMIT_MS, [&worker] {
      return std::any_of(
        worker.running.begin(),
        worker.running.end(),
        [](const std::pair<const Run, Worker::RunState>& item) {
          return item.second.working_since_ms != 0;
        });
    });
    if (!working)
      break;
    world.pause(CRASH_AFTER_MS);
    world.note(fmt::format("worker i-{} crashes", crash + 1));
    worker.crash();
    world.pause(DOWN_MS);
    worker.start();
    world.note(fmt::format("worker i-{} is back", crash + 1));
  }
  std::string state = final_state(world, END_LIMIT_MS);
  std::size_t failed = 0;
  for (const Sighting& item : world.sightings)
    failed += item.event == "failed" ? 1 : 0;
  world.note(fmt::format("shown as {}; {} runs ended failed", state, failed));
  if (state == "failed" && failed == 0)
    return Verdict::Broken;
  return state == "completed" ? Verdict::Held : Verdict::NotRun;
}

/// LOST: a configuration removes the route of an accepted job whose queue needs
/// tickets. The next step of the job never starts.
Verdict
route_removed(World& world, bool trouble)
{
  constexpr int WORKERS = 3;
  constexpr int ATTEMPTS = 4;
  constexpr int WORK_MS = 3'000;
  constexpr int START_LIMIT_MS = 10'000;
  constexpr int END_LIMIT_MS = 10'000;
  /// `finish_s` after the end of the traffic, jobs are asked for.
  constexpr int NEXT_STEP_LIMIT_MS = 14'000;
  nlohmann::json advised = World::route(QUEUE, ATTEMPTS);
  advised["recommendation"] = { { "decide_ms", 20 },
                                { "per_worker_ms", 2 },
                                { "validity_ms", 20'000 } };
  nlohmann::json other = World::route("/ngoe17/", ATTEMPTS);
  world.configure(3, { advised, other });
  world.plan = [](const Run&, const std::string&) {
    return WorkPlan{ WORK_MS, "done" };
  };
  world.add_entry();
  world.add_entry();
  for (int index = 0; index < WORKERS; ++index)
    world.add_worker("advised");
  nlohmann::json body =
    nlohmann::json::parse(submission("advised", 1, 1, false));
  body["phases"].push_back(body["phases"][0]);
  body["phases"][1]["depends_on"] = { 0 };
  if (!world.wait_ready() || !submit(world, body.dump()) ||
      !world.wait(START_LIMIT_MS,
                  [&world] { return world.count("start", task(0, 0)) > 0; }))
    return Verdict::NotRun;
  if (trouble)
    world.configure(8, nlohmann::json::array({ other }));
  if (!world.wait(END_LIMIT_MS,
                  [&world] { return world.count("done", task(0, 0)) > 0; }))
    return Verdict::NotRun;
  bool started = world.wait(NEXT_STEP_LIMIT_MS, [&world] {
    return world.count("start", task(1, 0)) > 0;
  });
  world.note(fmt::format("{} s after the first step, the second one has {}; {} "
                         "starts were rejected for want of a ticket",
                         NEXT_STEP_LIMIT_MS / 1'000,
                         started ? "started" : "not started",
                         world.count("rejected: ticket", task(1, 0))));
  return started ? Verdict::Held : Verdict::Broken;
}

/// LOST: a large gang comes that has to wait for one long task. Meanwhile a
/// task that lasts fails once, and is not started again although two workers
/// are idle.
Verdict
lasting_task_not_restarted(World& world, bool trouble)
{
  constexpr int WORKERS = 3;
  constexpr int ATTEMPTS = 4;
  constexpr int LONG_WORK_MS = 30'000;
  constexpr int GANG_WORK_MS = 4'000;
  constexpr int LASTING_WORK_MS = 1'000'000;
  constexpr int START_LIMIT_MS = 5'000;
  constexpr int LASTING_RUN_MS = 2'000;
  constexpr int GANG_LEAD_MS = 1'000;
  /// A task that lasts has to run again 6 s after its last run, and 3 s later
  /// at the latest.
  constexpr int RESTART_LIMIT_MS = 9'000;
  constexpr char LOW_QUEUE[] = "/ngoe17/";
  constexpr char LONG_JOB[] = "00000000000000f1";
  constexpr char GANG_JOB[] = "00000000000000f2";
  nlohmann::json low_route = World::route(LOW_QUEUE, ATTEMPTS);
  low_route["priority"] = 2;
  world.configure(
    3, nlohmann::json::array({ World::route(QUEUE, ATTEMPTS), low_route }));
  world.gang_size = [](const std::string& spec) {
    return spec == "gang" ? std::size_t{ WORKERS } : std::size_t{ 0 };
  };
  world.plan = [](const Run&, const std::string& spec) {
    int work_ms = spec == "gang"   ? GANG_WORK_MS
                  : spec == "long" ? LONG_WORK_MS
                                   : LASTING_WORK_MS;
    return WorkPlan{ work_ms, "done" };
  };
  world.add_entry();
  world.add_entry();
  for (int index = 0; index < WORKERS; ++index)
    world.add_worker();
  nlohmann::json long_job =
    nlohmann::json::parse(submission("long", 1, 1, false));
  long_job["phases"][0]["estimate_ms"] = LONG_WORK_MS;
  nlohmann::json lasting =
    nlohmann::json::parse(submission("lasting", 1, 1, false));
  lasting["phases"][0].erase("estimate_ms");
  lasting["phases"][0]["long_lived"] = true;
  std::string lasting_task = task(0, 0);
  bool submitted =
    world.wait_ready() &&
    world.call("POST", std::string(QUEUE) + LONG_JOB, long_job.dump()).status ==
      ACCEPTED &&
    world.call("POST", std::string(LOW_QUEUE) + JOB, lasting.dump()).status ==
      ACCEPTED &&
    world.wait(START_LIMIT_MS, [&world, &lasting_task] {
      return world.count("start", lasting_task) > 0;
    });
  if (!submitted)
    return Verdict::NotRun;
  world.pause(LASTING_RUN_MS);
  std::string gang = submission("gang", WORKERS, ALL_ACCELERATORS, true);
  if (trouble &&
      world.call("POST", std::string(QUEUE) + GANG_JOB, gang).status !=
        ACCEPTED)
    return Verdict::NotRun;
  world.pause(GANG_LEAD_MS);
  Run run{ lasting_task, 1 };
  std::optional<std::size_t> on = world.worker_of(run);
  if (!on)
    return Verdict::NotRun;
  world.fail(*on, run);
  bool restarted = world.wait(RESTART_LIMIT_MS, [&world, &lasting_task] {
    return world.count("start", lasting_task) > 1;
  });
  std::size_t idle = 0;
  for (std::unique_ptr<Worker>& worker : world.workers)
    idle += worker->running.empty() ? 1 : 0;
  world.note(
    fmt::format("{} s after its end the task runs {}, {} workers of {} "
                "are idle",
                RESTART_LIMIT_MS / 1'000,
                restarted ? "again" : "not",
                idle,
                WORKERS));
  bool later = world.wait(LONG_WORK_MS, [&world, &lasting_task] {
    return world.count("start", lasting_task) > 1;
  });
  world.note(later ? "the task runs again" : "the task never ran again");
  return restarted || idle == 0 ? Verdict::Held : Verdict::Broken;
}

/// LOST: the machine of the owner and the machine of one worker are lost for
/// good at the same time. A task that lasts and ran there is started again too
/// late.
Verdict
machines_lost_with_owner(World& world, bool trouble)
{
  constexpr int WORKERS = 4;
  constexpr int ENTRIES = 3;
  constexpr int ATTEMPTS = 4;
  constexpr int LASTING_WORK_MS = 1'000'000;
  constexpr int START_LIMIT_MS = 5'000;
  constexpr int LASTING_RUN_MS = 3'000;
  /// A task that lasts has to run again 6 s after its last run, and 3 s later
  /// at the latest.
  constexpr int RESTART_LIMIT_MS = 9'000;
  constexpr int LATER_LIMIT_MS = 30'000;
  world.configure(3, nlohmann::json::array({ World::route(QUEUE, ATTEMPTS) }));
  world.plan = [](const Run&, const std::string&) {
    return WorkPlan{ LASTING_WORK_MS, "done" };
  };
  for (int index = 0; index < ENTRIES; ++index)
    world.add_entry();
  for (int index = 0; index < WORKERS; ++index)
    world.add_worker();
  nlohmann::json lasting =
    nlohmann::json::parse(submission("lasting", 1, 1, false));
  lasting["phases"][0].erase("estimate_ms");
  lasting["phases"][0]["long_lived"] = true;
  std::string lasting_task = task(0, 0);
  bool started = world.wait_ready() && submit(world, lasting.dump()) &&
                 world.wait(START_LIMIT_MS, [&world, &lasting_task] {
                   return world.count("start", lasting_task) > 0;
                 });
  world.pause(LASTING_RUN_MS);
  std::optional<std::size_t> on = world.worker_of({ lasting_task, 1 });
  std::optional<std::size_t> owner = world.owner();
  if (!started || !on || !owner)
    return Verdict::NotRun;
  if (!trouble) {
    world.pause(RESTART_LIMIT_MS);
    return world.worker_of({ lasting_task, 1 }) ? Verdict::Held
                                                : Verdict::Broken;
  }
  world.note(fmt::format(
    "machines edge-{} (owner) and side-{} are lost", *owner + 1, *on + 1));
  world.entry(*owner).kill();
  world.agent(*on).kill();
  world.workers[*on]->crash();
  bool restarted = world.wait(RESTART_LIMIT_MS, [&world, &lasting_task] {
    return world.count("start", lasting_task) > 1;
  });
  world.note(fmt::format("{} s after its last run the task runs {}",
                         RESTART_LIMIT_MS / 1'000,
                         restarted ? "again" : "not"));
  bool later = world.wait(LATER_LIMIT_MS, [&world, &lasting_task] {
    return world.count("start", lasting_task) > 1;
  });
  world.note(later ? "the task runs again" : "the task never ran again");
  return restarted ? Verdict::Held : Verdict::Broken;
}

/// LOST: the only worker of a kind fails all that it starts for a while. After
/// it has become healthy again, it gets no work for long.
Verdict
healthy_worker_not_used(World& world, bool trouble)
{
  constexpr int WORKERS = 12;
  constexpr int ATTEMPTS = 4;
  constexpr int WORK_MS = 1'000;
  constexpr int LASTING_WORK_MS = 1'000'000;
  constexpr int START_LIMIT_MS = 5'000;
  constexpr int GREY_MS = 6'500;
  constexpr int CALM_MS = 500;
  /// A task that lasts has to run again 6 s after its last run, and 3 s later
  /// at the latest.
  constexpr int RESTART_LIMIT_MS = 9'000;
  constexpr int LATER_LIMIT_MS = 30'000;
  constexpr char OTHER_JOB[] = "00000000000000f1";
  constexpr char THIRD_JOB[] = "00000000000000f2";
  world.configure(3, nlohmann::json::array({ World::route(QUEUE, ATTEMPTS) }));
  world.plan = [](const Run&, const std::string& spec) {
    return WorkPlan{ spec == "lasting" ? LASTING_WORK_MS : WORK_MS, "done" };
  };
  world.add_entry();
  world.add_entry();
  world.add_worker("", "b");
  for (int index = 1; index < WORKERS; ++index)
    world.add_worker();
  nlohmann::json job = nlohmann::json::parse(submission("text", 1, 1, false));
  job["phases"][0]["requires"] = "b";
  nlohmann::json lasting =
    nlohmann::json::parse(submission("lasting", 1, 1, false));
  lasting["phases"][0].erase("estimate_ms");
  lasting["phases"][0]["requires"] = "b";
  lasting["phases"][0]["long_lived"] = true;
  std::string lasting_task = task(0, 0);
  bool started = world.wait_ready() && submit(world, lasting.dump()) &&
                 world.wait(START_LIMIT_MS, [&world, &lasting_task] {
                   return world.count("start", lasting_task) > 0;
                 });
  if (!started)
    return Verdict::NotRun;
  Worker& worker = *world.workers.front();
  std::int64_t grey_ms = world.now_ms();
  worker.failing = trouble;
  world.note(trouble ? "worker i-1 fails all that it starts" : "no disruption");
  for (const char* id : { OTHER_JOB, THIRD_JOB }) {
    if (world.call("POST", std::string(QUEUE) + id, job.dump()).status !=
        ACCEPTED)
      return Verdict::NotRun;
  }
  world.pause(static_cast<int>(GREY_MS - (world.now_ms() - grey_ms)));
  worker.failing = false;
  world.note("worker i-1 is healthy");
  world.pause(CALM_MS);
  Run run{ lasting_task, 1 };
  if (!world.worker_of(run))
    return Verdict::NotRun;
  world.fail(0, run);
  bool restarted = world.wait(RESTART_LIMIT_MS, [&world, &lasting_task] {
    return world.count("start", lasting_task) > 1;
  });
  world.note(
    fmt::format("{} s after its end the task runs {}, the worker runs {} tasks",
                RESTART_LIMIT_MS / 1'000,
                restarted ? "again" : "not",
                worker.running.size()));
  bool later = world.wait(LATER_LIMIT_MS, [&world, &lasting_task] {
    return world.count("start", lasting_task) > 1;
  });
  world.note(later ? "the task runs again" : "the task never ran again");
  return restarted ? Verdict::Held : Verdict::Broken;
}

/// LOST: empty workers are added. From then on the advice on all of them takes
/// nearly as long as its tickets are valid, and no job of the queue starts.
Verdict
workers_added_beside_advice(World& world, bool trouble)
{
  constexpr int WORKERS = 24;
  constexpr int ADDED = 6;
  constexpr int ADD_PERIOD_MS = 2'000;
  constexpr int ATTEMPTS = 4;
  constexpr int WORK_MS = 1'000;
  constexpr int SETTLE_MS = 4'000;
  constexpr int VALIDITY_MS = 3'000;
  constexpr AdviceTimes TIMES{ 500, 90 };
  /// `finish_s` after the end of the traffic, jobs are asked for.
  constexpr int START_LIMIT_MS = 14'000;
  constexpr int LATER_LIMIT_MS = 26'000;
  nlohmann::json advised = World::route(QUEUE, ATTEMPTS);
  advised["recommendation"] = { { "decide_ms", TIMES.decide_ms },
                                { "per_worker_ms", TIMES.per_worker_ms },
                                { "validity_ms", VALIDITY_MS } };
  world.configure(3, nlohmann::json::array({ advised }));
  world.advice_times = TIMES;
  world.ticket_validity_ms = VALIDITY_MS;
  world.plan = [](const Run&, const std::string&) {
    return WorkPlan{ WORK_MS, "done" };
  };
  world.add_entry();
  world.add_entry();
  for (int index = 0; index < WORKERS; ++index)
    world.add_worker("advised");
  if (!world.wait_ready())
    return Verdict::NotRun;
  for (int index = 0; index < ADDED; ++index) {
    world.pause(ADD_PERIOD_MS);
    if (!trouble)
      continue;
    world.add_worker("advised");
    world.workers.back()->start();
    world.note(fmt::format("worker i-{} is added", world.workers.size()));
  }
  world.pause(SETTLE_MS);
  if (!submit(world, submission("advised", 1, 1, false)))
    return Verdict::NotRun;
  auto has_started = [&world] { return world.count("start", task(0, 0)) > 0; };
  bool started = world.wait(START_LIMIT_MS, has_started);
  world.note(fmt::format("{} s after its acceptance the job has {}, {} calls "
                         "for advice were made",
                         START_LIMIT_MS / 1'000,
                         started ? "started" : "not started",
                         world.advice_calls));
  if (!started && !world.wait(LATER_LIMIT_MS, has_started))
    world.note(fmt::format("the job has never started, {} calls for advice",
                           world.advice_calls));
  return started ? Verdict::Held : Verdict::Broken;
}

/// MIXED: a worker rejects all starts, as an unhealthy one does. The job that
/// was placed on it has not begun, and is not counted as waiting.
Verdict
waiting_job_not_counted(World& world, bool trouble)
{
  constexpr int WORKERS = 12;
  constexpr int ATTEMPTS = 4;
  constexpr int FILLER_WORK_MS = 60'000;
  constexpr int START_LIMIT_MS = 10'000;
  constexpr int SHED_MS = 6'500;
  /// `visible_ms` and 2 s, after which a job has to be counted.
  constexpr int COUNTED_AFTER_MS = 5'000;
  constexpr int ASK_PERIOD_MS = 300;
  constexpr char FILLER_JOB[] = "00000000000000f1";
  world.configure(
    3, { World::route(QUEUE, ATTEMPTS), World::route("/ngoe17/", ATTEMPTS) });
  world.plan = [](const Run&, const std::string&) {
    return WorkPlan{ FILLER_WORK_MS, "done" };
  };
  world.add_entry();
  world.add_entry();
  for (int index = 0; index < WORKERS; ++index)
    world.add_worker();
  std::string filler =
    submission("filler", WORKERS - 1, ALL_ACCELERATORS, false);
  if (!world.wait_ready() ||
      world.call("POST", std::string("/ngoe17/") + FILLER_JOB, filler).status !=
        ACCEPTED ||
      !world.wait(START_LIMIT_MS,
                  [&world] { return world.sightings.size() >= WORKERS - 1; }))
    return Verdict::NotRun;
  Worker* idle = nullptr;
  for (std::unique_ptr<Worker>& worker : world.workers) {
    if (worker->running.empty())
      idle = worker.get();
  }
  if (idle == nullptr)
    return Verdict::NotRun;
  idle->shedding = trouble;
  world.note(fmt::format("worker {} {}",
                         idle->options.id,
                         trouble ? "rejects all starts" : "is idle"));
  if (!submit(world, submission("text", 1, ALL_ACCELERATORS, false)))
    return Verdict::NotRun;
  std::int64_t accepted_ms = world.now_ms();
  bool broken = false;
  world.pause(COUNTED_AFTER_MS);
  while (world.now_ms() - accepted_ms < SHED_MS) {
    std::size_t begun = world.count("start", task(0, 0));
    Reply reply = world.call("GET", QUEUE);
    nlohmann::json body = nlohmann::json::parse(reply.body, nullptr, false);
    bool counted = body.is_object() && body.value("num_waiting", 0) > 0;
    broken = broken || (begun == 0 && reply.status == ACCEPTED && !counted);
    world.pause(ASK_PERIOD_MS);
  }
  idle->shedding = false;
  bool begins = world.wait(
    START_LIMIT_MS, [&world] { return world.count("start", task(0, 0)) > 0; });
  world.note(begins ? "the job has begun" : "the job has not begun");
  return broken ? Verdict::Broken : Verdict::Held;
}

} // namespace geraniumhinge::review
