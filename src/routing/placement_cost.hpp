#pragma once

/// The cost of placing one prompt at one worker, in milliseconds: the time to its first token, and the delay that it
/// causes for other requests.
namespace tt {

/// What the cost is computed from, for one worker that may take a prompt.
struct PlacementInputs {
  /// How long the worker is busy with earlier prompts, and how long it takes to prefill one token.
  double waitMs{0}, msPerToken{0};
  int promptTokens{0}, sharedTokens{0};
  /// Numbers of shared tokens: cached or being prefilled at this worker, present there after a fetch, and the highest
  /// number that any candidate has cached or is prefilling.
  int cachedTokens{0}, fetchedTokens{0}, bestCachedTokens{0};
  /// How long the fetch takes; used only if `fetches` is set.
  double transferMs{0};
  bool fetches{false};
  /// The worker's place in the prompt's order of preference; 0 is the preferred one.
  int rank{0};
};

/// The cost of a placement; the worker with the lowest cost gets the prompt.
double placementCostMs(const PlacementInputs& inputs);

/// Milliseconds to transfer cached tokens over the slower of two links; twice as long between zones. A link with no
/// declared rate (0) does not limit the transfer.
double transferMs(double tokens, double tokenBytes, double sourceMbps, double targetMbps, bool sameZone);

}  // namespace tt
