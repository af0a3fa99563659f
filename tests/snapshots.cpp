#include <criterion/criterion.h>

#include <algorithm>

#include "members.hpp"
#include "replicated_log.hpp"
#include "ring.hpp"

using namespace tt;

namespace {

const std::vector<Member> threeVoters{
    {"a", "a", "a:1", "north", true}, {"b", "b", "b:1", "north", true}, {"c", "c", "c:1", "north", true}};

LogEntry membersEntry() {
  return LogEntry{1, 1, static_cast<int>(EntryKind::members), encodeMembers(threeVoters), {}, 0};
}
std::string weightsBody(std::uint64_t number, std::size_t bytes = 4) {
  return R"({"weights":{"w)" + std::to_string(number) + R"(":{"model":")" + std::string(bytes, 'm') + R"("}}})";
}
LogEntry changeEntry(std::uint64_t index, std::uint64_t term, std::size_t bytes = 4) {
  return LogEntry{
      index, term, static_cast<int>(EntryKind::change), weightsBody(index, bytes), "change " + std::to_string(index),
      0};
}
Snapshot snapshotOf(const std::vector<LogEntry>& entries) {
  Configuration configuration;
  for (const auto& entry : entries) configuration.apply(entry);
  return configuration.snapshot();
}
std::vector<LogEntry> entriesUpTo(std::uint64_t last, std::uint64_t term) {
  std::vector<LogEntry> entries{membersEntry()};
  for (std::uint64_t index = 2; index <= last; ++index) entries.push_back(changeEntry(index, term));
  return entries;
}

/// One replica driven by the test: its messages are collected, and its disk syncs when sync() is called.
struct Replica {
  TimePoint now{std::chrono::hours(5)};
  std::mt19937_64 randomSource{3};
  Journal journal;
  RecoveredState disk;
  std::unique_ptr<ReplicatedLog> log;
  /// Records that are not synced yet.
  std::vector<Effects::Save> waiting;
  std::vector<std::pair<std::string, Message>> sent;
  Member self;
  std::size_t capacityBytes;

