#include <criterion/criterion.h>

#include <algorithm>

#include "members.hpp"
#include "replicated_log.hpp"

using namespace tt;

namespace {

const std::vector<Member> three{
    {"a", "a", "a:1", "north", true}, {"b", "b", "b:1", "north", true}, {"c", "c", "c:1", "north", true}};

Entry membersEntry() { return Entry{1, 1, static_cast<int>(EntryKind::members), packMembers(three), {}, 0}; }
std::string weightsBody(std::uint64_t number, std::size_t bytes = 4) {
  return R"({"weights":{"w)" + std::to_string(number) + R"(":{"model":")" + std::string(bytes, 'm') + R"("}}})";
}
Entry changeEntry(std::uint64_t index, std::uint64_t term, std::size_t bytes = 4) {
  return Entry{
      index, term, static_cast<int>(EntryKind::change), weightsBody(index, bytes), "change " + std::to_string(index),
      0};
}
Snapshot snapshotOf(const std::vector<Entry>& entries) {
  Configuration configuration;
  for (const auto& entry : entries) configuration.apply(entry);
  return configuration.snapshot();
}
std::vector<Entry> entriesUpTo(std::uint64_t last, std::uint64_t term) {
  std::vector<Entry> entries{membersEntry()};
  for (std::uint64_t index = 2; index <= last; ++index) entries.push_back(changeEntry(index, term));
  return entries;
}

/// One replica by hand: what it sends is kept, and its disk syncs when told to.
struct Replica {
  Moment now{std::chrono::hours(5)};
  std::mt19937_64 randomSource{3};
  Journal journal;
  Recovered disk;
  std::unique_ptr<ReplicatedLog> log;
  std::vector<Effects::Save> waiting;
  std::vector<std::pair<std::string, Message>> sent;
  Member self;
  std::size_t room;

  explicit Replica(const Recovered& held = {}, const Member& member = three[0], std::size_t recordRoom = 1 << 20)
      : disk(held), self(member), room(recordRoom) {
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
  void take(const std::string& from, const Message& message) {
    with([&](Effects& effects) { log->take(effects, from, message); });
  }
  void tick(Span span) {
    now += span;
    with([&](Effects& effects) { log->tick(effects); });
  }
  void sync() {
    auto saves = std::move(waiting);
    waiting.clear();
    for (const auto& save : saves) cr_assert(disk.fold(save.record));
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
          take(address, VoteResponse{"accord", log->election.term(), other, true, true});
        sync();
        if (log->election.state() == "asking")
          take(address, VoteResponse{"accord", log->election.term(), other, false, true});
      }
    }
    cr_assert(log->election.won());
    renew();
  }
  void renew() {
    for (const char* other : {"b", "c"})
      take(std::string(other) + ":1", HeartbeatResponse{"accord", log->election.term(), other, inNs(now), true});
  }
  void change(std::size_t bytes = 4) {
    ChangeRequest request;
    request.body = weightsBody(++changes, bytes);
    request.changeId = "change " + std::to_string(changes);
    request.askId = request.changeId;
    request.ifRevision = -1;
    with([&](Effects& effects) { log->takeChange(effects, "operator", request); });
  }
  void acknowledge(const std::string& other, std::uint64_t index) {
    take(other + ":1", AppendResponse{log->election.term(), other, true, index});
  }
  std::uint64_t changes{0};
};

Recovered heldWith(std::vector<Entry> entries, std::optional<Snapshot> snapshot = std::nullopt) {
  Recovered held;
  held.identity = "a";
  held.entries = std::move(entries);
  held.snapshot = std::move(snapshot);
  return held;
}

std::vector<Entry> withConflictingTail(std::uint64_t agreed, std::uint64_t last) {
  auto entries = entriesUpTo(agreed, 1);
  for (std::uint64_t index = agreed + 1; index <= last; ++index) entries.push_back(changeEntry(index, 2));
  return entries;
}

void deliver(Replica& replica, std::uint64_t term, const Snapshot& snapshot) {
  replica.take("b:1", InstallSnapshot{term, "b", snapshot});
}

}  // namespace

Test(snapshot_install, a_stop_between_any_two_records_leaves_the_old_log_or_the_snapshot) {
  Replica replica(heldWith(withConflictingTail(10, 15)));
  deliver(replica, 3, snapshotOf(entriesUpTo(20, 3)));
  cr_assert_not(replica.waiting.empty());
  Recovered disk = replica.disk;
  for (std::size_t stop = 0; stop <= replica.waiting.size(); ++stop) {
    if (stop > 0) cr_assert(disk.fold(replica.waiting[stop - 1].record));
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
  cr_expect_eq(replica.log->syncedEnd(), 20u);
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
  replica.take("c:1", VoteRequest{"accord", 9, "c", false, 1, 1});
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
  cr_assert_lt(replica.log->syncedEnd(), replica.log->commit());
  cr_assert_eq(replica.journal.counts().count("capture"), 1u, "the leader has trimmed its log");
  return replica;
}
}  // namespace

Test(snapshot_trim, a_leader_that_trimmed_past_its_own_disk_votes_for_no_older_log) {
  Replica replica = leaderWithSlowDisk();
  replica.now += 10s;
  replica.take("c:1", VoteRequest{"accord", 9, "c", false, 1, 1});
  cr_expect_not(replica.votedFor("c"));
}

Test(snapshot_trim, a_trimmed_log_counts_as_synced_once_its_snapshot_is) {
  Replica replica = leaderWithSlowDisk();
  replica.sync();
  cr_expect_eq(replica.log->syncedEnd(), replica.log->commit());
}
