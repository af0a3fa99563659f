#include "placement_cost.hpp"

#include <algorithm>

namespace tt {
namespace {
/// How much dearer than its time it is to read shared tokens that another worker keeps.
constexpr double rereadWeight = 2;
/// What a further copy of shared tokens costs, as a share of the time to read them: others give way to it.
constexpr double copyWeight = 0.1;
/// Tells workers apart that are equal in all else.
constexpr double rankMs = 1;
/// What a move costs beside its bytes: the source is asked, and may turn out to be gone.
constexpr double moveSetupMs = 2;
constexpr double zoneFactor = 2;
constexpr double bitsPerByte = 8, bitsPerMegabit = 1e6, msPerSecond = 1000;
}  // namespace

double placementCostMs(const PlacementFacts& facts) {
  int present = std::max(facts.ownTokens, facts.fetchedTokens);
  int unread = facts.promptTokens - present;
  int reread = std::max(0, facts.heldAnywhereTokens - present);
  int copied = std::max(0, facts.sharedTokens - facts.ownTokens);
  double cost = facts.waitMs + unread * facts.msPerToken + facts.rank * rankMs;
  cost += reread * facts.msPerToken * rereadWeight;
  if (facts.heldAnywhereTokens > facts.ownTokens) cost += copied * facts.msPerToken * copyWeight;
  if (facts.fetches) cost += moveSetupMs + facts.transferMs;
  return cost;
}

double transferMs(double tokens, double tokenBytes, double sourceMbps, double targetMbps, bool sameZone) {
  double mbps = sourceMbps > 0 && targetMbps > 0 ? std::min(sourceMbps, targetMbps) : std::max(sourceMbps, targetMbps);
  if (mbps <= 0) return 0;
  double ms = tokens * tokenBytes * bitsPerByte / (mbps * bitsPerMegabit) * msPerSecond;
  return sameZone ? ms : ms * zoneFactor;
}

}  // namespace tt
