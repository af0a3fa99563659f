#pragma once

/// What it costs to place one prompt at one worker, in milliseconds until its first token and what that takes from
/// others.
namespace tt {

/// What is known of one worker that may take a prompt.
struct PlacementFacts {
  /// How long the worker is busy with prompts that came before, and how long it takes to read one token.
  double waitMs{0}, msPerToken{0};
  int promptTokens{0}, sharedTokens{0};
  /// Of the shared tokens: those that the worker keeps or is reading, those that one source would bring, and the most
  /// that any worker that was asked keeps or is reading.
  int ownTokens{0}, fetchedTokens{0}, heldAnywhereTokens{0};
  /// How long the fetch takes; counts only where there is a source.
  double transferMs{0};
  bool fetches{false};
  /// Its place in the prompt's order of preference among the workers that may be drawn.
  int rank{0};
};

/// The cost; the worker with the least takes the prompt.
double placementCostMs(const PlacementFacts& facts);

/// How long a move of kept tokens takes over the slower of two links, in ms; twice as long between localities. Links of
/// which nothing was declared take no time.
double transferMs(double tokens, double tokenBytes, double sourceMbps, double targetMbps, bool sameZone);

}  // namespace tt
