#pragma once
#include "effects.hpp"

namespace tt {

/// What a ring's files add up to, and where it goes on.
struct RingState {
  /// Whether there is any checkpoint.
  bool any{false};
  RecoveredState held;
  int file{0};
  std::uint64_t generation{0}, nextSequence{1};
  std::uint32_t turns{0};
  /// The last batch that another one proves to have been synced.
  std::uint64_t syncedGeneration{0}, syncedSequence{0};
  /// Whether a batch that was never synced was dropped.
  bool torn{false};
};

/// Reads a ring from its files' contents: the newest sound checkpoint and the sound batches behind it. `ringDamaged` if
/// any batch tells that more than these had been synced.
Result<RingState> recoverRing(const std::vector<std::string>& files);
/// The files by the newest record that each holds, the oldest first.
std::vector<int> oldestFirst(const std::vector<std::string>& files);

}  // namespace tt
