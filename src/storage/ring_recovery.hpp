#pragma once
/// Recovery of the ring log after a restart, and the check for damage.
#include "effects.hpp"

namespace tt {

/// The state recovered from the files of a ring, and the position at which the log continues.
struct RingState {
  /// Whether there is any checkpoint; without one the ring is empty.
  bool hasCheckpoint{false};
  RecoveredState recovered;
  int file{0};
  std::uint64_t generation{0}, nextSequence{1};
  std::uint32_t rotations{0};
  /// The last batch that a later one proves to have been synced.
  std::uint64_t syncedGeneration{0}, syncedSequence{0};
  /// Whether a batch that was never synced was dropped.
  bool droppedTornTail{false};
};

/// Recovers a ring from the contents of its files: the newest valid checkpoint and the valid batches after it. Fails
/// with `ringDamaged` if any batch proves that more than these had been synced.
Result<RingState> recoverRing(const std::vector<std::string>& files);
/// The numbers of the files, ordered by the generation of the newest batch in each, the oldest first.
std::vector<int> filesByAge(const std::vector<std::string>& files);

}  // namespace tt
