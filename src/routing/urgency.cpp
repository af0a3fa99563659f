#include "urgency.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace tt {
namespace {
/// The shares of its aim up to which a prompt's reading counts as short and as middling.
constexpr std::array<double, 2> sizeSteps{0.2, 0.5};
constexpr int mostSteps = static_cast<int>(sizeSteps.size()) + 1;
}  // namespace

int urgencyOf(int priority, const std::set<int>& priorities, double readMs, double aimMs) {
  int rank = static_cast<int>(std::distance(priorities.begin(), priorities.lower_bound(priority)));
  int ranks = std::max(1, static_cast<int>(priorities.size()));
  int steps = std::clamp((leastUrgency + 1) / ranks, 1, mostSteps);
  int step = 0;
  if (aimMs > 0)
    step = static_cast<int>(
        std::count_if(sizeSteps.begin(), sizeSteps.end(), [&](double share) { return readMs > share * aimMs; }));
  return std::min(leastUrgency, rank * steps + std::min(step, steps - 1));
}

}  // namespace tt