  explicit Replica(const RecoveredState& recovered = {}, const Member& member = threeVoters[0],
                   std::size_t maxRecordBytes = 1 << 20)
      : disk(recovered), self(member), capacityBytes(maxRecordBytes) {
    restart();
  }
  void restart() {
    waiting.clear();
    log = std::make_unique<ReplicatedLog>(self, capacityBytes);
    log->restore(disk, now);
  }
  void with(const std::function<void(Effects&)>& action) {
    Effects effects{now, randomSource, journal, {}, {}};
    action(effects);
    for (auto& message : effects.sends) sent.push_back(std::move(message));
    for (auto& save : effects.saves) waiting.push_back(std::move(save));
  }
  void handle(const std::string& from, const Message& message) {
    with([&](Effects& effects) { log->handle(effects, from, message); });
  }
  void tick(Duration duration) {
    now += duration;
    with([&](Effects& effects) { log->tick(effects); });
  }
  void sync() {
    auto saves = std::move(waiting);
    waiting.clear();
    for (const auto& save : saves) cr_assert(disk.applyRecord(save.record));
    with([&](Effects& effects) {
      for (auto& save : saves)
        if (save.onSynced) save.onSynced(effects);
    });
  }
  template <class Kind>
  std::vector<Kind> sentOf() const {
    std::vector<Kind> found;
    for (const auto& [to, message] : sent)
      if (auto* kind = std::get_if<Kind>(&message)) found.push_back(*kind);
    return found;
  }
  /// Whether a vote (not a probe vote) for this candidate was saved or sent.
  bool votedFor(const std::string& candidate) {
    sync();
    auto vote = disk.votes.find("accord");
    if (vote != disk.votes.end() && vote->second.votedFor == candidate) return true;
    for (const auto& response : sentOf<VoteResponse>())
      if (response.granted) return true;
    return false;
  }
  /// Runs an election in which b and c grant their votes.
  void becomeLeader() {
    for (int round = 0; round < 400 && !log->election.won(); ++round) {
      tick(20ms);
      for (const char* other : {"b", "c"}) {
        std::string address = std::string(other) + ":1";
        if (log->election.state() == "probing")
          handle(address, VoteResponse{"accord", log->election.term(), other, true, true});
        sync();
        if (log->election.state() == "asking")
          handle(address, VoteResponse{"accord", log->election.term(), other, false, true});
      }
    }
    cr_assert(log->election.won());
    renewLease();
  }
  void renewLease() {
    for (const char* other : {"b", "c"})
      handle(std::string(other) + ":1",
             HeartbeatResponse{"accord", log->election.term(), other, toNanoseconds(now), true});
  }
  void change(std::size_t bytes = 4) {
    ChangeRequest request;
    request.body = weightsBody(++changes, bytes);
    request.changeId = "change " + std::to_string(changes);
    request.requestId = request.changeId;
    request.ifRevision = -1;
    with([&](Effects& effects) { log->proposeChange(effects, "operator", request); });
  }
  void acknowledge(const std::string& other, std::uint64_t index) {
    handle(other + ":1", AppendResponse{log->election.term(), other, true, index});
  }
  std::uint64_t changes{0};
};

RecoveredState recoveredWith(std::vector<LogEntry> entries, std::optional<Snapshot> snapshot = std::nullopt) {
  RecoveredState recovered;
  recovered.identity = "a";
  recovered.entries = std::move(entries);
  recovered.snapshot = std::move(snapshot);
  return recovered;
}

/// Entries up to `committed` of term 1, then entries of a term 2 that was never committed.
std::vector<LogEntry> withConflictingTail(std::uint64_t committed, std::uint64_t last) {
  auto entries = entriesUpTo(committed, 1);
  for (std::uint64_t index = committed + 1; index <= last; ++index) entries.push_back(changeEntry(index, 2));
  return entries;
}

/// Sends a snapshot to a replica without loss.
void deliver(Replica& replica, std::uint64_t term, const Snapshot& snapshot) {
  SnapshotSender sender(makeSnapshotImage(snapshot));
  while (auto chunk = sender.nextMessage(replica.now)) {
    chunk->term = term;
    chunk->leader = "b";
    replica.handle("b:1", *chunk);
    sender.handle(replica.sentOf<InstallSnapshotResponse>().back(), replica.now);
  }
}

}  // namespace

Test(snapshot_install, a_crash_between_any_two_records_leaves_the_old_log_or_the_snapshot) {
  Replica replica(recoveredWith(withConflictingTail(10, 15)));
  deliver(replica, 3, snapshotOf(entriesUpTo(20, 3)));
  cr_assert_not(replica.waiting.empty());
  RecoveredState disk = replica.disk;
  for (std::size_t stop = 0; stop <= replica.waiting.size(); ++stop) {
    if (stop > 0) cr_assert(disk.applyRecord(replica.waiting[stop - 1].record));
    bool installed = disk.snapshot && disk.snapshot->index == 20 && disk.entries.empty();
    bool old = !disk.snapshot && disk.entries.size() == 15;
    cr_expect(installed || old, "after %d of %d records the replica has %d entries and no snapshot",
              static_cast<int>(stop), static_cast<int>(replica.waiting.size()), static_cast<int>(disk.entries.size()));
  }
}

Test(snapshot_install, a_tail_that_conflicts_is_gone_after_a_restart) {
  Replica replica(recoveredWith(withConflictingTail(10, 30)));
  deliver(replica, 3, snapshotOf(entriesUpTo(20, 3)));
  replica.sync();
  replica.restart();
  cr_expect_eq(replica.log->logEnd(), 20u);
  cr_expect_eq(replica.log->lastSyncedIndex(), 20u);
  cr_expect(replica.log->hasSynced(20, 3));
}

Test(snapshot_install, a_tail_that_matches_is_kept_after_a_restart) {
  Replica replica(recoveredWith(entriesUpTo(30, 1)));
  deliver(replica, 3, snapshotOf(entriesUpTo(20, 1)));
  replica.sync();
  replica.restart();
  cr_expect_eq(replica.log->logEnd(), 30u);
  cr_expect_eq(replica.log->commit(), 20u);
}

