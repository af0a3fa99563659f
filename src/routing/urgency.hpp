#pragma once
#include <set>

/// In which order workers should take prompts that wait.
namespace tt {

/// The least urgent value that workers are told; 0 is the most urgent.
constexpr int leastUrgency = 9;

/// The urgency of a prompt: what operators rank higher comes first, and within a rank what is soon read. A prompt that
/// is read in a small part of its aim holds nobody up and is in time if it is taken at once; one whose reading alone
/// takes the aim is late whenever it is taken. `priorities` holds all priorities in use, so that few leave room between
/// them for sizes and many are all kept apart.
int urgencyOf(int priority, const std::set<int>& priorities, double readMs, double aimMs);

}  // namespace tt
