#include <criterion/criterion.h>

#include <algorithm>

#include "members.hpp"
#include "replicated_log.hpp"
#include "ring.hpp"

using namespace tt;

namespace {

const std::vector<Member> three{
    {"a", "a", "a:1", "north", true}, {"b", "b", "b:1", "north", true}, {"c", "c", "c:1", "north", true}};

LogEntry membersEntry() { return LogEntry{1, 1, static_cast<int>(EntryKind::members), encodeMembers(three), {}, 0}; }
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

/// One replica by hand: what it sends is kept, and its disk syncs when told to.
struct Replica {
  TimePoint now{std::chrono::hours(5)};
  std::mt19937_64 randomSource{3};
  Journal journal;
  RecoveredState disk;
  std::unique_ptr<ReplicatedLog> log;
  std::vector<Effects::Save> waiting;
  std::vector<std::pair<std::string, Message>> sent;
  Member self;
  std::size_t room;

  explicit Replica(const RecoveredState& held = {}, const Member& member = three[0],
                   std::size_t maxRecordBytes = 1 << 20)
      : disk(held), self(member), room(maxRecordBytes) {
    restart();
  }
  void restart() {
    waiting.clear();
    log = std::make_unique<ReplicatedLog>(self, room);
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
  void tick(Duration span) {
    now += span;
    with([&](Effects& effects) { log->tick(effects); });
  }
  void sync() {
    auto saves = std::move(waiting);
    waiting.clear();
    for (const auto& save : saves) cr_assert(disk.applyRecord(save.record));
    with([&](Effects& effects) {
      for (auto& save : saves)
        if (save.then) save.then(effects);
    });
  }
  template <class Kind>
  std::vector<Kind> sentOf() const {
    std::vector<Kind> found;
    for (const auto& [to, message] : sent)
      if (auto* kind = std::get_if<Kind>(&message)) found.push_back(*kind);
    return found;
  }
  /// Whether a real vote for this candidate was written down or promised.
  bool votedFor(const std::string& candidate) {
    sync();
    auto vote = disk.votes.find("accord");
    if (vote != disk.votes.end() && vote->second.votedFor == candidate) return true;
    for (const auto& response : sentOf<VoteResponse>())
      if (response.granted) return true;
    return false;
  }
  void lead() {
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
    renew();
  }
  void renew() {
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

RecoveredState heldWith(std::vector<LogEntry> entries, std::optional<Snapshot> snapshot = std::nullopt) {
  RecoveredState held;
  held.identity = "a";
  held.entries = std::move(entries);
  held.snapshot = std::move(snapshot);
  return held;
}

std::vector<LogEntry> withConflictingTail(std::uint64_t agreed, std::uint64_t last) {
  auto entries = entriesUpTo(agreed, 1);
  for (std::uint64_t index = agreed + 1; index <= last; ++index) entries.push_back(changeEntry(index, 2));
  return entries;
}

void deliver(Replica& replica, std::uint64_t term, const Snapshot& snapshot) {
  SnapshotSender sender(imageOf(snapshot));
  while (auto piece = sender.due(replica.now)) {
    piece->term = term;
    piece->leader = "b";
    replica.handle("b:1", *piece);
    sender.handle(replica.sentOf<InstallSnapshotResponse>().back(), replica.now);
  }
}

}  // namespace

Test(snapshot_install, a_stop_between_any_two_records_leaves_the_old_log_or_the_snapshot) {
  Replica replica(heldWith(withConflictingTail(10, 15)));
  deliver(replica, 3, snapshotOf(entriesUpTo(20, 3)));
  cr_assert_not(replica.waiting.empty());
  RecoveredState disk = replica.disk;
  for (std::size_t stop = 0; stop <= replica.waiting.size(); ++stop) {
    if (stop > 0) cr_assert(disk.applyRecord(replica.waiting[stop - 1].record));
    bool whole = disk.snapshot && disk.snapshot->index == 20 && disk.entries.empty();
    bool old = !disk.snapshot && disk.entries.size() == 15;
    cr_expect(whole || old, "after %d of %d records the replica holds %d entries and no snapshot",
              static_cast<int>(stop), static_cast<int>(replica.waiting.size()), static_cast<int>(disk.entries.size()));
  }
}

Test(snapshot_install, a_tail_that_conflicts_is_gone_after_a_restart) {
  Replica replica(heldWith(withConflictingTail(10, 30)));
  deliver(replica, 3, snapshotOf(entriesUpTo(20, 3)));
  replica.sync();
  replica.restart();
  cr_expect_eq(replica.log->logEnd(), 20u);
  cr_expect_eq(replica.log->lastSyncedIndex(), 20u);
  cr_expect(replica.log->hasSynced(20, 3));
}

Test(snapshot_install, a_tail_that_agrees_is_kept_after_a_restart) {
  Replica replica(heldWith(entriesUpTo(30, 1)));
  deliver(replica, 3, snapshotOf(entriesUpTo(20, 1)));
  replica.sync();
  replica.restart();
  cr_expect_eq(replica.log->logEnd(), 30u);
  cr_expect_eq(replica.log->commit(), 20u);
}

Test(snapshot_install, a_voter_whose_snapshot_is_not_yet_synced_votes_for_no_older_log) {
  Replica replica(heldWith(withConflictingTail(10, 15)));
  deliver(replica, 3, snapshotOf(entriesUpTo(20, 3)));
  replica.now += 10s;
  replica.handle("c:1", VoteRequest{"accord", 9, "c", false, 1, 1});
  cr_expect_not(replica.votedFor("c"), "ten entries that were counted on this disk are unknown to the candidate");
}

Test(snapshot_install, a_snapshot_is_acknowledged_only_once_it_is_synced) {
  Replica replica(heldWith(withConflictingTail(10, 15)));
  deliver(replica, 3, snapshotOf(entriesUpTo(20, 3)));
  for (const auto& response : replica.sentOf<AppendResponse>()) cr_expect_lt(response.index, 20u);
  cr_expect_not(replica.log->hasSynced(20, 3));
  replica.sync();
  auto responses = replica.sentOf<AppendResponse>();
  cr_assert_not(responses.empty());
  cr_expect_eq(responses.back().index, 20u);
}

namespace {
/// A leader whose own disk is behind what the two others have synced, past a snapshot of its own.
Replica leaderWithSlowDisk() {
  Replica replica(heldWith({membersEntry()}), three[0], 8192);
  replica.lead();
  replica.sync();
  for (int number = 0; number < 12; ++number) {
    replica.renew();
    replica.change(400);
  }
  for (const char* other : {"b", "c"}) replica.acknowledge(other, replica.log->logEnd());
  cr_assert_eq(replica.log->commit(), replica.log->logEnd());
  cr_assert_lt(replica.log->lastSyncedIndex(), replica.log->commit());
  cr_assert_eq(replica.journal.counts().count("capture"), 1u, "the leader has trimmed its log");
  return replica;
}
}  // namespace

Test(snapshot_trim, a_leader_that_trimmed_past_its_own_disk_votes_for_no_older_log) {
  Replica replica = leaderWithSlowDisk();
  replica.now += 10s;
  replica.handle("c:1", VoteRequest{"accord", 9, "c", false, 1, 1});
  cr_expect_not(replica.votedFor("c"));
}

Test(snapshot_trim, a_trimmed_log_counts_as_synced_once_its_snapshot_is) {
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

struct Way {
  std::uint64_t pieces{0}, payload{0}, mostUnderWay{0};
  bool arrived{false};
};

/// Sends one snapshot over a way that loses, repeats and reorders, to a follower that at times forgets what it had.
Way sendOver(std::uint64_t seed, int lossPerCent, int forgetPerMille) {
  std::mt19937_64 randomSource(seed);
  TimePoint now{std::chrono::hours(1)};
  Snapshot snapshot = largeSnapshot(700000, seed);
  SnapshotSender sender(imageOf(snapshot));
  SnapshotReceiver receiver;
  std::multimap<TimePoint, InstallSnapshot> there;
  std::multimap<TimePoint, InstallSnapshotResponse> back;
  Way way;
  auto drawn = [&](int share) { return static_cast<int>(randomSource() % 100) < share; };
  auto arrival = [&] { return now + std::chrono::milliseconds(1 + randomSource() % 60); };
  for (TimePoint end = now + 600s; now < end && !way.arrived; now += 5ms) {
    if (auto piece = sender.due(now)) {
      way.pieces += !piece->bytes.empty();
      way.payload += piece->bytes.size();
      for (int copies = drawn(lossPerCent) ? 0 : drawn(10) ? 2 : 1; copies > 0; --copies)
        there.emplace(arrival(), *piece);
    }
    while (!there.empty() && there.begin()->first <= now) {
      InstallSnapshot piece = there.begin()->second;
      there.erase(there.begin());
      if (static_cast<int>(randomSource() % 1000) < forgetPerMille) receiver = SnapshotReceiver();
      Uint64 held = receiver.handle(piece, 1 << 22);
      way.mostUnderWay = std::max<std::uint64_t>(way.mostUnderWay, piece.bytes.size());
      if (auto whole = receiver.finished()) {
        cr_assert_eq(whole->configuration, snapshot.configuration);
        cr_assert_eq(whole->index, snapshot.index);
        way.arrived = true;
      }
      InstallSnapshotResponse response;
      response.digest = piece.digest;
      response.offset = held;
      response.attempt = piece.attempt;
      if (!drawn(lossPerCent)) back.emplace(arrival(), response);
    }
    while (!back.empty() && back.begin()->first <= now) {
      sender.handle(back.begin()->second, now);
      back.erase(back.begin());
    }
  }
  return way;
}

}  // namespace

Test(snapshot_pieces, arrive_whole_over_a_way_that_loses_repeats_and_reorders) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Way way = sendOver(seed, 25, 5);
    cr_assert(way.arrived, "seed %d", static_cast<int>(seed));
    cr_assert_leq(way.mostUnderWay, SnapshotSender::pieceBytes);
  }
}

Test(snapshot_pieces, on_a_sound_way_each_byte_is_sent_once) {
  Snapshot snapshot = largeSnapshot(700000);
  SnapshotSender sender(imageOf(snapshot));
  SnapshotReceiver receiver;
  TimePoint now{std::chrono::hours(1)};
  std::size_t payload = 0;
  std::optional<Snapshot> whole;
  while (auto piece = sender.due(now)) {
    payload += piece->bytes.size();
    cr_assert_not(sender.due(now).has_value(), "one piece is under way at a time");
    InstallSnapshotResponse response;
    response.digest = piece->digest;
    response.attempt = piece->attempt;
    response.offset = receiver.handle(*piece, 1 << 22);
    whole = receiver.finished();
    sender.handle(response, now += 30ms);
  }
  cr_assert(whole.has_value());
  cr_expect_eq(payload, sender.image().bytes.size());
}

Test(snapshot_pieces, a_piece_that_is_long_on_its_way_is_asked_after_and_not_sent_again) {
  SnapshotSender sender(imageOf(largeSnapshot(700000)));
  TimePoint now{std::chrono::hours(1)};
  std::size_t payload = sender.due(now)->bytes.size(), questions = 0;
  for (int step = 0; step < 10000; ++step) {
    now += 1ms;
    if (auto message = sender.due(now)) {
      payload += message->bytes.size();
      ++questions;
    }
  }
  cr_expect_eq(payload, SnapshotSender::pieceBytes);
  cr_expect_leq(questions, 7u, "the pauses grow");
}

Test(snapshot_pieces, another_leader_with_the_same_snapshot_goes_on_where_the_first_stopped) {
  auto image = imageOf(largeSnapshot(700000));
  SnapshotReceiver receiver;
  TimePoint now{std::chrono::hours(1)};
  auto pass = [&](SnapshotSender& sender) {
    auto piece = sender.due(now);
    InstallSnapshotResponse response;
    response.digest = piece->digest;
    response.attempt = piece->attempt;
    response.offset = receiver.handle(*piece, 1 << 22);
    sender.handle(response, now);
  };
  SnapshotSender first(image);
  for (int pieces = 0; pieces < 4; ++pieces) pass(first);
  SnapshotSender second(imageOf(largeSnapshot(700000)));
  pass(second);
  cr_expect_eq(second.acknowledged(), 4 * SnapshotSender::pieceBytes);
  SnapshotSender other(imageOf(largeSnapshot(700000, 2)));
  pass(other);
  cr_expect_eq(other.acknowledged(), SnapshotSender::pieceBytes, "another snapshot begins from its start");
}

Test(snapshot_pieces, one_that_is_bent_or_too_large_is_not_taken) {
  auto image = imageOf(largeSnapshot(200000));
  SnapshotSender sender(image);
  SnapshotReceiver receiver;
  TimePoint now{std::chrono::hours(1)};
  auto piece = sender.due(now);
  cr_expect_eq(receiver.handle(*piece, 100000), 0u);
  cr_expect_eq(receiver.heldBytes(), 0u);
  piece->bytes[77] ^= 1;
  cr_expect_eq(receiver.handle(*piece, 1 << 22), SnapshotSender::pieceBytes);
  InstallSnapshot rest = *piece;
  rest.offset = SnapshotSender::pieceBytes;
  rest.bytes = image->bytes.substr(SnapshotSender::pieceBytes);
  receiver.handle(rest, 1 << 22);
  cr_expect_not(receiver.finished().has_value(), "its digest does not fit");
  cr_expect_eq(receiver.heldBytes(), 0u);
}

Test(append_window, entries_under_way_are_not_sent_again_while_the_disk_is_slow) {
  Replica leader(heldWith({membersEntry()}));
  leader.lead();
  leader.sync();
  for (const char* other : {"b", "c"}) leader.acknowledge(other, leader.log->logEnd());
  leader.renew();
  leader.change(400);
  leader.sync();
  leader.sent.clear();
  for (int step = 0; step < 100; ++step) {
    leader.renew();
    leader.tick(20ms);
    for (const auto& request : leader.sentOf<AppendRequest>()) {
      cr_assert(request.entries.empty(), "a slow disk is sent what it has");
      for (const char* other : {"b", "c"})
        leader.handle(std::string(other) + ":1",
                      AppendResponse{leader.log->election.term(), other, true, request.prevIndex, leader.log->logEnd(),
                                     request.round});
    }
    leader.sent.clear();
  }
}

Test(append_window, entries_that_were_lost_are_sent_again) {
  Replica leader(heldWith({membersEntry()}));
  leader.lead();
  leader.sync();
  for (const char* other : {"b", "c"}) leader.acknowledge(other, leader.log->logEnd());
  leader.change(400);
  leader.sent.clear();
  leader.tick(200ms);
  auto questions = leader.sentOf<AppendRequest>();
  cr_assert_not(questions.empty());
  leader.sent.clear();
  leader.handle("b:1", AppendResponse{leader.log->election.term(), "b", true, questions[0].prevIndex,
                                      questions[0].prevIndex, questions[0].round});
  auto again = leader.sentOf<AppendRequest>();
  cr_assert_eq(again.size(), 1u);
  cr_expect_eq(again[0].entries.size(), 1u);
}

Test(append_window, a_repeated_entry_is_written_once) {
  Replica follower(heldWith({membersEntry()}));
  AppendRequest request{3, "b", 1, 1, 1, {changeEntry(2, 3), changeEntry(3, 3)}, 1};
  for (int copy = 0; copy < 20; ++copy) follower.handle("b:1", request);
  std::size_t entries = 0;
  for (const auto& save : follower.waiting) entries += save.record.kind == RecordKind::entry;
  cr_expect_eq(entries, 2u);
}

Test(append_window, entries_synced_together_are_acknowledged_once) {
  Replica follower(heldWith({membersEntry()}));
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

/// What a ring holds after thousands of changes with the longest ids, and a configuration near the most that is taken.
RecoveredState heldAtTheBounds(std::size_t room) {
  std::vector<LogEntry> entries{membersEntry()};
  for (std::uint64_t index = 2; index <= 4200; ++index) {
    auto entry = changeEntry(index, 1, index % 8 == 0 ? room / 640 : 4);
    entry.body = weightsBody(index % 512, index % 8 == 0 ? room / 640 : 4);
    entry.changeId = std::to_string(index) + std::string(128 - std::to_string(index).size(), 'i');
    entries.push_back(entry);
  }
  return heldWith({}, snapshotOf(entries));
}

/// Gives a replica large changes until it takes no more, then lets its disk write all at once, again and again.
void fillToTheBounds(std::size_t fileBytes, bool agreed) {
  std::size_t room = fileBytes / 4;
  MemoryFiles files(fileBytes);
  auto ring = std::move(Ring::open(files).value());
  Replica replica(heldAtTheBounds(room), three[0], room);
  cr_assert(bool(ring->append(replica.disk.records())));
  replica.lead();
  replica.changes = 100000;
  int refused = 0;
  for (int round = 0; round < 60; ++round) {
    replica.renew();
    std::size_t bytes = room / 3 - static_cast<std::size_t>(round % 7) * room / 24;
    ChangeRequest request;
    request.requestId = request.changeId = "large " + std::to_string(round);
    request.body = weightsBody(7, bytes);
    request.ifRevision = -1;
    replica.with([&](Effects& effects) { replica.log->proposeChange(effects, "operator", request); });
    auto answers = replica.sentOf<ChangeResponse>();
    refused += !answers.empty() && answers.back().code == static_cast<int>(Code::changesFull);
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
    if (agreed)
      for (const char* other : {"b", "c"}) replica.acknowledge(other, replica.log->logEnd());
  }
  cr_expect_gt(refused, 0, "the bound was never reached");
}

}  // namespace

Test(checkpoint_fits, large_changes_that_nobody_agrees_to_are_refused_before_they_outgrow_a_file) {
  fillToTheBounds(4u << 20, false);
  fillToTheBounds(3u << 20, false);
}

Test(checkpoint_fits, large_changes_that_are_agreed_leave_room_for_each_checkpoint) {
  fillToTheBounds(4u << 20, true);
  fillToTheBounds(3u << 20, true);
}