Test(snapshot_install, a_voter_whose_snapshot_is_not_yet_synced_votes_for_no_older_log) {
  Replica replica(recoveredWith(withConflictingTail(10, 15)));
  deliver(replica, 3, snapshotOf(entriesUpTo(20, 3)));
  replica.now += 10s;
  replica.handle("c:1", VoteRequest{"accord", 9, "c", false, 1, 1});
  cr_expect_not(replica.votedFor("c"), "ten entries that were counted on this disk are unknown to the candidate");
}

Test(snapshot_install, a_snapshot_is_acknowledged_only_once_it_is_synced) {
  Replica replica(recoveredWith(withConflictingTail(10, 15)));
  deliver(replica, 3, snapshotOf(entriesUpTo(20, 3)));
  for (const auto& response : replica.sentOf<AppendResponse>()) cr_expect_lt(response.index, 20u);
  cr_expect_not(replica.log->hasSynced(20, 3));
  replica.sync();
  auto responses = replica.sentOf<AppendResponse>();
  cr_assert_not(responses.empty());
  cr_expect_eq(responses.back().index, 20u);
}

namespace {
/// A leader that has taken a snapshot of entries that the two followers have synced but its own disk has not.
Replica leaderWithSlowDisk() {
  Replica replica(recoveredWith({membersEntry()}), threeVoters[0], 8192);
  replica.becomeLeader();
  replica.sync();
  for (int number = 0; number < 12; ++number) {
    replica.renewLease();
    replica.change(400);
  }
  for (const char* other : {"b", "c"}) replica.acknowledge(other, replica.log->logEnd());
  cr_assert_eq(replica.log->commit(), replica.log->logEnd());
  cr_assert_lt(replica.log->lastSyncedIndex(), replica.log->commit());
  cr_assert_eq(replica.journal.counts().count("capture"), 1u, "the leader has compacted its log");
  return replica;
}
}  // namespace

Test(snapshot_trim, a_leader_that_compacted_past_its_own_disk_votes_for_no_older_log) {
  Replica replica = leaderWithSlowDisk();
  replica.now += 10s;
  replica.handle("c:1", VoteRequest{"accord", 9, "c", false, 1, 1});
  cr_expect_not(replica.votedFor("c"));
}

Test(snapshot_trim, a_compacted_log_counts_as_synced_once_its_snapshot_is) {
  Replica replica = leaderWithSlowDisk();
  replica.sync();
  cr_expect_eq(replica.log->lastSyncedIndex(), replica.log->commit());
}

