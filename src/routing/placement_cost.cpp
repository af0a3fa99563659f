#include "placement_cost.hpp"

#include <algorithm>

namespace tt {
namespace {
/// Extra cost of prefilling shared tokens that another worker has, as a multiple of the prefill time; it is added to
/// the prefill time itself.
constexpr double recomputeWeight = 2;
/// The cost of another copy of shared tokens, as a fraction of the time to prefill them: the copy evicts other tokens.
constexpr double duplicateWeight = 0.1;
/// Breaks ties between workers that are otherwise equal.
constexpr double rankMs = 1;
/// The fixed cost of a transfer: the source has to be contacted and may turn out to be gone.
constexpr double transferSetupMs = 2;
/// A transfer between zones takes this many times as long.
constexpr double crossZoneFactor = 2;
constexpr double bitsPerByte = 8, bitsPerMegabit = 1e6, msPerSecond = 1000;
}  // namespace

double placementCostMs(const PlacementInputs& inputs) {
  int present = std::max(inputs.cachedTokens, inputs.fetchedTokens);
  int tokensToPrefill = inputs.promptTokens - present;
  int recomputed = std::max(0, inputs.bestCachedTokens - present);
  int duplicated = std::max(0, inputs.sharedTokens - inputs.cachedTokens);
  double cost = inputs.waitMs + tokensToPrefill * inputs.msPerToken + inputs.rank * rankMs;
  cost += recomputed * inputs.msPerToken * recomputeWeight;
  if (inputs.bestCachedTokens > inputs.cachedTokens) cost += duplicated * inputs.msPerToken * duplicateWeight;
  if (inputs.fetches) cost += transferSetupMs + inputs.transferMs;
  return cost;
}

double transferMs(double tokens, double tokenBytes, double sourceMbps, double targetMbps, bool sameZone) {
  double mbps = sourceMbps > 0 && targetMbps > 0 ? std::min(sourceMbps, targetMbps) : std::max(sourceMbps, targetMbps);
  if (mbps <= 0) return 0;
  double ms = tokens * tokenBytes * bitsPerByte / (mbps * bitsPerMegabit) * msPerSecond;
  return sameZone ? ms : ms * crossZoneFactor;
}

}  // namespace tt
