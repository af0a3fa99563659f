#include "urgency.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace tt {
namespace {
/// The fractions of the shortest target latency up to which a prefill counts as short and as medium.
constexpr std::array<double, 2> prefillShareSteps{0.2, 0.6};
constexpr int maxRanks = (lowestUrgency + 1) / (static_cast<int>(prefillShareSteps.size()) + 1);
}  // namespace

int urgencyOf(int priority, const std::set<int>& knownPriorities, double prefillMs, double minLatencyTargetMs) {
  int rank = static_cast<int>(std::distance(knownPriorities.begin(), knownPriorities.lower_bound(priority)));
  int ranks = std::max(1, static_cast<int>(knownPriorities.size()));
  if (ranks > maxRanks) rank = rank * maxRanks / ranks;
  auto size = std::count_if(prefillShareSteps.begin(), prefillShareSteps.end(), [&](double step) {
    return minLatencyTargetMs > 0 && prefillMs > step * minLatencyTargetMs;
  });
  return std::min(lowestUrgency, static_cast<int>(size) * maxRanks + std::min(rank, maxRanks - 1));
}

}  // namespace tt