namespace {

Snapshot largeSnapshot(std::size_t bytes, std::uint64_t seed = 1) {
  std::mt19937_64 randomSource(seed);
  Snapshot snapshot;
  snapshot.index = 40 + seed;
  snapshot.term = 3;
  while (snapshot.configuration.size() < bytes) snapshot.configuration += std::to_string(randomSource());
  return snapshot;
}

/// Counts of one snapshot transfer: `chunks` with data, their total size `payload`, and the size of the largest one.
struct TransferResult {
  std::uint64_t chunks{0}, payload{0}, largestChunk{0};
  bool arrived{false};
};

/// Transfers a snapshot over a link that loses, duplicates and reorders messages, to a follower that at times loses
/// what it has received.
TransferResult sendOverLossyLink(std::uint64_t seed, int lossPerCent, int forgetPerMille) {
  std::mt19937_64 randomSource(seed);
  TimePoint now{std::chrono::hours(1)};
  Snapshot snapshot = largeSnapshot(700000, seed);
  SnapshotSender sender(makeSnapshotImage(snapshot));
  SnapshotReceiver receiver;
  std::multimap<TimePoint, InstallSnapshot> toReceiver;
  std::multimap<TimePoint, InstallSnapshotResponse> toSender;
  TransferResult transfer;
  auto chance = [&](int share) { return static_cast<int>(randomSource() % 100) < share; };
  auto arrival = [&] { return now + std::chrono::milliseconds(1 + randomSource() % 60); };
  for (TimePoint end = now + 600s; now < end && !transfer.arrived; now += 5ms) {
    if (auto chunk = sender.nextMessage(now)) {
      transfer.chunks += !chunk->bytes.empty();
      transfer.payload += chunk->bytes.size();
      for (int copies = chance(lossPerCent) ? 0 : chance(10) ? 2 : 1; copies > 0; --copies)
        toReceiver.emplace(arrival(), *chunk);
    }
    while (!toReceiver.empty() && toReceiver.begin()->first <= now) {
      InstallSnapshot chunk = toReceiver.begin()->second;
      toReceiver.erase(toReceiver.begin());
      if (static_cast<int>(randomSource() % 1000) < forgetPerMille) receiver = SnapshotReceiver();
      Uint64 receivedBytes = receiver.handle(chunk, 1 << 22);
      transfer.largestChunk = std::max<std::uint64_t>(transfer.largestChunk, chunk.bytes.size());
      if (auto complete = receiver.takeCompleteSnapshot()) {
        cr_assert_eq(complete->configuration, snapshot.configuration);
        cr_assert_eq(complete->index, snapshot.index);
        transfer.arrived = true;
      }
      InstallSnapshotResponse response;
      response.digest = chunk.digest;
      response.offset = receivedBytes;
      response.attempt = chunk.attempt;
      if (!chance(lossPerCent)) toSender.emplace(arrival(), response);
    }
    while (!toSender.empty() && toSender.begin()->first <= now) {
      sender.handle(toSender.begin()->second, now);
      toSender.erase(toSender.begin());
    }
  }
  return transfer;
}

}  // namespace

Test(snapshot_pieces, arrive_complete_over_a_link_that_loses_duplicates_and_reorders) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    TransferResult transfer = sendOverLossyLink(seed, 25, 5);
    cr_assert(transfer.arrived, "seed %d", static_cast<int>(seed));
    cr_assert_leq(transfer.largestChunk, SnapshotSender::maxChunkBytes);
  }
}

Test(snapshot_pieces, on_a_reliable_link_each_byte_is_sent_once) {
  Snapshot snapshot = largeSnapshot(700000);
  SnapshotSender sender(makeSnapshotImage(snapshot));
  SnapshotReceiver receiver;
  TimePoint now{std::chrono::hours(1)};
  std::size_t payload = 0;
  std::optional<Snapshot> complete;
  while (auto chunk = sender.nextMessage(now)) {
    payload += chunk->bytes.size();
    cr_assert_not(sender.nextMessage(now).has_value(), "one chunk is in flight at a time");
    InstallSnapshotResponse response;
    response.digest = chunk->digest;
    response.attempt = chunk->attempt;
    response.offset = receiver.handle(*chunk, 1 << 22);
    complete = receiver.takeCompleteSnapshot();
    sender.handle(response, now += 30ms);
  }
  cr_assert(complete.has_value());
  cr_expect_eq(payload, sender.image().bytes.size());
}

Test(snapshot_pieces, an_unacknowledged_chunk_is_probed_and_not_sent_again) {
  SnapshotSender sender(makeSnapshotImage(largeSnapshot(700000)));
  TimePoint now{std::chrono::hours(1)};
  std::size_t payload = sender.nextMessage(now)->bytes.size(), requests = 0;
  for (int step = 0; step < 10000; ++step) {
    now += 1ms;
    if (auto message = sender.nextMessage(now)) {
      payload += message->bytes.size();
      ++requests;
    }
  }
  cr_expect_eq(payload, SnapshotSender::maxChunkBytes);
  cr_expect_leq(requests, 7u, "the retry delay must grow");
}

