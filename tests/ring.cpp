#include "ring.hpp"

#include "ring_format.hpp"

#include <criterion/criterion.h>

using namespace tt;

namespace {

/// Files with a page cache: written bytes are durable only once their file is synced. After a power loss a random
/// subset of the pages written since then remains; if only the process ends, the whole cache remains.
class PagedFiles : public RingFiles {
 public:
  PagedFiles(std::mt19937_64& source, std::size_t pageBytes, int files, std::size_t bytes)
      : randomSource(source),
        pageSize(pageBytes),
        cache(static_cast<std::size_t>(files), std::string(bytes, '\0')),
        durable(cache) {}
  Result<std::string> readAll(int file) override { return cache[static_cast<std::size_t>(file)]; }
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override {
    auto& content = cache[static_cast<std::size_t>(file)];
    std::size_t written = bytes.size();
    bool stops = operationsLeft == 0;
    if (stops) written = randomSource() % (bytes.size() + 1);
    if (diskFull) written = 0;
    content.replace(offset, written, bytes.substr(0, written));
    if (stops || diskFull) return makeError(Code::diskFault, "write", "stopped");
    --operationsLeft;
    return boost::outcome_v2::success();
  }
  Result<void> sync(int file) override {
    if (operationsLeft == 0 || diskFull) return makeError(Code::diskFault, "sync", "stopped");
    --operationsLeft;
    durable[static_cast<std::size_t>(file)] = cache[static_cast<std::size_t>(file)];
    return boost::outcome_v2::success();
  }
  int count() const override { return static_cast<int>(cache.size()); }
  std::size_t size() const override { return cache[0].size(); }
  void losePower() {
    std::uint64_t keptPerMille = randomSource() % 1001;
    for (std::size_t file = 0; file < cache.size(); ++file)
      for (std::size_t at = 0; at < cache[file].size(); at += pageSize)
        if (randomSource() % 1000 < keptPerMille) durable[file].replace(at, pageSize, cache[file].substr(at, pageSize));
    cache = durable;
  }
  /// After this many more writes and syncs the next one fails; a failing write leaves a random number of its bytes.
  std::uint64_t operationsLeft{1u << 30};
  bool diskFull{false};

 private:
  std::mt19937_64& randomSource;
  std::size_t pageSize;

 public:
  std::vector<std::string> cache, durable;
};

std::string serialize(const RecoveredState& state) {
  std::string text;
  for (const auto& record : state.records())
    text += std::to_string(static_cast<int>(record.kind)) + ":" + record.bytes + "\n";
  return text;
}

/// Generates batches as a core writes them: consecutive entries, votes, truncations and snapshots.
struct BatchGenerator {
  std::mt19937_64& randomSource;
  std::uint64_t term{1};
  std::vector<Record> batch(const RecoveredState& state) {
    std::vector<Record> records;
    if (state.identity.empty()) records.push_back(identityRecord("core-x"));
    std::uint64_t base = state.snapshot ? state.snapshot->index : 0;
    std::uint64_t end = state.entries.empty() ? base : state.entries.back().index;
    std::size_t attempts = 1 + randomSource() % 6;
    for (std::size_t attempt = 0; attempt < attempts; ++attempt) {
      std::uint64_t drawn = randomSource() % 12;
      if (drawn == 0) {
        records.push_back(voteRecord("accord", Vote{++term, "core-y"}));
      } else if (drawn == 1 && end > base + 1) {
        records.push_back(truncationRecord(end));
        --end;
      } else if (drawn == 2 && end > base + 3) {
        Snapshot snapshot;
        snapshot.index = base = end - 2;
        snapshot.configuration = std::string(randomSource() % 3000, 's') + std::to_string(end);
        records.push_back(snapshotRecord(snapshot));
      } else if (end < base + 12) {
        std::string body = std::string(randomSource() % 300, 'e') + std::to_string(randomSource());
        records.push_back(entryRecord(LogEntry{++end, term, 1, body, {}, 0}));
      }
    }
    if (records.empty()) records.push_back(voteRecord("accord", Vote{++term, "core-z"}));
    return records;
  }
};

/// How often a ring was opened successfully, rejected as damaged, recovered as empty although batches had been synced,
/// and recovered with a state that no batch had ended in.
struct OpenCounts {
  int opened{0}, refused{0}, lost{0}, unknown{0};
};

/// Opens and writes one ring again and again. Each time the process ends at a random point by a power loss, an exit or
/// a failed operation. When the ring is opened again, its state must be that of the last synced batch or of the batch
/// that was being written.
OpenCounts runRestarts(std::uint64_t seed, std::size_t pageSize, bool powerLossOnly) {
  std::mt19937_64 randomSource(seed);
  PagedFiles files(randomSource, pageSize, 4, 16384);
  BatchGenerator generator{randomSource};
  RecoveredState known;
  std::optional<RecoveredState> inFlight;
  OpenCounts counts;
  for (int restart = 0; restart < 12; ++restart) {
    files.operationsLeft = randomSource() % 3 == 0 ? randomSource() % 4 : 1u << 30;
    auto opened = Ring::open(files);
    bool stopped = files.operationsLeft == 0;
    if (!opened && !stopped) {
      ++counts.refused;
      return counts;
    }
    if (opened) {
      ++counts.opened;
      std::string found = serialize(opened.value()->recoveredState());
      bool matchesKnown = found == serialize(known);
      if (!matchesKnown && !(inFlight && found == serialize(*inFlight))) {
        ++(opened.value()->recoveredState().empty() && !known.empty() ? counts.lost : counts.unknown);
        return counts;
      }
      known = opened.value()->recoveredState();
      inFlight.reset();
      files.operationsLeft = randomSource() % 40;
      while (true) {
        auto records = generator.batch(known);
        RecoveredState next = known;
        for (const auto& record : records) cr_assert(next.applyRecord(record));
        if (!opened.value()->append(records)) {
          inFlight = next;
          break;
        }
        known = next;
      }
    }
    if (powerLossOnly || randomSource() % 2) files.losePower();
  }
  return counts;
}

OpenCounts runAllSeeds(std::size_t pageSize, bool powerLossOnly, std::uint64_t seeds) {
  OpenCounts all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    OpenCounts counts = runRestarts(seed, pageSize, powerLossOnly);
    all.opened += counts.opened;
    all.refused += counts.refused;
    all.lost += counts.lost;
    all.unknown += counts.unknown;
  }
  return all;
}

