#include "core/progress_watch.h"

#include <algorithm>

namespace geraniumhinge::core {

namespace {

/// Longest time between two reports that counts as watched.
constexpr std::int64_t LONGEST_GAP_MS = 1'500;
constexpr std::int64_t STILL_MS = 1'500;
constexpr std::int64_t STALLED_MS = 3'000;
/// Before the first change: a run may need time to begin.
constexpr std::int64_t NEVER_MOVED_MS = 6'000;
/// A run that moves rarely stands still only after so many of its own steps.
constexpr std::int64_t STEPS_MISSED = 4;
constexpr std::uint32_t MAX_RESTARTS = 2;
constexpr std::uint32_t WHOLE = 100;

} // namespace

void
ProgressWatch::record_progress(const std::string& task,
                               std::uint32_t attempt,
                               std::uint32_t percent,
                               std::int64_t now_ms)
{
  Track& track = this->tracks[task];
  if (track.attempt != attempt) {
    std::uint32_t restarts = track.restarts;
    track = {};
    track.attempt = attempt;
    track.percent = percent;
    track.last_seen_ms = now_ms;
    track.restarts = restarts;
    return;
  }
  track.unchanged_ms += std::min(now_ms - track.last_seen_ms, LONGEST_GAP_MS);
  track.last_seen_ms = now_ms;
  if (percent == track.percent)
    return;
  track.longest_ms = std::max(track.longest_ms, track.unchanged_ms);
  track.unchanged_ms = 0;
  track.percent = percent;
  ++track.changes;
}

const ProgressWatch::Track*
ProgressWatch::find(const std::string& task, std::uint32_t attempt) const
{
  std::map<std::string, Track>::const_iterator found = this->tracks.find(task);
  bool current = found != this->tracks.end() &&
                 found->second.attempt == attempt &&
                 found->second.percent < WHOLE;
  return current ? &found->second : nullptr;
}

std::uint32_t
ProgressWatch::percent(const std::string& task, std::uint32_t attempt) const
{
  std::map<std::string, Track>::const_iterator found = this->tracks.find(task);
  bool current =
    found != this->tracks.end() && found->second.attempt == attempt;
  return current ? found->second.percent : 0;
}

bool
ProgressWatch::lacks_recent_progress(const std::string& task,
                                     std::uint32_t attempt) const
{
  const Track* track = this->find(task, attempt);
  return track && track->changes > 0 &&
         track->unchanged_ms >
           std::max(STILL_MS, STEPS_MISSED * track->longest_ms);
}

bool
ProgressWatch::stalled(const std::string& task,
                       std::uint32_t attempt,
                       std::int64_t estimate_ms) const
{
  const Track* track = this->find(task, attempt);
  if (!track || track->restarts >= MAX_RESTARTS)
    return false;
  std::int64_t limit =
    track->changes > 0 ? std::max(STALLED_MS, STEPS_MISSED * track->longest_ms)
                       : std::max(NEVER_MOVED_MS, estimate_ms);
  return track->unchanged_ms > limit;
}

void
ProgressWatch::record_restart(const std::string& task)
{
  ++this->tracks[task].restarts;
}

void
ProgressWatch::forget(const std::string& task)
{
  this->tracks.erase(task);
}

void
ProgressWatch::forget_workflow(const std::string& id)
{
  std::string first = id + '.';
  std::map<std::string, Track>::iterator track =
    this->tracks.lower_bound(first);
  while (track != this->tracks.end() && track->first.starts_with(first))
    track = this->tracks.erase(track);
}

} // namespace geraniumhinge::core
