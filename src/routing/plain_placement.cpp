#include "plain_placement.hpp"

#include <algorithm>

namespace tt {
namespace {
/// A worker in the same zone is preferred if its occupancy is at most this much higher than that of a worker in another
/// zone.
constexpr double otherZoneOccupancy = 0.25;
/// Ejections double with each consecutive failure up to this many periods.
constexpr int maxEjectionPeriods = 8;

/// Requests at a worker for each of its slots; 1 or more if it has no free slot.
double occupancyOf(const PlainCandidate& candidate) {
  int requests = std::max(candidate.open, candidate.running + candidate.waiting);
  return static_cast<double>(requests) / std::max(1, candidate.slots);
}
}  // namespace

std::optional<std::size_t> selectLeastOccupied(const std::vector<PlainCandidate>& candidates,
                                               std::mt19937_64& randomSource) {
  bool allEjected = std::all_of(candidates.begin(), candidates.end(),
                                [](const PlainCandidate& candidate) { return candidate.ejected; });
  std::vector<std::size_t> best;
  double lowestCost = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const auto& candidate = candidates[index];
    if (candidate.ejected && !allEjected) continue;
    double cost = occupancyOf(candidate) + (candidate.sameZone ? 0 : otherZoneOccupancy);
    if (best.empty() || cost < lowestCost) {
      best.assign(1, index);
      lowestCost = cost;
    } else if (cost == lowestCost) {
      best.push_back(index);
    }
  }
  if (best.empty()) return std::nullopt;
  return best[std::uniform_int_distribution<std::size_t>(0, best.size() - 1)(randomSource)];
}

int OutlierRecord::recordResult(bool failed) {
  if (!failed) {
    consecutiveFailures = 0;
    return 0;
  }
  int periods = 1;
  for (int failure = 0; failure < consecutiveFailures && periods < maxEjectionPeriods; ++failure) periods *= 2;
  ++consecutiveFailures;
  return periods;
}

}  // namespace tt
