#include <algorithm>

#include "fuzz.hpp"
#include "ring.hpp"

namespace tt {
namespace {

/// The files of a ring in memory.
class MemoryFiles : public RingFiles {
 public:
  MemoryFiles(std::size_t files, std::size_t bytes) : contents(files, std::string(bytes, '\0')) {}
  Result<std::string> readAll(int file) override { return contents[static_cast<std::size_t>(file)]; }
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override {
    contents[static_cast<std::size_t>(file)].replace(offset, bytes.size(), bytes);
    return boost::outcome_v2::success();
  }
  Result<void> sync(int) override { return boost::outcome_v2::success(); }
  int count() const override { return static_cast<int>(contents.size()); }
  std::size_t size() const override { return contents[0].size(); }
  std::vector<std::string> contents;
};

/// The encoded bytes of all records that were ever written, by kind.
struct WrittenRecords {
  std::set<std::string> identities, votes, entries, snapshots;
  void add(const Record& record) {
    auto& records = record.kind == RecordKind::identity ? identities
                    : record.kind == RecordKind::vote   ? votes
                    : record.kind == RecordKind::entry  ? entries
                                                        : snapshots;
    records.insert(record.bytes);
  }
  /// Names a part of the recovered state that was never written; empty if there is none.
  std::string findUnwritten(const RecoveredState& found) const {
    if (!found.identity.empty() && !identities.count(found.identity)) return "an identity";
    for (const auto& [duty, vote] : found.votes)
      if (!votes.count(voteRecord(duty, vote).bytes)) return "a vote";
    for (const auto& entry : found.entries)
      if (!entries.count(encodeEntry(entry))) return "an entry";
    if (found.snapshot && !snapshots.count(encodeSnapshot(*found.snapshot))) return "a snapshot";
    return {};
  }
};

/// Makes random records and advances `index`, the index of the last log entry. If a snapshot is due, most records are
/// snapshots, so that the state does not outgrow the files.
std::vector<Record> randomBatch(Mutator& mutator, std::uint64_t& index, std::uint64_t term, bool snapshotDue) {
  std::vector<Record> batch;
  for (std::uint64_t recordsLeft = 1 + mutator.randomBelow(3); recordsLeft > 0; --recordsLeft) {
    if (mutator.chance(8)) {
      batch.push_back(voteRecord("duty-" + std::to_string(mutator.randomBelow(3)), Vote{term, "core-x"}));
    } else if (index > 3 && (mutator.chance(12) || snapshotDue)) {
      Snapshot snapshot;
      snapshot.index = index - 2;
      snapshot.term = term;
      snapshot.configuration = "{}";
      batch.push_back(snapshotRecord(snapshot));
    } else if (mutator.chance(20) && index > 1) {
      batch.push_back(truncationRecord(index--));
    } else {
      LogEntry entry{++index, term,
                     1,       std::string(mutator.randomBelow(300), static_cast<char>('a' + mutator.randomBelow(26))),
                     {},      0};
      batch.push_back(entryRecord(entry));
    }
  }
  return batch;
}

/// Damages the files in ways in which disks fail: flipped bits, ranges, pages or tails that were not written (zeros),
/// and data that was written to the wrong place or the wrong file.
void damageFiles(Mutator& mutator, std::vector<std::string>& contents) {
  constexpr std::size_t pageBytes = 512;
  for (std::uint64_t faultsLeft = 1 + mutator.randomBelow(3); faultsLeft > 0; --faultsLeft) {
    auto& content = contents[mutator.randomBelow(contents.size())];
    auto& other = contents[mutator.randomBelow(contents.size())];
    std::size_t used = content.find_last_not_of('\0');
    used = used == std::string::npos ? 1 : used + 1;
    std::size_t at = mutator.randomBelow(used), size = std::min(content.size() - at, 1 + mutator.randomBelow(200));
    switch (mutator.randomBelow(7)) {
      case 0:
        content[at] ^= static_cast<char>(1u << mutator.randomBelow(8));
        break;
      case 1:
        content.replace(at, size, size, '\0');
        break;
      case 2:
        at = at / pageBytes * pageBytes;
        content.replace(at, std::min(pageBytes, content.size() - at), std::min(pageBytes, content.size() - at), '\0');
        break;
      case 3:
        content.replace(at, content.size() - at, content.size() - at, '\0');
        break;
      case 4:
        content.replace(at, size, other.substr(mutator.randomBelow(other.size() - size), size));
        break;
      case 5:
        std::swap(content, other);
        break;
      default:
        content.replace(at, size, content.substr(mutator.randomBelow(used), size).append(size, '\0').substr(0, size));
    }
  }
}

/// Writes a ring, damages it and recovers it. Recovery may lose records or reject the ring, but it must return nothing
/// that was not written, and a recovered ring must be usable.
FuzzOutcome tryRing(Mutator& mutator) {
  constexpr std::size_t fileCount = 4, fileBytes = 4096, recordOverheadBytes = 64;
  MemoryFiles files(fileCount, fileBytes);
  WrittenRecords written;
  RecoveredState expected;
  std::uint64_t index = 0, term = 1;
  {
    auto ring = Ring::open(files);
    if (!ring) return broken("a ring of empty files cannot be opened", {});
    std::vector<Record> firstRecords{identityRecord("core-x")};
    for (std::uint64_t batchesLeft = 1 + mutator.randomBelow(40); batchesLeft > 0; --batchesLeft) {
      term += mutator.chance(10);
      std::size_t entryBytes = 0;
      for (const auto& entry : expected.entries) entryBytes += entry.body.size() + recordOverheadBytes;
      auto batch = randomBatch(mutator, index, term, entryBytes > files.size() / 4);
      batch.insert(batch.begin(), firstRecords.begin(), firstRecords.end());
      firstRecords.clear();
      for (const auto& record : batch) written.add(record);
      if (!ring.value()->append(batch)) return broken("a batch cannot be appended", {});
      expected = ring.value()->recoveredState();
    }
  }
  MemoryFiles copy = files;
  auto undamaged = Ring::open(copy);
  if (!undamaged) return broken("an undamaged ring cannot be opened", {});
  if (undamaged.value()->recoveredState().entries.size() != expected.entries.size() ||
      !written.findUnwritten(undamaged.value()->recoveredState()).empty())
    return broken("synced records are not recovered", {});
  damageFiles(mutator, files.contents);
  std::string input;
  for (const auto& content : files.contents) input += content.substr(0, content.find_last_not_of('\0') + 1) + "|";
  auto opened = Ring::open(files);
  if (!opened) return rejectedWith(opened.error(), input);
  auto unwritten = written.findUnwritten(opened.value()->recoveredState());
  if (!unwritten.empty()) return broken("recovery returned " + unwritten + " that was never written", input);
  LogEntry lastEntry{index + 1, term, 1, "more", {}, 0};
  written.add(entryRecord(lastEntry));
  written.add(identityRecord("core-x"));
  if (!opened.value()->append({identityRecord("core-x"), entryRecord(lastEntry)}))
    return broken("a damaged ring that was recovered cannot be appended to", input);
  auto reopened = Ring::open(files);
  if (!reopened) return rejectedWith(reopened.error(), input);
  const auto& held = reopened.value()->recoveredState();
  if (held.entries.empty() || held.entries.back().body != "more")
    return broken("an entry that was appended after recovery is lost", input);
  return accepted();
}

}  // namespace

void addRingTargets(FuzzTargets& targets) { targets.push_back({"ring", 4000, tryRing}); }

}  // namespace tt
