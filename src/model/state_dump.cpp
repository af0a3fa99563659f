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
  for (const auto& member : decodeMembers(entry.body)) groups.back().push_back(rowOf(member.id, {member.votes}));
}

StateBytes StateDump::bytes(const ReplicatedLog& log) {
  StateBytes out;
  const auto& election = log.election;
  out.number(election.vote.term);
  out.word(election.vote.votedFor);
  out.word(election.knownHolder);
  out.word(election.stateMachine.state());
  out.number(election.started + 2 * election.mayCampaign);
  out.number(static_cast<std::uint64_t>(election.lastSyncDuration.count()));
  out.groups.emplace_back();
  for (const auto& voter : election.voters) out.groups.back().push_back(rowOf(voter.id, {}));
  out.groups.emplace_back();
  for (const auto& grant : election.grants) out.groups.back().push_back(rowOf(grant, {}));
  out.number(log.lastSnapshot.index);
  out.number(log.lastSnapshot.term);
  for (const auto& entry : log.log) out.entry(entry);
  out.groups.emplace_back();
  for (const auto& member : log.currentMembers) out.groups.back().push_back(rowOf(member.id, {member.votes}));
  out.number(log.commitIndex);
  out.number(log.syncedIndex);
  out.number(log.verifiedTerm);
  out.number(log.verifiedEnd);
  out.number(log.lastAppendRound);
  out.number(log.leaving);
  out.word(log.appendSender);
  out.groups.emplace_back();
  for (const auto& member : log.previousMembers) out.groups.back().push_back(rowOf(member.id, {member.votes}));
  out.groups.emplace_back();
  for (const auto& voters : election.voterSets)
    for (const auto& voter : voters) out.groups.back().push_back(rowOf(voter, {voters.size()}));
  if (!election.won()) return out;
  out.number(log.head.index());
  out.number(log.head.revision());
  out.groups.emplace_back();
  for (const auto& [id, follower] : log.followers)
    out.groups.back().push_back(rowOf(id, {follower.next, follower.matched, follower.sentCommit, follower.pending,
                                           follower.sentEnd, follower.round, follower.transfer.has_value()}));
  for (const auto& waiter : log.pendingResponses) {
    out.word(waiter.response.requestId);
    out.number(static_cast<std::uint64_t>(waiter.response.code));
    out.number(waiter.index);
  }
  return out;
}

std::vector<StateDump::Mark> StateDump::marks(const ReplicatedLog& log) {
  const auto& election = log.election;
  Duration timeLimit = std::max<Duration>(timing.memberRemovalTimeout, longestSilence);
  std::vector<Mark> rows{{election.voteBlockedUntil, Duration(0), {}},
                         {election.campaignAt, Duration(0), {}},
                         {election.votesRequestedAt, timing.voteTimeout + election.syncAllowance(), {}},
                         {log.leaderContactAt, leaderSilence, {}}};
  if (!election.won()) return rows;
  rows.push_back({log.lastActiveAt, timeLimit, {}});
  for (const auto& [id, at] : log.learnerSince) rows.push_back({at, timeLimit, id});
  rows.push_back({election.lastHeartbeatAt, timing.heartbeatInterval, {}});
  for (const auto& [id, at] : election.renewals) rows.push_back({at, timing.lease, id});
  for (const auto& [id, at] : log.lastContactAt) rows.push_back({at, timeLimit, id});
  for (const auto& [id, follower] : log.followers) rows.push_back({follower.sentAt, sendAgain, id});
  return rows;
}

}  // namespace tt
