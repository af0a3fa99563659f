#pragma once
#include <set>

/// The order in which workers should take waiting prompts.
namespace tt {

/// The value of the least urgent prompts; 0 is the most urgent.
constexpr int lowestUrgency = 9;

/// The urgency of a prompt. Prompts with a short prefill come first, and among those of similar length the ones with
/// the lower priority number. A short prompt hardly delays others; a long one is prefilled while no short one waits.
/// `prefillMs` is how long its prefill takes. `minLatencyTargetMs` is the shortest target latency of any prompt, 0 if
/// unknown: a prefill that takes a large part of it makes the prompts behind it late. `knownPriorities` holds all
/// priorities in use; if there are many, neighbours share a rank.
int urgencyOf(int priority, const std::set<int>& knownPriorities, double prefillMs, double minLatencyTargetMs);

}  // namespace tt
