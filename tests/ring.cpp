#include "ring.hpp"

#include "ring_format.hpp"

#include <criterion/criterion.h>

using namespace tt;

namespace {

/// Files as a machine has them: what is written stands in a cache until its file is synced. A loss of power keeps any
/// subset of the pages written since; a process that ends loses nothing of the cache.
class PagedFiles : public RingFiles {
 public:
  PagedFiles(std::mt19937_64& source, std::size_t pageBytes, int files, std::size_t bytes)
      : randomSource(source),
        page(pageBytes),
        cache(static_cast<std::size_t>(files), std::string(bytes, '\0')),
        durable(cache) {}
  Result<std::string> readAll(int file) override { return cache[static_cast<std::size_t>(file)]; }
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override {
    auto& row = cache[static_cast<std::size_t>(file)];
    std::size_t taken = bytes.size();
    bool stops = actionsLeft == 0;
    if (stops) taken = randomSource() % (bytes.size() + 1);
    if (full) taken = 0;
    row.replace(offset, taken, bytes.substr(0, taken));
    if (stops || full) return fault(Code::diskFault, "write", "stopped");
    --actionsLeft;
    return boost::outcome_v2::success();
  }
  Result<void> sync(int file) override {
    if (actionsLeft == 0 || full) return fault(Code::diskFault, "sync", "stopped");
    --actionsLeft;
    durable[static_cast<std::size_t>(file)] = cache[static_cast<std::size_t>(file)];
    return boost::outcome_v2::success();
  }
  int count() const override { return static_cast<int>(cache.size()); }
  std::size_t size() const override { return cache[0].size(); }
  void losePower() {
    std::uint64_t keptPerMille = randomSource() % 1001;
    for (std::size_t file = 0; file < cache.size(); ++file)
      for (std::size_t at = 0; at < cache[file].size(); at += page)
        if (randomSource() % 1000 < keptPerMille) durable[file].replace(at, page, cache[file].substr(at, page));
    cache = durable;
  }
  /// After this many more writes and syncs the next one fails, the last write after any number of its bytes.
  std::uint64_t actionsLeft{1u << 30};
  bool full{false};

 private:
  std::mt19937_64& randomSource;
  std::size_t page;

