#include "rollout_plan.hpp"

#include <algorithm>
#include <tuple>

#include "version_timeline.hpp"

namespace tt {
namespace {
/// So many failed loads without a success make weights suspect.
constexpr int failuresSuspect = 2;

/// How many times more workers may change at once while some are overdue.
constexpr int roomOverdue = 2;

using Waiting = std::vector<const RolloutWorker*>;

/// The workers that wait for their start, the longest superseded first.
Waiting waitingOf(const std::vector<RolloutWorker>& workers) {
  Waiting waiting;
  for (const auto& worker : workers)
    if (worker.step == RolloutStep::serving && worker.supersededAt != TimePoint::max()) waiting.push_back(&worker);
  std::sort(waiting.begin(), waiting.end(), [](const RolloutWorker* one, const RolloutWorker* other) {
    return std::tie(one->supersededAt, one->name) < std::tie(other->supersededAt, other->name);
  });
  return waiting;
}

/// When the first of those that wait from `first` on is due.
TimePoint nextDue(const Waiting& waiting, std::size_t first, std::size_t workers, const RolloutLimits& limits) {
  TimePoint due = TimePoint::max();
  for (std::size_t at = first; at < waiting.size(); ++at) {
    auto waitingSoFar = static_cast<std::int64_t>(at - first + 1);
    auto started = static_cast<std::int64_t>(workers) - waitingSoFar;
    Duration share = limits.spread * started / static_cast<std::int64_t>(workers);
    due = std::min(due, endOfUse(waiting[at]->supersededAt, limits.settle + share));
  }
  return due;
}

int countIn(const std::vector<RolloutWorker>& workers, RolloutStep step) {
  return static_cast<int>(
      std::count_if(workers.begin(), workers.end(), [&](const RolloutWorker& worker) { return worker.step == step; }));
}

bool weightsSuspect(const std::vector<RolloutWorker>& workers) {
  bool anySucceeded = std::any_of(workers.begin(), workers.end(),
                                  [](const RolloutWorker& worker) { return worker.supersededAt == TimePoint::max(); });
  return !anySucceeded && countIn(workers, RolloutStep::failed) >= failuresSuspect;
}
}  // namespace

std::vector<std::string> workersToStart(const std::vector<RolloutWorker>& workers, const RolloutLimits& limits,
                                        TimePoint now, bool provenElsewhere) {
  std::vector<std::string> started;
  auto waiting = waitingOf(workers);
  int all = static_cast<int>(workers.size());
  int room = std::max(1, (all + limits.parts - 1) / limits.parts);
  int changing = countIn(workers, RolloutStep::changing);
  bool suspect = !provenElsewhere && weightsSuspect(workers);
  for (std::size_t at = 0; at < waiting.size(); ++at) {
    TimePoint superseded = waiting[at]->supersededAt;
    bool overdue = now >= endOfUse(superseded, suspect ? limits.suspectRest : limits.latest);
    bool due = !suspect && now >= nextDue(waiting, at, workers.size(), limits);
    if (!overdue && !due) break;
    int most = suspect ? 1 : overdue ? roomOverdue * room : room;
    if (changing >= most) break;
    started.push_back(waiting[at]->name);
    ++changing;
  }
  return started;
}

}  // namespace tt
