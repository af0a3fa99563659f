#include <algorithm>

#include "fuzz.hpp"
#include "ring.hpp"

namespace tt {
namespace {

class MemoryRing : public RingFiles {
 public:
  MemoryRing(std::size_t files, std::size_t bytes) : rows(files, std::string(bytes, '\0')) {}
  Result<std::string> readAll(int file) override { return rows[static_cast<std::size_t>(file)]; }
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override {
    rows[static_cast<std::size_t>(file)].replace(offset, bytes.size(), bytes);
    return boost::outcome_v2::success();
  }
  Result<void> sync(int) override { return boost::outcome_v2::success(); }
  int count() const override { return static_cast<int>(rows.size()); }
  std::size_t size() const override { return rows[0].size(); }
  std::vector<std::string> rows;
};

/// The encoded bytes of all records that were ever written, by kind.
struct Written {
  std::set<std::string> identities, votes, entries, snapshots;
  void note(const Record& record) {
    auto& rows = record.kind == RecordKind::identity ? identities
                 : record.kind == RecordKind::vote   ? votes
                 : record.kind == RecordKind::entry  ? entries
                                                     : snapshots;
    rows.insert(record.bytes);
  }
  /// Names a part of the recovered state that was never written; empty if there is none.
  std::string strangerIn(const RecoveredState& found) const {
    if (!found.identity.empty() && !identities.count(found.identity)) return "an identity";
    for (const auto& [duty, vote] : found.votes)
      if (!votes.count(voteRecord(duty, vote).bytes)) return "a vote";
    for (const auto& entry : found.entries)
      if (!entries.count(encodeEntry(entry))) return "an entry";
    if (found.snapshot && !snapshots.count(encodeSnapshot(*found.snapshot))) return "a snapshot";
    return {};
  }
};

std::vector<Record> drawBatch(Mutator& mutator, std::uint64_t& index, std::uint64_t term, bool isLong) {
  std::vector<Record> batch;
  for (std::uint64_t count = 1 + mutator.randomBelow(3); count > 0; --count) {
    if (mutator.chance(8)) {
      batch.push_back(voteRecord("duty-" + std::to_string(mutator.randomBelow(3)), Vote{term, "core-x"}));
    } else if (index > 3 && (mutator.chance(12) || isLong)) {
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
void bendFiles(Mutator& mutator, std::vector<std::string>& rows) {
  constexpr std::size_t page = 512;
  for (std::uint64_t times = 1 + mutator.randomBelow(3); times > 0; --times) {
    auto& row = rows[mutator.randomBelow(rows.size())];
    auto& other = rows[mutator.randomBelow(rows.size())];
    std::size_t used = row.find_last_not_of('\0');
    used = used == std::string::npos ? 1 : used + 1;
    std::size_t at = mutator.randomBelow(used), size = std::min(row.size() - at, 1 + mutator.randomBelow(200));
    switch (mutator.randomBelow(7)) {
      case 0:
        row[at] ^= static_cast<char>(1u << mutator.randomBelow(8));
        break;
      case 1:
        row.replace(at, size, size, '\0');
        break;
      case 2:
        at = at / page * page;
        row.replace(at, std::min(page, row.size() - at), std::min(page, row.size() - at), '\0');
        break;
      case 3:
        row.replace(at, row.size() - at, row.size() - at, '\0');
        break;
      case 4:
        row.replace(at, size, other.substr(mutator.randomBelow(other.size() - size), size));
        break;
      case 5:
        std::swap(row, other);
        break;
      default:
        row.replace(at, size, row.substr(mutator.randomBelow(used), size).append(size, '\0').substr(0, size));
    }
  }
}

FuzzOutcome tryRing(Mutator& mutator) {
  MemoryRing files(4, 4096);
  Written written;
  RecoveredState sum;
  std::uint64_t index = 0, term = 1;
  {
    auto ring = Ring::open(files);
    if (!ring) return broken("a ring of empty files cannot be opened", {});
    std::vector<Record> first{identityRecord("core-x")};
    for (std::uint64_t batches = 1 + mutator.randomBelow(40); batches > 0; --batches) {
      term += mutator.chance(10);
      std::size_t waiting = 0;
      for (const auto& entry : sum.entries) waiting += entry.body.size() + 64;
      auto batch = drawBatch(mutator, index, term, waiting > files.size() / 4);
      batch.insert(batch.begin(), first.begin(), first.end());
      first.clear();
      for (const auto& record : batch) written.note(record);
      if (!ring.value()->append(batch)) return broken("a batch cannot be appended", {});
      sum = ring.value()->held();
    }
  }
  MemoryRing same = files;
  auto whole = Ring::open(same);
  if (!whole) return broken("an undamaged ring cannot be opened", {});
  if (whole.value()->held().entries.size() != sum.entries.size() || !written.strangerIn(whole.value()->held()).empty())
    return broken("synced records are not recovered", {});
  bendFiles(mutator, files.rows);
  std::string input;
  for (const auto& row : files.rows) input += row.substr(0, row.find_last_not_of('\0') + 1) + "|";
  auto opened = Ring::open(files);
  if (!opened) return rejectedWith(opened.error(), input);
  auto stranger = written.strangerIn(opened.value()->held());
  if (!stranger.empty()) return broken("recovery returned " + stranger + " that was never written", input);
  LogEntry more{index + 1, term, 1, "more", {}, 0};
  written.note(entryRecord(more));
  written.note(identityRecord("core-x"));
  if (!opened.value()->append({identityRecord("core-x"), entryRecord(more)}))
    return broken("a damaged ring that was recovered cannot be appended to", input);
  auto again = Ring::open(files);
  if (!again) return rejectedWith(again.error(), input);
  const auto& held = again.value()->held();
  if (held.entries.empty() || held.entries.back().body != "more")
    return broken("an entry that was appended after recovery is lost", input);
  return accepted();
}

}  // namespace

void addRingTargets(FuzzTargets& targets) { targets.push_back({"ring", 4000, tryRing}); }

}  // namespace tt
