#include "ring_recovery.hpp"

#include <algorithm>

#include "ring_format.hpp"

namespace tt {
namespace {

/// The contents of one file: the consecutive batches at its start, and the valid batches found after them.
struct FileScan {
  std::uint64_t generation{0}, nextSequence{1};
  BatchInfo lastInfo;
  RecoveredState recovered;
  std::size_t end{0};
  bool startsWithBatch{false}, hasCheckpoint{false}, legacy{false}, unreadable{false}, hasTrailingBytes{false};
  std::vector<StoredBatch> laterBatches;
};

/// Whether a batch ends a checkpoint.
bool endsWithCheckpoint(const StoredBatch& batch) {
  return !batch.records.empty() && batch.records.back().kind == RecordKind::checkpointEnd;
}

/// Adds a batch to the sequence at the start of the file. Returns false if it does not continue the sequence or holds a
/// record that cannot be decoded.
bool addBatch(FileScan& scan, const StoredBatch& batch) {
  if (scan.end == 0) {
    scan.generation = batch.info.generation;
    scan.nextSequence = batch.info.sequence;
    scan.legacy = batch.legacy;
  }
  bool follows = batch.info.generation == scan.generation && batch.info.sequence == scan.nextSequence &&
                 batch.legacy == scan.legacy;
  if (!follows) return false;
  for (const auto& record : batch.records)
    if (!scan.recovered.applyRecord(record)) scan.unreadable = true;
  scan.hasCheckpoint = scan.hasCheckpoint || (endsWithCheckpoint(batch) && (scan.legacy || scan.end == 0));
  scan.lastInfo = batch.info;
  scan.nextSequence = batch.info.sequence + 1;
  scan.end = batch.end;
  return !scan.unreadable;
}

FileScan scanFile(const std::string& bytes) {
  FileScan scan;
  scan.startsWithBatch = hasMagicAt(bytes, 0);
  for (auto batch = batchAt(bytes, 0); batch && addBatch(scan, *batch); batch = batchAt(bytes, scan.end)) {
  }
  scan.laterBatches = findBatches(bytes, scan.end);
  scan.hasTrailingBytes = bytes.find_first_not_of('\0', scan.end) != std::string::npos;
  return scan;
}

std::uint64_t newestGeneration(const FileScan& scan) {
  std::uint64_t newest = scan.generation;
  for (const auto& batch : scan.laterBatches) newest = std::max(newest, batch.info.generation);
  return newest;
}

bool hasCurrentFormat(const FileScan& scan) {
  if (scan.end > 0 && !scan.legacy) return true;
  return std::any_of(scan.laterBatches.begin(), scan.laterBatches.end(),
                     [](const StoredBatch& batch) { return !batch.legacy; });
}

/// Whether a batch proves that a batch after this generation and sequence had been synced; that batch is missing.
bool provesMissing(const BatchInfo& info, std::uint64_t generation, std::uint64_t nextSequence) {
  if (info.syncedGeneration != generation) return info.syncedGeneration > generation;
  return generation > 0 && info.syncedSequence >= nextSequence;
}

bool batchesProveMissing(const FileScan& scan, std::uint64_t generation, std::uint64_t nextSequence) {
  return std::any_of(scan.laterBatches.begin(), scan.laterBatches.end(), [&](const StoredBatch& batch) {
    return !batch.legacy && provesMissing(batch.info, generation, nextSequence);
  });
}

/// Records in the legacy format do not name the last synced one. A valid record after a missing one proves that the
/// missing one had been synced.
bool legacyProvesMissing(const FileScan& scan, std::uint64_t generation) {
  if (hasCurrentFormat(scan) && scan.generation != generation) return false;
  if (scan.legacy && scan.generation > generation + 1) return true;
  return std::any_of(scan.laterBatches.begin(), scan.laterBatches.end(), [&](const StoredBatch& batch) {
    if (!batch.legacy) return false;
    bool followsGap =
        batch.info.generation >= std::max(scan.generation, generation) && batch.info.sequence > scan.nextSequence;
    return followsGap || batch.info.generation > generation + 1;
  });
}

const FileScan* newestCheckpoint(const std::vector<FileScan>& scans) {
  const FileScan* best = nullptr;
  for (const auto& scan : scans)
    if (scan.hasCheckpoint && !scan.unreadable && (!best || scan.generation > best->generation)) best = &scan;
  return best;
}

/// Whether the file that the next rotation overwrites should contain records but does not even start with one.
bool nextFileErased(const std::vector<FileScan>& scans, const FileScan& best) {
  const auto& nextFile = scans[(static_cast<std::size_t>(&best - scans.data()) + 1) % scans.size()];
  std::uint64_t written = best.legacy ? best.generation : best.lastInfo.rotations;
  return written >= scans.size() && !nextFile.startsWithBatch && (!best.legacy || nextFile.laterBatches.empty());
}

std::optional<Error> findDamage(const std::vector<FileScan>& scans, const FileScan* best) {
  std::uint64_t generation = best ? best->generation : 0;
  std::uint64_t nextSequence = best ? best->nextSequence : 1;
  for (std::size_t file = 0; file < scans.size(); ++file) {
    const auto& scan = scans[file];
    std::string name = "ring-" + std::to_string(file);
    if (scan.unreadable && scan.generation >= generation)
      return makeError(Code::ringDamaged, name, "a record cannot be decoded");
    if (batchesProveMissing(scan, generation, nextSequence) || legacyProvesMissing(scan, generation))
      return makeError(Code::ringDamaged, name, "synced records are missing");
  }
  if (best && nextFileErased(scans, *best))
    return makeError(Code::ringDamaged, "ring", "a file that should hold records does not start with one");
  return std::nullopt;
}

}  // namespace

Result<RingState> recoverRing(const std::vector<std::string>& files) {
  std::vector<FileScan> scans;
  for (const auto& bytes : files) scans.push_back(scanFile(bytes));
  const FileScan* best = newestCheckpoint(scans);
  if (auto damage = findDamage(scans, best)) return *damage;
  RingState state;
  for (const auto& scan : scans)
    state.droppedTornTail = state.droppedTornTail || newestGeneration(scan) > (best ? best->generation : 0);
  if (!best) return state;
  state.hasCheckpoint = true;
  state.recovered = best->recovered;
  state.file = static_cast<int>(best - scans.data());
  state.generation = best->generation;
  state.nextSequence = best->nextSequence;
  state.rotations = best->legacy ? 0 : best->lastInfo.rotations;
  state.syncedGeneration = best->lastInfo.syncedGeneration;
  state.syncedSequence = best->lastInfo.syncedSequence;
  state.droppedTornTail = state.droppedTornTail || best->hasTrailingBytes;
  return state;
}

std::vector<int> filesByAge(const std::vector<std::string>& files) {
  std::vector<std::pair<std::uint64_t, int>> generations;
  for (std::size_t file = 0; file < files.size(); ++file)
    generations.emplace_back(newestGeneration(scanFile(files[file])), static_cast<int>(file));
  std::sort(generations.begin(), generations.end());
  std::vector<int> order;
  for (const auto& [generation, file] : generations) order.push_back(file);
  return order;
}

}  // namespace tt