Test(snapshot_pieces, another_leader_with_the_same_snapshot_resumes_the_transfer) {
  auto image = makeSnapshotImage(largeSnapshot(700000));
  SnapshotReceiver receiver;
  TimePoint now{std::chrono::hours(1)};
  auto pass = [&](SnapshotSender& sender) {
    auto chunk = sender.nextMessage(now);
    InstallSnapshotResponse response;
    response.digest = chunk->digest;
    response.attempt = chunk->attempt;
    response.offset = receiver.handle(*chunk, 1 << 22);
    sender.handle(response, now);
  };
  SnapshotSender first(image);
  for (int chunks = 0; chunks < 4; ++chunks) pass(first);
  SnapshotSender second(makeSnapshotImage(largeSnapshot(700000)));
  pass(second);
  cr_expect_eq(second.acknowledged(), 4 * SnapshotSender::maxChunkBytes);
  SnapshotSender other(makeSnapshotImage(largeSnapshot(700000, 2)));
  pass(other);
  cr_expect_eq(other.acknowledged(), SnapshotSender::maxChunkBytes, "another snapshot must start from the beginning");
}

Test(snapshot_pieces, a_corrupt_or_oversized_snapshot_is_rejected) {
  auto image = makeSnapshotImage(largeSnapshot(200000));
  SnapshotSender sender(image);
  SnapshotReceiver receiver;
  TimePoint now{std::chrono::hours(1)};
  auto chunk = sender.nextMessage(now);
  cr_expect_eq(receiver.handle(*chunk, 100000), 0u);
  cr_expect_eq(receiver.receivedBytes(), 0u);
  chunk->bytes[77] ^= 1;
  cr_expect_eq(receiver.handle(*chunk, 1 << 22), SnapshotSender::maxChunkBytes);
  InstallSnapshot rest = *chunk;
  rest.offset = SnapshotSender::maxChunkBytes;
  rest.bytes = image->bytes.substr(SnapshotSender::maxChunkBytes);
  receiver.handle(rest, 1 << 22);
  cr_expect_not(receiver.takeCompleteSnapshot().has_value(), "the digest does not match");
  cr_expect_eq(receiver.receivedBytes(), 0u);
}

Test(append_window, entries_in_flight_are_not_sent_again_while_the_disk_is_slow) {
  Replica leader(recoveredWith({membersEntry()}));
  leader.becomeLeader();
  leader.sync();
  for (const char* other : {"b", "c"}) leader.acknowledge(other, leader.log->logEnd());
  leader.renewLease();
  leader.change(400);
  leader.sync();
  leader.sent.clear();
  for (int step = 0; step < 100; ++step) {
    leader.renewLease();
    leader.tick(20ms);
    for (const auto& request : leader.sentOf<AppendRequest>()) {
      cr_assert(request.entries.empty(), "entries that were received must not be sent again");
      for (const char* other : {"b", "c"})
        leader.handle(std::string(other) + ":1",
                      AppendResponse{leader.log->election.term(), other, true, request.prevIndex, leader.log->logEnd(),
                                     request.round});
    }
    leader.sent.clear();
  }
}

Test(append_window, entries_that_were_lost_are_sent_again) {
  Replica leader(recoveredWith({membersEntry()}));
  leader.becomeLeader();
  leader.sync();
  for (const char* other : {"b", "c"}) leader.acknowledge(other, leader.log->logEnd());
  leader.change(400);
  leader.sent.clear();
  leader.tick(200ms);
  auto requests = leader.sentOf<AppendRequest>();
  cr_assert_not(requests.empty());
  leader.sent.clear();
  leader.handle("b:1", AppendResponse{leader.log->election.term(), "b", true, requests[0].prevIndex,
                                      requests[0].prevIndex, requests[0].round});
  auto again = leader.sentOf<AppendRequest>();
  cr_assert_eq(again.size(), 1u);
  cr_expect_eq(again[0].entries.size(), 1u);
}

Test(append_window, a_repeated_entry_is_written_once) {
  Replica follower(recoveredWith({membersEntry()}));
  AppendRequest request{3, "b", 1, 1, 1, {changeEntry(2, 3), changeEntry(3, 3)}, 1};
  for (int copy = 0; copy < 20; ++copy) follower.handle("b:1", request);
  std::size_t entries = 0;
  for (const auto& save : follower.waiting) entries += save.record.kind == RecordKind::entry;
  cr_expect_eq(entries, 2u);
}

