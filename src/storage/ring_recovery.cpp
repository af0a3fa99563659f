#include "ring_recovery.hpp"

#include <algorithm>

#include "ring_format.hpp"

namespace tt {
namespace {

/// One file: the batches that follow each other from its start, and the sound ones that lie beyond them.
struct FileScan {
  std::uint64_t generation{0}, nextSequence{1};
  BatchMark lastMark;
  RecoveredState sum;
  std::size_t end{0};
  bool begins{false}, checkpoint{false}, unmarked{false}, unreadable{false}, bytesBeyond{false};
  std::vector<StoredBatch> beyond;
};

bool endsCheckpoint(const StoredBatch& batch) {
  return !batch.records.empty() && batch.records.back().kind == RecordKind::checkpointEnd;
}

bool takeBatch(FileScan& scan, const StoredBatch& batch) {
  if (scan.end == 0) {
    scan.generation = batch.mark.generation;
    scan.nextSequence = batch.mark.sequence;
    scan.unmarked = batch.unmarked;
  }
  bool follows = batch.mark.generation == scan.generation && batch.mark.sequence == scan.nextSequence &&
                 batch.unmarked == scan.unmarked;
  if (!follows) return false;
  for (const auto& record : batch.records)
    if (!scan.sum.applyRecord(record)) scan.unreadable = true;
  scan.checkpoint = scan.checkpoint || (endsCheckpoint(batch) && (scan.unmarked || scan.end == 0));
  scan.lastMark = batch.mark;
  scan.nextSequence = batch.mark.sequence + 1;
  scan.end = batch.end;
  return !scan.unreadable;
}

FileScan scanFile(const std::string& bytes) {
  FileScan scan;
  scan.begins = batchBeginsAt(bytes, 0);
  for (auto batch = soundBatchAt(bytes, 0); batch && takeBatch(scan, *batch); batch = soundBatchAt(bytes, scan.end)) {
  }
  scan.beyond = soundBatchesFrom(bytes, scan.end);
  scan.bytesBeyond = bytes.find_first_not_of('\0', scan.end) != std::string::npos;
  return scan;
}

std::uint64_t newestIn(const FileScan& scan) {
  std::uint64_t newest = scan.generation;
  for (const auto& batch : scan.beyond) newest = std::max(newest, batch.mark.generation);
  return newest;
}

bool anyMarked(const FileScan& scan) {
  if (scan.end > 0 && !scan.unmarked) return true;
  return std::any_of(scan.beyond.begin(), scan.beyond.end(), [](const StoredBatch& batch) { return !batch.unmarked; });
}

/// Whether a marked batch proves that more had been synced than was found up to a generation and sequence.
bool provesMore(const BatchMark& mark, std::uint64_t generation, std::uint64_t nextSequence) {
  if (mark.syncedGeneration != generation) return mark.syncedGeneration > generation;
  return generation > 0 && mark.syncedSequence >= nextSequence;
}

bool markedProveMore(const FileScan& scan, std::uint64_t generation, std::uint64_t nextSequence) {
  return std::any_of(scan.beyond.begin(), scan.beyond.end(), [&](const StoredBatch& batch) {
    return !batch.unmarked && provesMore(batch.mark, generation, nextSequence);
  });
}

/// Records without marks cannot tell what was synced: a sound one behind a missing one counts as synced.
bool unmarkedProveMore(const FileScan& scan, std::uint64_t generation) {
  if (anyMarked(scan) && scan.generation != generation) return false;
  if (scan.unmarked && scan.generation > generation + 1) return true;
  return std::any_of(scan.beyond.begin(), scan.beyond.end(), [&](const StoredBatch& batch) {
    if (!batch.unmarked) return false;
    bool behindGap =
        batch.mark.generation >= std::max(scan.generation, generation) && batch.mark.sequence > scan.nextSequence;
    return behindGap || batch.mark.generation > generation + 1;
  });
}

const FileScan* newestWhole(const std::vector<FileScan>& scans) {
  const FileScan* best = nullptr;
  for (const auto& scan : scans)
    if (scan.checkpoint && !scan.unreadable && (!best || scan.generation > best->generation)) best = &scan;
  return best;
}

/// Whether the file that a turn overwrites next should hold records and does not even begin with one.
bool followingGone(const std::vector<FileScan>& scans, const FileScan& best) {
  const auto& following = scans[(static_cast<std::size_t>(&best - scans.data()) + 1) % scans.size()];
  std::uint64_t written = best.unmarked ? best.generation : best.lastMark.turns;
  return written >= scans.size() && !following.begins && (!best.unmarked || following.beyond.empty());
}

std::optional<Error> damageIn(const std::vector<FileScan>& scans, const FileScan* best) {
  std::uint64_t generation = best ? best->generation : 0;
  std::uint64_t nextSequence = best ? best->nextSequence : 1;
  for (std::size_t file = 0; file < scans.size(); ++file) {
    const auto& scan = scans[file];
    std::string name = "ring-" + std::to_string(file);
    if (scan.unreadable && scan.generation >= generation)
      return fault(Code::ringDamaged, name, "a record cannot be read");
    if (markedProveMore(scan, generation, nextSequence) || unmarkedProveMore(scan, generation))
      return fault(Code::ringDamaged, name, "records that had been synced are gone");
  }
  if (best && followingGone(scans, *best)) return fault(Code::ringDamaged, "ring", "a file was emptied");
  return std::nullopt;
}

}  // namespace

Result<RingState> recoverRing(const std::vector<std::string>& files) {
  std::vector<FileScan> scans;
  for (const auto& bytes : files) scans.push_back(scanFile(bytes));
  const FileScan* best = newestWhole(scans);
  if (auto damage = damageIn(scans, best)) return *damage;
  RingState state;
  for (const auto& scan : scans) state.torn = state.torn || newestIn(scan) > (best ? best->generation : 0);
  if (!best) return state;
  state.any = true;
  state.held = best->sum;
  state.file = static_cast<int>(best - scans.data());
  state.generation = best->generation;
  state.nextSequence = best->nextSequence;
  state.turns = best->unmarked ? 0 : best->lastMark.turns;
  state.syncedGeneration = best->lastMark.syncedGeneration;
  state.syncedSequence = best->lastMark.syncedSequence;
  state.torn = state.torn || best->bytesBeyond;
  return state;
}

std::vector<int> oldestFirst(const std::vector<std::string>& files) {
  std::vector<std::pair<std::uint64_t, int>> rows;
  for (std::size_t file = 0; file < files.size(); ++file)
    rows.emplace_back(newestIn(scanFile(files[file])), static_cast<int>(file));
  std::sort(rows.begin(), rows.end());
  std::vector<int> order;
  for (const auto& [generation, file] : rows) order.push_back(file);
  return order;
}

}  // namespace tt