void assertNoLoss(const OpenCounts& counts) {
  cr_assert_gt(counts.opened, 10000);
  cr_assert(
      counts.refused == 0 && counts.lost == 0 && counts.unknown == 0,
      "of %d openings, %d rejected a torn ring, %d recovered an empty one, %d recovered a state that no batch ended in",
      counts.opened, counts.refused, counts.lost, counts.unknown);
}

}  // namespace

Test(ring_power, losing_any_512_byte_pages_of_unsynced_writes_loses_no_synced_batch) {
  assertNoLoss(runAllSeeds(512, true, 3000));
}

Test(ring_power, losing_any_4_KB_pages_of_unsynced_writes_loses_no_synced_batch) {
  assertNoLoss(runAllSeeds(4096, true, 3000));
}

Test(ring_power, process_exits_between_power_losses_lose_no_synced_batch) {
  assertNoLoss(runAllSeeds(512, false, 3000));
}

namespace {

std::string encodeLegacyRecords(std::uint64_t generation, std::uint64_t firstSequence,
                                const std::vector<Record>& records) {
  std::string bytes;
  for (const auto& record : records) bytes += encodeLegacyRecord(generation, firstSequence++, record);
  return bytes;
}
LogEntry makeEntry(std::uint64_t index) { return LogEntry{index, 1, 1, "body " + std::to_string(index), {}, 0}; }

struct RingHarness {
  std::mt19937_64 randomSource{7};
  PagedFiles files{randomSource, 512, 4, 16384};
  std::unique_ptr<Ring> ring;
  RingHarness() { reopen(); }
  void reopen() {
    auto opened = Ring::open(files);
    cr_assert(bool(opened), "%s", opened ? "" : opened.error().text.c_str());
    ring = std::move(opened).value();
  }
  void append(const std::vector<Record>& records) { cr_assert(bool(ring->append(records))); }
  void fill(std::uint64_t first, std::uint64_t last) {
    for (std::uint64_t index = first; index <= last; ++index) append({entryRecord(makeEntry(index))});
  }
  /// The file that holds a text, and the offset of its last occurrence there.
  std::pair<std::size_t, std::size_t> find(const std::string& text) const {
    for (std::size_t file = 0; file < files.cache.size(); ++file)
      if (auto at = files.cache[file].rfind(text); at != std::string::npos) return {file, at};
    cr_assert_fail("%s is in no file", text.c_str());
    return {};
  }
};

}  // namespace

Test(ring_format, a_legacy_ring_is_read_and_continued_in_the_current_format) {
  RingHarness harness;
  auto rows = [](std::uint64_t last) {
    std::vector<Record> records{identityRecord("core-old"), voteRecord("accord", Vote{4, "core-y"})};
    for (std::uint64_t index = 1; index <= last; ++index) records.push_back(entryRecord(makeEntry(index)));
    return records;
  };
  auto checkpoint = rows(5);
  checkpoint.push_back(Record{RecordKind::checkpointEnd, {}});
  for (std::uint64_t index = 6; index <= 9; ++index) checkpoint.push_back(entryRecord(makeEntry(index)));
  std::string bytes = encodeLegacyRecords(3, 40, checkpoint);
  harness.files.cache[3].replace(0, bytes.size(), bytes);
  harness.reopen();
  cr_assert_eq(serialize(harness.ring->recoveredState()), [&] {
    RecoveredState expected;
    for (const auto& record : rows(9)) expected.applyRecord(record);
    return serialize(expected);
  }());
  harness.fill(10, 120);
  harness.append({voteRecord("accord", Vote{5, "core-z"})});
}

