#pragma once
#include <set>

/// In which order workers should take prompts that wait.
namespace tt {

/// The least urgent value that workers are told; 0 is the most urgent.
constexpr int leastUrgency = 9;

/// The urgency of a prompt: what is soon read comes first, and among prompts of like size what operators rank higher. A
/// short prompt holds nobody up; a long one is read while nothing short waits. `readMs` is how long its reading takes
/// and `tightestAimMs` the shortest time in which any prompt should be answered, 0 where none is known: what takes a
/// good part of that makes those behind it late. `priorities` holds all priorities in use; many are put together to
/// few ranks.
int urgencyOf(int priority, const std::set<int>& priorities, double readMs, double tightestAimMs);

}  // namespace tt
