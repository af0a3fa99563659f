#include "plain_placement.hpp"

#include <algorithm>

namespace tt {
namespace {
/// How much fuller a worker of the same locality may be and still be preferred.
constexpr double zoneWeight = 0.25;
/// Ejections double with each failure in succession up to this many spans.
constexpr int mostEjectionSpans = 8;

/// How full a worker is taken to be: orders there for each slot, 1 and more when it has none free.
double occupancyOf(const PlainCandidate& candidate) {
  int orders = std::max(candidate.open, candidate.running + candidate.waiting);
  return static_cast<double>(orders) / std::max(1, candidate.slots);
}
}  // namespace

std::optional<std::size_t> choosePlain(const std::vector<PlainCandidate>& candidates, std::mt19937_64& randomSource) {
  bool allEjected = std::all_of(candidates.begin(), candidates.end(),
                                [](const PlainCandidate& candidate) { return candidate.ejected; });
  std::vector<std::size_t> best;
  double leastCost = 0;
  for (std::size_t place = 0; place < candidates.size(); ++place) {
    const auto& candidate = candidates[place];
    if (candidate.ejected && !allEjected) continue;
    double cost = occupancyOf(candidate) + (candidate.sameZone ? 0 : zoneWeight);
    if (best.empty() || cost < leastCost) {
      best.assign(1, place);
      leastCost = cost;
    } else if (cost == leastCost) {
      best.push_back(place);
    }
  }
  if (best.empty()) return std::nullopt;
  return best[std::uniform_int_distribution<std::size_t>(0, best.size() - 1)(randomSource)];
}

int OutlierRecord::note(bool failed) {
  if (!failed) {
    failuresInSuccession = 0;
    return 0;
  }
  int spans = 1;
  for (int failure = 0; failure < failuresInSuccession && spans < mostEjectionSpans; ++failure) spans *= 2;
  ++failuresInSuccession;
  return spans;
}

}  // namespace tt
