#include "replicated_log.hpp"

#include "members.hpp"

#include <algorithm>

namespace tt {
namespace {
/// Limits of one append request; a single larger entry is sent alone.
constexpr std::size_t maxEntriesPerMessage = 128;
constexpr std::size_t maxBytesPerMessage = 512 * 1024;
/// How often a follower is sent an append request without new entries.
constexpr Duration appendRetryInterval = 150ms;
}  // namespace

ReplicatedLog::ReplicatedLog(Member self, std::size_t maxRecordBytes, Defences initialDefences)
    : election("accord", self.id, 0ms, initialDefences),
      selfMember(std::move(self)),
      capacityBytes(maxRecordBytes),
      defences(initialDefences) {
  election.logEnd = [this] {
    std::uint64_t end = std::max(syncedIndex, lastSnapshot.index);
    return std::make_pair(termAt(end), end);
  };
  election.onHolderChanged = [this](Effects& effects, bool won) { onLeadershipChanged(effects, won); };
}

void ReplicatedLog::restore(const RecoveredState& recovered, TimePoint now) {
  if (recovered.snapshot) {
    lastSnapshot = *recovered.snapshot;
    (void)applied.installSnapshot(lastSnapshot);
    commitIndex = lastSnapshot.index;
  }
  log = recovered.entries;
  for (const auto& entry : log) logBytes += entry.body.size();
  syncedIndex = logEnd();
  auto vote = recovered.votes.find("accord");
  election.restore(vote == recovered.votes.end() ? Vote{} : vote->second, now);
  reloadMembers(nullptr);
}

std::uint64_t ReplicatedLog::logEnd() const { return log.empty() ? lastSnapshot.index : log.back().index; }

const LogEntry* ReplicatedLog::entryAt(std::uint64_t index) const {
  if (log.empty() || index < log.front().index || index > log.back().index) return nullptr;
  return &log[index - log.front().index];
}

std::uint64_t ReplicatedLog::termAt(std::uint64_t index) const {
  if (index == lastSnapshot.index) return lastSnapshot.term;
  auto* entry = entryAt(index);
  return entry ? entry->term : 0;
}

bool ReplicatedLog::hasSynced(std::uint64_t index, std::uint64_t term) const {
  return index <= syncedIndex && (lastSnapshot.index >= index || termAt(index) == term);
}

std::string ReplicatedLog::leaderAddress() const {
  for (const auto& member : currentMembers)
    if (member.id == election.holder()) return member.address;
  return {};
}

bool ReplicatedLog::hasCommittedInTerm() const { return election.won() && termAt(commitIndex) == election.term(); }

void ReplicatedLog::storeEntry(Effects& effects, const LogEntry& entry) {
  log.push_back(entry);
  logBytes += entry.body.size();
  std::uint64_t index = entry.index, term = entry.term;
  if (!defences.isEnabled(Defence::syncBeforeCount)) syncedIndex = index;
  effects.save(entryRecord(entry), [this, index, term](Effects& later) {
    if (termAt(index) != term || index < syncedIndex ||
        (index == syncedIndex && defences.isEnabled(Defence::syncBeforeCount)))
      return;
    syncedIndex = index;
    if (election.won())
      advanceCommit(later);
    else
      reportSynced(later);
  });
  if (entry.kind == static_cast<int>(EntryKind::members)) reloadMembers(&effects);
}

void ReplicatedLog::reportSynced(Effects& effects) {
  if (leaving || appendSender.empty() || verifiedTerm != election.term() || verifiedEnd == 0) return;
  /// Entries that were synced together are acknowledged by one response: it replaces one that is still in this batch.
  if (!effects.sends.empty() && effects.sends.back().first == appendSender)
    if (auto* last = std::get_if<AppendResponse>(&effects.sends.back().second); last && last->matched)
      effects.sends.pop_back();
  sendAppendResponse(effects, appendSender, std::min(syncedIndex, verifiedEnd));
}

void ReplicatedLog::sendAppendResponse(Effects& effects, const std::string& to, std::uint64_t index) {
  effects.send(to, AppendResponse{election.term(), selfMember.id, true, index, verifiedEnd, lastAppendRound});
}

void ReplicatedLog::append(Effects& effects, EntryKind kind, std::string body, std::string changeId,
                           std::uint64_t revision) {
  LogEntry entry{logEnd() + 1, election.term(), static_cast<int>(kind), std::move(body), std::move(changeId), revision};
  head.apply(entry);
  storeEntry(effects, entry);
}

void ReplicatedLog::form(Effects& effects, const std::vector<Member>& firstMembers) {
  if (formed()) return;
  storeEntry(effects, LogEntry{1, 0, static_cast<int>(EntryKind::members), encodeMembers(firstMembers), {}});
  effects.note("formed", selfMember.id, static_cast<std::int64_t>(firstMembers.size()));
}

void ReplicatedLog::onLeadershipChanged(Effects& effects, bool won) {
  followers.clear();
  if (!won) {
    for (const auto& pendingResponse : pendingResponses)
      effects.send(pendingResponse.from,
                   ChangeResponse{pendingResponse.response.requestId, static_cast<int>(Code::changeUnsure), "accord",
                                  codeText(Code::changeUnsure), 0, 0, 0});
    pendingResponses.clear();
    return;
  }
  head = applied;
  for (const auto& entry : log) head.apply(entry);
  for (const auto& member : replicas()) {
    followers[member.id].next = logEnd() + 1;
    lastContactAt[member.id] = effects.now;
    learnerSince[member.id] = effects.now;
  }
  append(effects, EntryKind::empty, {}, {});
  sendToAll(effects);
}

void ReplicatedLog::sendAppend(Effects& effects, const Member& member, bool isRetry) {
  auto& follower = followers[member.id];
  if (follower.next == 0) follower.next = logEnd() + 1;
  if (follower.pending && !isRetry) return;
  if (sendSnapshot(effects, member, follower)) return;
  follower.sentAt = effects.now;
  AppendRequest message{election.term(), selfMember.id, follower.next - 1, termAt(follower.next - 1), commitIndex, {},
                        ++follower.round};
  std::size_t bytes = 0;
  /// Unacknowledged entries are not sent again; the request then only checks the connection and what was received.
  std::uint64_t last = follower.pending ? 0 : logEnd();
  for (std::uint64_t index = follower.next; index <= last && message.entries.size() < maxEntriesPerMessage; ++index) {
    const auto* entry = entryAt(index);
    bytes += entry->body.size();
    if (!message.entries.empty() && bytes > maxBytesPerMessage) break;
    message.entries.push_back(*entry);
  }
  if (!message.entries.empty()) {
    follower.pending = true;
    follower.sentEnd = message.entries.back().index;
  }
  follower.sentCommit = commitIndex;
  effects.send(member.address, std::move(message));
}

void ReplicatedLog::sendToAll(Effects& effects) {
  if (!election.won()) return;
  for (const auto& member : replicas())
    if (member.id != selfMember.id) sendAppend(effects, member, false);
}

std::uint64_t ReplicatedLog::quorumIndex(const std::vector<Member>& voters) const {
  std::vector<std::uint64_t> ends;
  for (const auto& member : voters) {
    if (!member.votes) continue;
    auto follower = followers.find(member.id);
    ends.push_back(member.id == selfMember.id    ? syncedIndex
                   : follower == followers.end() ? 0
                                                 : follower->second.matched);
  }
  std::size_t quorum = ends.size() / 2 + 1;
  if (!defences.isEnabled(Defence::commitByThree)) quorum = std::min<std::size_t>(quorum, 2);
  if (ends.size() < quorum) return 0;
  std::sort(ends.rbegin(), ends.rend());
  return ends[quorum - 1];
}

void ReplicatedLog::advanceCommit(Effects& effects) {
  std::uint64_t committable = quorumIndex(currentMembers);
  if (!previousMembers.empty()) committable = std::min(committable, quorumIndex(previousMembers));
  /// Only an entry of the leader's own term proves that all earlier entries stay committed (Raft, section 5.4.2).
  if (committable <= commitIndex || termAt(committable) != election.term()) return;
  applyUpTo(effects, committable);
  if (membershipChangePending() || !finalizeMembership(effects)) sendToAll(effects);
}

void ReplicatedLog::applyUpTo(Effects& effects, std::uint64_t index) {
  index = std::min(index, logEnd());
  while (commitIndex < index) {
    const auto* found = entryAt(commitIndex + 1);
    if (!found) break;
    LogEntry entry = *found;
    ++commitIndex;
    applied.apply(entry);
    if (entry.kind == static_cast<int>(EntryKind::members)) reloadMembers(&effects);
    if (onEntryApplied) onEntryApplied(effects, entry);
  }
  auto waiting = std::move(pendingResponses);
  pendingResponses.clear();
  for (auto& pendingResponse : waiting)
    respondOnceCommitted(effects, pendingResponse.from, std::move(pendingResponse.response), pendingResponse.index);
  compactLog(effects);
}

NewsMsg ReplicatedLog::updateAfter(std::uint64_t index, std::size_t maxEntries) const {
  NewsMsg update;
  update.commit = commitIndex;
  if (index < lastSnapshot.index) {
    update.snapshots.push_back(lastSnapshot);
    index = lastSnapshot.index;
  }
  for (std::uint64_t next = index + 1; next <= commitIndex && update.entries.size() < maxEntries; ++next)
    if (auto* entry = entryAt(next)) update.entries.push_back(*entry);
  return update;
}

void ReplicatedLog::onAppend(Effects& effects, const std::string& from, const AppendRequest& message) {
  if (message.term < election.term()) {
    effects.send(from, AppendResponse{election.term(), selfMember.id, false, syncedIndex});
    return;
  }
  election.observeTerm(effects, message.term);
  if (election.won()) return;
  leaderContactAt = effects.now;
  lastAppendRound = message.round;
  if (message.prevIndex > logEnd() ||
      (message.prevIndex >= lastSnapshot.index && termAt(message.prevIndex) != message.prevTerm)) {
    /// The index after which the leader should send: this log's end or, if the log conflicts, its commit index.
    std::uint64_t hint = message.prevIndex > logEnd() ? logEnd() : commitIndex;
    effects.send(from, AppendResponse{election.term(), selfMember.id, false, hint});
    return;
  }
  if (message.commit > commitIndex) applyUpTo(effects, std::min(message.commit, message.prevIndex));
  std::uint64_t last = message.prevIndex;
  for (const auto& entry : message.entries) {
    last = entry.index;
    if (entry.index <= lastSnapshot.index) continue;
    if (auto* own = entryAt(entry.index)) {
      if (own->term == entry.term) continue;
      if (entry.index <= commitIndex) return;
      while (!log.empty() && log.back().index >= entry.index) {
        logBytes -= std::min(logBytes, log.back().body.size());
        log.pop_back();
      }
      syncedIndex = std::min(syncedIndex, logEnd());
      effects.save(truncationRecord(entry.index));
      reloadMembers(&effects);
    }
    if (entry.index != logEnd() + 1) return;
    storeEntry(effects, entry);
  }
  std::uint64_t matchedEnd = std::min(last, logEnd());
  verifiedEnd = verifiedTerm == message.term ? std::max(verifiedEnd, matchedEnd) : matchedEnd;
  verifiedTerm = message.term;
  if (message.commit > commitIndex) applyUpTo(effects, std::min(message.commit, matchedEnd));
  appendSender = from;
  if (leaving) return;
  if (matchedEnd <= syncedIndex || message.entries.empty())
    sendAppendResponse(effects, from, std::min(syncedIndex, verifiedEnd));
}

void ReplicatedLog::onAppendResponse(Effects& effects, const AppendResponse& reply) {
  if (reply.term > election.term()) {
    election.observeTerm(effects, reply.term);
    return;
  }
  if (!election.won() || reply.term != election.term()) return;
  lastContactAt[reply.voter] = effects.now;
  auto& follower = followers[reply.voter];
  if (reply.matched) {
    follower.matched = std::max(follower.matched, reply.index);
    follower.next = std::max(follower.next, follower.matched + 1);
    /// A response to the last request that has not received all entries shows that earlier requests were lost.
    bool lost = reply.round == follower.round && reply.received < follower.sentEnd;
    if (lost) follower.next = std::max(follower.next, reply.received + 1);
    if (lost || follower.matched >= follower.sentEnd) follower.pending = false;
    if (follower.next > logEnd() + 1) follower.next = logEnd() + 1;
    if (follower.transfer && follower.matched >= follower.transfer->image().index) follower.transfer.reset();
  } else {
    follower.pending = false;
    follower.next = std::max<std::uint64_t>(1, std::min(follower.next - 1, reply.index + 1));
  }
  advanceCommit(effects);
  auto rows = replicas();
  auto from = std::find_if(rows.begin(), rows.end(), [&](const Member& row) { return row.id == reply.voter; });
  if (from == rows.end()) return;
  if (follower.next <= logEnd() || follower.sentCommit < commitIndex) sendAppend(effects, *from, false);
  if (!from->votes) repairMembership(effects);
}

void ReplicatedLog::excludeOwnPause(TimePoint now) {
  Duration pause = lastActiveAt == TimePoint{} ? Duration(0) : now - lastActiveAt;
  lastActiveAt = now;
  if (pause <= timing.suspectTimeout) return;
  for (auto& [id, contactAt] : lastContactAt) contactAt += pause;
}

void ReplicatedLog::tick(Effects& effects) {
  excludeOwnPause(effects.now);
  election.tick(effects);
  if (!election.won()) return;
  for (const auto& member : replicas()) {
    if (member.id == selfMember.id) continue;
    auto& follower = followers[member.id];
    if (follower.transfer || effects.now - follower.sentAt >= appendRetryInterval) sendAppend(effects, member, true);
  }
  advanceCommit(effects);
  repairMembership(effects);
  removeSilentVoter(effects);
}

void ReplicatedLog::leave(Effects& effects) {
  leaving = true;
  std::string successor;
  std::uint64_t highestMatched = 0;
  for (const auto& member : currentMembers) {
    if (!member.votes || member.id == selfMember.id || !contactedWithin(member, timing.suspectTimeout, effects.now))
      continue;
    if (std::uint64_t matched = followers[member.id].matched; matched > highestMatched) {
      highestMatched = matched;
      successor = member.id;
    }
  }
  election.resign(effects, successor);
}

void ReplicatedLog::handle(Effects& effects, const std::string& from, const Message& message) {
  excludeOwnPause(effects.now);
  if (auto* acknowledgement = std::get_if<HeartbeatResponse>(&message);
      acknowledgement && acknowledgement->granted && acknowledgement->term == election.term())
    lastContactAt[acknowledgement->voter] = effects.now;
  if (auto* append = std::get_if<AppendRequest>(&message))
    onAppend(effects, from, *append);
  else if (auto* reply = std::get_if<AppendResponse>(&message))
    onAppendResponse(effects, *reply);
  else if (auto* snapshot = std::get_if<InstallSnapshot>(&message))
    onInstallSnapshot(effects, from, *snapshot);
  else if (auto* response = std::get_if<InstallSnapshotResponse>(&message))
    onSnapshotResponse(effects, *response);
  else if (auto* join = std::get_if<JoinRequest>(&message))
    onJoinRequest(effects, *join);
  else
    election.handle(effects, from, message);
}

}  // namespace tt