Test(ring_format, a_torn_tail_of_a_legacy_ring_is_told_from_damage) {
  RingHarness harness;
  std::vector<Record> records{identityRecord("core-old"), Record{RecordKind::checkpointEnd, {}}};
  for (std::uint64_t index = 1; index <= 9; ++index) records.push_back(entryRecord(makeEntry(index)));
  std::string bytes = encodeLegacyRecords(1, 1, records);
  std::string tornBytes = bytes, damagedBytes = bytes;
  tornBytes[tornBytes.find("body 9")] ^= 1;
  damagedBytes[damagedBytes.find("body 4")] ^= 1;
  harness.files.cache[1].replace(0, bytes.size(), damagedBytes);
  auto damaged = Ring::open(harness.files);
  cr_assert_not(bool(damaged));
  cr_assert_eq(damaged.error().code, Code::ringDamaged);
  harness.files.cache[1].replace(0, bytes.size(), tornBytes);
  harness.reopen();
  cr_assert(harness.ring->tornTailDropped());
  cr_assert_eq(harness.ring->recoveredState().entries.back().index, 8u);
}

Test(ring_damage, a_flipped_bit_before_a_synced_batch_is_reported_and_the_ring_is_reset) {
  RingHarness harness;
  harness.append({identityRecord("core-x")});
  harness.fill(1, 20);
  auto [file, at] = harness.find("body 12");
  harness.files.cache[file][at] ^= 1;
  auto opened = Ring::openOrReset(harness.files);
  cr_assert(bool(opened));
  cr_assert(opened.value().damage.has_value());
  cr_assert_eq(opened.value().damage->code, Code::ringDamaged);
  cr_assert(opened.value().ring->recoveredState().empty());
  cr_assert(bool(opened.value().ring->append({identityRecord("core-new")})));
  harness.reopen();
  cr_assert_eq(harness.ring->recoveredState().identity, "core-new");
}

/// The previous file still contains a valid but older checkpoint. Recovering from that one would silently lose synced
/// records.
Test(ring_damage, an_erased_newest_file_is_reported_as_damage) {
  RingHarness harness;
  harness.append({identityRecord("core-x")});
  for (int restart = 0; restart < 6; ++restart) harness.reopen();
  harness.append({entryRecord(makeEntry(1))});
  auto [file, at] = harness.find("body 1");
  (void)at;
  harness.files.cache[file].assign(harness.files.size(), '\0');
  auto opened = Ring::open(harness.files);
  cr_assert_not(bool(opened), "an older state was accepted as the newest");
  cr_assert_eq(opened.error().code, Code::ringDamaged);
}

/// A full disk is not damage, and erasing the ring would lose the records of the core.
Test(ring_damage, a_disk_that_refuses_writes_at_start_is_not_erased) {
  RingHarness harness;
  harness.append({identityRecord("core-x")});
  harness.fill(1, 20);
  harness.files.diskFull = true;
  auto refused = Ring::openOrReset(harness.files);
  cr_assert_not(bool(refused));
  cr_assert_eq(refused.error().code, Code::diskFault);
  harness.files.diskFull = false;
  harness.reopen();
  cr_assert_eq(harness.ring->recoveredState().entries.back().index, 20u);
}

Test(ring_damage, after_a_failed_write_appends_fail_until_the_ring_is_reopened) {
  RingHarness harness;
  harness.append({identityRecord("core-x")});
  harness.files.diskFull = true;
  cr_assert_not(bool(harness.ring->append({entryRecord(makeEntry(1))})));
  harness.files.diskFull = false;
  cr_assert_not(bool(harness.ring->append({entryRecord(makeEntry(2))})));
  harness.reopen();
  cr_assert(harness.ring->recoveredState().entries.empty());
  harness.fill(1, 3);
}

/// If a partly wiped ring could be opened at an older checkpoint, the core would forget synced votes and entries.
Test(ring_damage, an_interrupted_wipe_never_leaves_an_older_state) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 randomSource(seed);
    PagedFiles files(randomSource, 512, 4, 8192);
    auto opened = Ring::open(files);
    cr_assert(bool(opened.value()->append({identityRecord("core-x")})));
    std::uint64_t last = 1 + randomSource() % 60;
    for (std::uint64_t index = 1; index <= last; ++index) {
      Snapshot snapshot;
      snapshot.index = index;
      cr_assert(bool(opened.value()->append({entryRecord(makeEntry(index)), snapshotRecord(snapshot)})));
    }
    files.operationsLeft = randomSource() % 17;
    (void)Ring::wipe(files);
    files.operationsLeft = 1u << 30;
    files.losePower();
    auto after = Ring::open(files);
    if (!after) {
      cr_assert_eq(after.error().code, Code::ringDamaged);
      continue;
    }
    const auto& state = after.value()->recoveredState();
    cr_assert(state.empty() || (state.snapshot && state.snapshot->index == last),
              "seed %d: the state up to entry %d was recovered, %d had been synced", static_cast<int>(seed),
              state.snapshot ? static_cast<int>(state.snapshot->index) : 0, static_cast<int>(last));
  }
}