Test(append_window, entries_synced_together_are_acknowledged_once) {
  Replica follower(recoveredWith({membersEntry()}));
  follower.handle("b:1", Heartbeat{"accord", 3, "b", 1});
  AppendRequest request{3, "b", 1, 1, 1, {}, 1};
  for (std::uint64_t index = 2; index <= 100; ++index) request.entries.push_back(changeEntry(index, 3));
  follower.handle("b:1", request);
  follower.sent.clear();
  follower.sync();
  auto responses = follower.sentOf<AppendResponse>();
  cr_assert_eq(responses.size(), 1u);
  cr_expect_eq(responses[0].index, 100u);
}

namespace {

/// Files of a ring log in memory.
class MemoryFiles : public RingFiles {
 public:
  explicit MemoryFiles(std::size_t bytes) : rows(4, std::string(bytes, '\0')) {}
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

/// The state after thousands of changes with ids of maximum length and a configuration close to the size limit.
RecoveredState recoveredAtCapacity(std::size_t capacityBytes) {
  std::vector<LogEntry> entries{membersEntry()};
  for (std::uint64_t index = 2; index <= 4200; ++index) {
    auto entry = changeEntry(index, 1, index % 8 == 0 ? capacityBytes / 640 : 4);
    entry.body = weightsBody(index % 512, index % 8 == 0 ? capacityBytes / 640 : 4);
    entry.changeId = std::to_string(index) + std::string(128 - std::to_string(index).size(), 'i');
    entries.push_back(entry);
  }
  return recoveredWith({}, snapshotOf(entries));
}

/// Sends more large changes to a replica than it accepts, and every few rounds writes all of its new records to the
/// ring in one batch. Guards against a checkpoint that does not fit into one file of the ring, which would stop the
/// process.
void fillToCapacity(std::size_t fileBytes, bool acknowledges) {
  std::size_t capacityBytes = fileBytes / 4;
  MemoryFiles files(fileBytes);
  auto ring = std::move(Ring::open(files).value());
  Replica replica(recoveredAtCapacity(capacityBytes), threeVoters[0], capacityBytes);
  cr_assert(bool(ring->append(replica.disk.records())));
  replica.becomeLeader();
  replica.changes = 100000;
  int refused = 0;
  for (int round = 0; round < 60; ++round) {
    replica.renewLease();
    std::size_t bytes = capacityBytes / 3 - static_cast<std::size_t>(round % 7) * capacityBytes / 24;
    ChangeRequest request;
    request.requestId = request.changeId = "large " + std::to_string(round);
    request.body = weightsBody(7, bytes);
    request.ifRevision = -1;
    replica.with([&](Effects& effects) { replica.log->proposeChange(effects, "operator", request); });
    auto responses = replica.sentOf<ChangeResponse>();
    refused += !responses.empty() && responses.back().code == static_cast<int>(Code::changesFull);
    replica.sent.clear();
    if (round % 9 != 8) continue;
    std::vector<Record> records;
    for (const auto& save : replica.waiting) records.push_back(save.record);
    auto written = ring->append(records);
    cr_assert(bool(written), "round %d: %s", round, written ? "" : written.error().text.c_str());
    replica.sync();
    auto reopened = Ring::open(files);
    cr_assert(bool(reopened), "round %d: %s", round, reopened ? "" : reopened.error().text.c_str());
    ring = std::move(reopened).value();
    if (acknowledges)
      for (const char* other : {"b", "c"}) replica.acknowledge(other, replica.log->logEnd());
  }
  cr_expect_gt(refused, 0, "the limit was never reached");
}

}  // namespace

Test(checkpoint_fits, large_uncommitted_changes_are_rejected_before_they_outgrow_a_file) {
  fillToCapacity(4u << 20, false);
  fillToCapacity(3u << 20, false);
}

Test(checkpoint_fits, large_committed_changes_leave_room_for_each_checkpoint) {
  fillToCapacity(4u << 20, true);
  fillToCapacity(3u << 20, true);
}
