#pragma once
/// The format of batches and records in the files of the ring log.
#include "effects.hpp"

namespace tt {

/// The header of a batch. Sequence numbers of batches grow for as long as the ring exists.
struct BatchInfo {
  std::uint64_t generation{0};
  std::uint64_t sequence{0};
  /// The last batch that had certainly been synced when this one was written.
  std::uint64_t syncedGeneration{0}, syncedSequence{0};
  /// How many consecutive files, up to this one, were written in the current format.
  std::uint32_t rotations{0};
};

/// A valid batch that was found in a file.
struct StoredBatch {
  BatchInfo info;
  std::vector<Record> records;
  /// The offset after its last byte.
  std::size_t end{0};
  /// Written in the legacy format, which had no batches: a single record with a header of its own.
  bool legacy{false};
};

/// The bytes of one batch with these records.
std::string encodeBatch(const BatchInfo& info, const std::vector<Record>& records);
/// The bytes of a record in the legacy format.
std::string encodeLegacyRecord(std::uint64_t generation, std::uint64_t sequence, const Record& record);
/// The valid batch of either format that starts at an offset; no value if there is no magic number or the checksum does
/// not match.
std::optional<StoredBatch> batchAt(const std::string& bytes, std::size_t offset);
/// Whether the bytes at an offset are the magic number of either format. The batch itself may be invalid.
bool hasMagicAt(const std::string& bytes, std::size_t offset);
/// All valid batches that start at or after an offset, without their records.
std::vector<StoredBatch> findBatches(const std::string& bytes, std::size_t offset);

}  // namespace tt
