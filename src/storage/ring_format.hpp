#pragma once
#include "effects.hpp"

namespace tt {

/// What a batch says of itself. Batches are numbered through the ring's whole life.
struct BatchMark {
  std::uint64_t generation{0};
  std::uint64_t sequence{0};
  /// The last batch that had surely been synced when this one was written.
  std::uint64_t syncedGeneration{0}, syncedSequence{0};
  /// How many files in a row were written in this format, up to this one.
  std::uint32_t turns{0};
};

/// A batch as it was found in a file: it is sound as a whole or not at all.
struct StoredBatch {
  BatchMark mark;
  std::vector<Record> records;
  std::size_t end{0};
  /// Written in the format before batches: one record that stands for itself.
  bool unmarked{false};
};

/// Records that are to be written at once, as one batch's bytes.
std::string packBatch(const BatchMark& mark, const std::vector<Record>& records);
/// A record as versions before batches wrote it.
std::string packUnmarked(std::uint64_t generation, std::uint64_t sequence, const Record& record);
/// The sound batch that starts at an offset, of either format.
std::optional<StoredBatch> soundBatchAt(const std::string& bytes, std::size_t offset);
/// Whether a batch's first word stands at an offset, sound or not.
bool batchBeginsAt(const std::string& bytes, std::size_t offset);
/// All sound batches from an offset on, wherever they start, without their records.
std::vector<StoredBatch> soundBatchesFrom(const std::string& bytes, std::size_t offset);

}  // namespace tt