 public:
  std::vector<std::string> cache, durable;
};

std::string textOf(const RecoveredState& held) {
  std::string text;
  for (const auto& record : held.records())
    text += std::to_string(static_cast<int>(record.kind)) + ":" + record.bytes + "\n";
  return text;
}

/// Makes batches as a core would: entries that follow each other, votes, cuts, snapshots.
struct Writer {
  std::mt19937_64& randomSource;
  std::uint64_t term{1};
  std::vector<Record> batch(const RecoveredState& held) {
    std::vector<Record> records;
    if (held.identity.empty()) records.push_back(identityRecord("core-x"));
    std::uint64_t base = held.snapshot ? held.snapshot->index : 0;
    std::uint64_t end = held.entries.empty() ? base : held.entries.back().index;
    std::size_t many = 1 + randomSource() % 6;
    for (std::size_t at = 0; at < many; ++at) {
      std::uint64_t drawn = randomSource() % 12;
      if (drawn == 0) {
        records.push_back(voteRecord("accord", Vote{++term, "core-y"}));
      } else if (drawn == 1 && end > base + 1) {
        records.push_back(cutRecord(end));
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

struct Lives {
  int opened{0}, refused{0}, lost{0}, foreign{0};
};

/// One ring over many lives, each ended by a loss of power, an ended process or a failed write at any action.
Lives liveThrough(std::uint64_t seed, std::size_t page, bool powerOnly) {
  std::mt19937_64 randomSource(seed);
  PagedFiles files(randomSource, page, 4, 16384);
  Writer writer{randomSource};
  RecoveredState known;
  std::optional<RecoveredState> underWay;
  Lives lives;
  for (int life = 0; life < 12; ++life) {
    files.actionsLeft = randomSource() % 3 == 0 ? randomSource() % 4 : 1u << 30;
    auto opened = Ring::open(files);
    bool stopped = files.actionsLeft == 0;
    if (!opened && !stopped) {
      ++lives.refused;
      return lives;
    }
    if (opened) {
      ++lives.opened;
      std::string found = textOf(opened.value()->held());
      bool isKnown = found == textOf(known);
      if (!isKnown && !(underWay && found == textOf(*underWay))) {
        ++(opened.value()->held().empty() && !known.empty() ? lives.lost : lives.foreign);
        return lives;
      }
      known = opened.value()->held();
      underWay.reset();
      files.actionsLeft = randomSource() % 40;
      while (true) {
        auto records = writer.batch(known);
        RecoveredState next = known;
        for (const auto& record : records) cr_assert(next.applyRecord(record));
        if (!opened.value()->append(records)) {
          underWay = next;
          break;
        }
        known = next;
      }
    }
    if (powerOnly || randomSource() % 2) files.losePower();
  }
  return lives;
}

Lives liveThroughAll(std::size_t page, bool powerOnly, std::uint64_t seeds) {
  Lives all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Lives lives = liveThrough(seed, page, powerOnly);
    all.opened += lives.opened;
    all.refused += lives.refused;
    all.lost += lives.lost;
    all.foreign += lives.foreign;
  }
  return all;
}

void assertSound(const Lives& lives) {
  cr_assert_gt(lives.opened, 10000);
  cr_assert(lives.refused == 0 && lives.lost == 0 && lives.foreign == 0,
            "of %d openings %d refused a torn ring, %d came back empty, %d held what was never one batch's end",
            lives.opened, lives.refused, lives.lost, lives.foreign);
}

}  // namespace

Test(ring_power, any_subset_of_512_byte_pages_of_the_last_write_loses_no_replica) {
  assertSound(liveThroughAll(512, true, 3000));
}

Test(ring_power, any_subset_of_4_KB_pages_of_the_last_write_loses_no_replica) {
  assertSound(liveThroughAll(4096, true, 3000));
}

Test(ring_power, processes_that_end_between_losses_of_power_lose_nothing) {
  assertSound(liveThroughAll(512, false, 3000));
}

namespace {

std::string olderFormat(std::uint64_t generation, std::uint64_t firstSequence, const std::vector<Record>& records) {
  std::string bytes;
  for (const auto& record : records) bytes += packUnmarked(generation, firstSequence++, record);
  return bytes;
}
LogEntry numbered(std::uint64_t index) { return LogEntry{index, 1, 1, "body " + std::to_string(index), {}, 0}; }

struct RingBench {
  std::mt19937_64 randomSource{7};
  PagedFiles files{randomSource, 512, 4, 16384};
  std::unique_ptr<Ring> ring;
  RingBench() { reopen(); }
  void reopen() {
    auto opened = Ring::open(files);
    cr_assert(bool(opened), "%s", opened ? "" : opened.error().text.c_str());
    ring = std::move(opened).value();
  }
  void append(const std::vector<Record>& records) { cr_assert(bool(ring->append(records))); }
  void fill(std::uint64_t first, std::uint64_t last) {
    for (std::uint64_t index = first; index <= last; ++index) append({entryRecord(numbered(index))});
  }
  /// The file and place where a text stands last.
  std::pair<std::size_t, std::size_t> find(const std::string& text) const {
    for (std::size_t file = 0; file < files.cache.size(); ++file)
      if (auto at = files.cache[file].rfind(text); at != std::string::npos) return {file, at};
    cr_assert_fail("%s is nowhere", text.c_str());
    return {};
  }
};

}  // namespace

Test(ring_format, a_ring_of_the_older_format_is_read_and_goes_on) {
  RingBench bench;
  auto rows = [](std::uint64_t last) {
    std::vector<Record> records{identityRecord("core-old"), voteRecord("accord", Vote{4, "core-y"})};
    for (std::uint64_t index = 1; index <= last; ++index) records.push_back(entryRecord(numbered(index)));
    return records;
  };
  auto checkpoint = rows(5);
  checkpoint.push_back(Record{RecordKind::checkpointEnd, {}});
  for (std::uint64_t index = 6; index <= 9; ++index) checkpoint.push_back(entryRecord(numbered(index)));
  std::string bytes = olderFormat(3, 40, checkpoint);
  bench.files.cache[3].replace(0, bytes.size(), bytes);
  bench.reopen();
  cr_assert_eq(textOf(bench.ring->held()), [&] {
    RecoveredState expected;
    for (const auto& record : rows(9)) expected.applyRecord(record);
    return textOf(expected);
  }());
  bench.fill(10, 120);
  bench.append({voteRecord("accord", Vote{5, "core-z"})});
}

Test(ring_format, an_older_format_tells_a_torn_end_from_damage_as_it_did) {
  RingBench bench;
  std::vector<Record> records{identityRecord("core-old"), Record{RecordKind::checkpointEnd, {}}};
  for (std::uint64_t index = 1; index <= 9; ++index) records.push_back(entryRecord(numbered(index)));
  std::string bytes = olderFormat(1, 1, records);
  std::string tornBytes = bytes, damagedBytes = bytes;
  tornBytes[tornBytes.find("body 9")] ^= 1;
  damagedBytes[damagedBytes.find("body 4")] ^= 1;
  bench.files.cache[1].replace(0, bytes.size(), damagedBytes);
  auto damaged = Ring::open(bench.files);
  cr_assert_not(bool(damaged));
  cr_assert_eq(damaged.error().code, Code::ringDamaged);
  bench.files.cache[1].replace(0, bytes.size(), tornBytes);
  bench.reopen();
  cr_assert(bench.ring->tornTailDropped());
  cr_assert_eq(bench.ring->held().entries.back().index, 8u);
}

Test(ring_damage, a_bent_bit_before_a_synced_batch_is_told_and_the_ring_starts_empty) {
  RingBench bench;
  bench.append({identityRecord("core-x")});
  bench.fill(1, 20);
  auto [file, at] = bench.find("body 12");
  bench.files.cache[file][at] ^= 1;
  auto opened = Ring::openOrReset(bench.files);
  cr_assert(bool(opened));
  cr_assert(opened.value().damage.has_value());
  cr_assert_eq(opened.value().damage->code, Code::ringDamaged);
  cr_assert(opened.value().ring->held().empty());
  cr_assert(bool(opened.value().ring->append({identityRecord("core-new")})));
  bench.reopen();
  cr_assert_eq(bench.ring->held().identity, "core-new");
}

Test(ring_damage, a_newest_file_that_is_emptied_is_told) {
  RingBench bench;
  bench.append({identityRecord("core-x")});
  for (int life = 0; life < 6; ++life) bench.reopen();
  bench.append({entryRecord(numbered(1))});
  auto [file, at] = bench.find("body 1");
  (void)at;
  bench.files.cache[file].assign(bench.files.size(), '\0');
  auto opened = Ring::open(bench.files);
  cr_assert_not(bool(opened), "an older state passes for the newest");
  cr_assert_eq(opened.error().code, Code::ringDamaged);
}

Test(ring_damage, a_disk_that_refuses_writes_at_the_start_is_not_emptied) {
  RingBench bench;
  bench.append({identityRecord("core-x")});
  bench.fill(1, 20);
  bench.files.full = true;
  auto refused = Ring::openOrReset(bench.files);
  cr_assert_not(bool(refused));
  cr_assert_eq(refused.error().code, Code::diskFault);
  bench.files.full = false;
  bench.reopen();
  cr_assert_eq(bench.ring->held().entries.back().index, 20u);
}

Test(ring_damage, a_ring_whose_write_failed_takes_nothing_until_it_is_opened_again) {
  RingBench bench;
  bench.append({identityRecord("core-x")});
  bench.files.full = true;
  cr_assert_not(bool(bench.ring->append({entryRecord(numbered(1))})));
  bench.files.full = false;
  cr_assert_not(bool(bench.ring->append({entryRecord(numbered(2))})));
  bench.reopen();
  cr_assert(bench.ring->held().entries.empty());
  bench.fill(1, 3);
}

Test(ring_damage, a_wipe_that_stops_anywhere_never_leaves_an_older_state) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 randomSource(seed);
    PagedFiles files(randomSource, 512, 4, 8192);
    auto opened = Ring::open(files);
    cr_assert(bool(opened.value()->append({identityRecord("core-x")})));
    std::uint64_t last = 1 + randomSource() % 60;
    for (std::uint64_t index = 1; index <= last; ++index) {
      Snapshot snapshot;
      snapshot.index = index;
      cr_assert(bool(opened.value()->append({entryRecord(numbered(index)), snapshotRecord(snapshot)})));
    }
    files.actionsLeft = randomSource() % 17;
    (void)Ring::wipe(files);
    files.actionsLeft = 1u << 30;
    files.losePower();
    auto after = Ring::open(files);
    if (!after) {
      cr_assert_eq(after.error().code, Code::ringDamaged);
      continue;
    }
    const auto& held = after.value()->held();
    cr_assert(held.empty() || (held.snapshot && held.snapshot->index == last),
              "seed %d: the state of %d came back, %d had been synced", static_cast<int>(seed),
              held.snapshot ? static_cast<int>(held.snapshot->index) : 0, static_cast<int>(last));
  }
}
