#include "state_dump.hpp"

#include "members.hpp"

namespace tt {
namespace {
/// At least as long as the silences that the membership and the sending of entries look at.
constexpr Duration longestSilence = 10s;
constexpr Duration leaderSilence = 3s;
constexpr Duration sendAgain = 150ms;

std::string rowOf(const std::string& id, std::initializer_list<std::uint64_t> numbers) {
  StateBytes row;
  row.word(id);
  for (std::uint64_t number : numbers) row.number(number);
  return std::move(row.text);
}
}  // namespace

void StateBytes::number(std::uint64_t value) { text.append(reinterpret_cast<const char*>(&value), sizeof value); }

void StateBytes::word(const std::string& value) {
  number(value.size());
  text += value;
}

void StateBytes::entry(const LogEntry& entry) {
  number(entry.index);
  number(entry.term);
  number(static_cast<std::uint64_t>(entry.kind));
  word(entry.changeId);
  number(entry.revision);
  if (entry.kind != static_cast<int>(EntryKind::members)) return word(entry.body);
  groups.emplace_back();
  for (const auto& member : unpackMembers(entry.body)) groups.back().push_back(rowOf(member.id, {member.votes}));
}

StateBytes StateDump::bytes(const ReplicatedLog& log) {
  StateBytes out;
  const auto& election = log.election;
  out.number(election.vote.term);
  out.word(election.vote.votedFor);
  out.word(election.knownHolder);
  out.word(election.walk.state());
  out.number(election.started + 2 * election.mayStand);
  out.number(static_cast<std::uint64_t>(election.syncSpan.count()));
  out.groups.emplace_back();
  for (const auto& voter : election.voters) out.groups.back().push_back(rowOf(voter.id, {}));
  out.groups.emplace_back();
  for (const auto& grant : election.grants) out.groups.back().push_back(rowOf(grant, {}));
  out.number(log.base.index);
  out.number(log.base.term);
  for (const auto& entry : log.log) out.entry(entry);
  out.groups.emplace_back();
  for (const auto& member : log.memberRows) out.groups.back().push_back(rowOf(member.id, {member.votes}));
  out.number(log.commitIndex);
  out.number(log.syncedIndex);
  out.number(log.verifiedTerm);
  out.number(log.verifiedEnd);
  out.number(log.heardRound);
  out.number(log.leaving);
  out.word(log.appendedFrom);
  out.groups.emplace_back();
  for (const auto& member : log.outgoingRows) out.groups.back().push_back(rowOf(member.id, {member.votes}));
  out.groups.emplace_back();
  for (const auto& voters : election.voterSets)
    for (const auto& voter : voters) out.groups.back().push_back(rowOf(voter, {voters.size()}));
  if (!election.won()) return out;
  out.number(log.head.index());
  out.number(log.head.revision());
  out.groups.emplace_back();
  for (const auto& [id, follower] : log.followers)
    out.groups.back().push_back(rowOf(id, {follower.next, follower.matched, follower.toldCommit, follower.pending,
                                           follower.sentEnd, follower.round, follower.transfer.has_value()}));
  for (const auto& waiter : log.waiters) {
    out.word(waiter.response.requestId);
    out.number(static_cast<std::uint64_t>(waiter.response.code));
    out.number(waiter.index);
  }
  return out;
}

std::vector<StateDump::Mark> StateDump::marks(const ReplicatedLog& log) {
  const auto& election = log.election;
  Duration longest = std::max<Duration>(timing.memberGone, longestSilence);
  std::vector<Mark> rows{{election.promisedUntil, Duration(0), {}},
                         {election.standAt, Duration(0), {}},
                         {election.askedAt, timing.voteWait + election.slowness(), {}},
                         {log.leaderHeard, leaderSilence, {}}};
  if (!election.won()) return rows;
  rows.push_back({log.awakeAt, longest, {}});
  for (const auto& [id, at] : log.learnsSince) rows.push_back({at, longest, id});
  rows.push_back({election.heldAt, timing.holdEvery, {}});
  for (const auto& [id, at] : election.renewals) rows.push_back({at, timing.lease, id});
  for (const auto& [id, at] : log.heardFrom) rows.push_back({at, longest, id});
  for (const auto& [id, follower] : log.followers) rows.push_back({follower.sentAt, sendAgain, id});
  return rows;
}

}  // namespace tt
