#include "rollout_plan.hpp"

#include <algorithm>
#include <tuple>

#include "version_timeline.hpp"

namespace tt {
namespace {
/// The weights are suspect after at least this many failed loads and no successful one.
constexpr int minSuspectFailures = 2;

/// The factor by which more workers may change at once while some are overdue.
constexpr int overdueFactor = 2;

using WaitingWorkers = std::vector<const RolloutWorker*>;

/// The workers that wait for their start, ordered by when their weights were superseded.
WaitingWorkers waitingWorkers(const std::vector<RolloutWorker>& workers) {
  WaitingWorkers waiting;
  for (const auto& worker : workers)
    if (worker.step == RolloutStep::serving && worker.supersededAt != TimePoint::max()) waiting.push_back(&worker);
  std::sort(waiting.begin(), waiting.end(), [](const RolloutWorker* left, const RolloutWorker* right) {
    return std::tie(left->supersededAt, left->name) < std::tie(right->supersededAt, right->name);
  });
  return waiting;
}

/// When the next of the waiting workers, not counting those before `first`, is due.
TimePoint nextDue(const WaitingWorkers& waiting, std::size_t first, std::size_t workerCount,
                  const RolloutLimits& limits) {
  TimePoint due = TimePoint::max();
  for (std::size_t index = first; index < waiting.size(); ++index) {
    auto waitingSoFar = static_cast<std::int64_t>(index - first + 1);
    auto started = static_cast<std::int64_t>(workerCount) - waitingSoFar;
    Duration share = limits.spread * started / static_cast<std::int64_t>(workerCount);
    due = std::min(due, endOfUse(waiting[index]->supersededAt, limits.settleDelay + share));
  }
  return due;
}

int countIn(const std::vector<RolloutWorker>& workers, RolloutStep step) {
  return static_cast<int>(
      std::count_if(workers.begin(), workers.end(), [&](const RolloutWorker& worker) { return worker.step == step; }));
}

/// Whether the newest weights may be bad: loads have failed and no worker has them.
bool weightsSuspect(const std::vector<RolloutWorker>& workers) {
  bool anySucceeded = std::any_of(workers.begin(), workers.end(),
                                  [](const RolloutWorker& worker) { return worker.supersededAt == TimePoint::max(); });
  return !anySucceeded && countIn(workers, RolloutStep::failed) >= minSuspectFailures;
}
}  // namespace

std::vector<std::string> workersToStart(const std::vector<RolloutWorker>& workers, const RolloutLimits& limits,
                                        TimePoint now, bool provenElsewhere) {
  std::vector<std::string> toStart;
  auto waiting = waitingWorkers(workers);
  int total = static_cast<int>(workers.size());
  int maxAtOnce = std::max(1, (total + limits.parts - 1) / limits.parts);
  int changing = countIn(workers, RolloutStep::changing);
  bool suspect = !provenElsewhere && weightsSuspect(workers);
  for (std::size_t index = 0; index < waiting.size(); ++index) {
    TimePoint superseded = waiting[index]->supersededAt;
    bool overdue = now >= endOfUse(superseded, suspect ? limits.suspectRetryAfter : limits.overdueAfter);
    bool due = !suspect && now >= nextDue(waiting, index, workers.size(), limits);
    if (!overdue && !due) break;
    int maxChanging = suspect ? 1 : overdue ? overdueFactor * maxAtOnce : maxAtOnce;
    if (changing >= maxChanging) break;
    toStart.push_back(waiting[index]->name);
    ++changing;
  }
  return toStart;
}

}  // namespace tt
