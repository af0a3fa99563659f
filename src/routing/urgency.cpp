#include "urgency.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace tt {
namespace {
/// The shares of the tightest aim up to which a reading counts as short and as middling.
constexpr std::array<double, 2> sizeSteps{0.2, 0.6};
constexpr int ranksMost = (leastUrgency + 1) / (static_cast<int>(sizeSteps.size()) + 1);
}  // namespace

int urgencyOf(int priority, const std::set<int>& priorities, double readMs, double tightestAimMs) {
  int rank = static_cast<int>(std::distance(priorities.begin(), priorities.lower_bound(priority)));
  int ranks = std::max(1, static_cast<int>(priorities.size()));
  if (ranks > ranksMost) rank = rank * ranksMost / ranks;
  auto size = std::count_if(sizeSteps.begin(), sizeSteps.end(),
                            [&](double step) { return tightestAimMs > 0 && readMs > step * tightestAimMs; });
  return std::min(leastUrgency, static_cast<int>(size) * ranksMost + std::min(rank, ranksMost - 1));
}

}  // namespace tt
