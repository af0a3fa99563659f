#include "election.hpp"

#include <algorithm>

namespace tt {
namespace {
/// Values of a heartbeat's send time with which a holder that gives up its duty releases the voters: when no successor
/// is named, for the named successor, and for the voters that must let the successor campaign first.
constexpr std::int64_t releasedToAll = -1, releasedToSuccessor = -2, releasedToOther = -3;
/// Bounds of the random delays, in milliseconds, that keep candidates from campaigning at the same time: at the start
/// and after a heartbeat or a vote; after a release; after a lost election.
constexpr std::uint64_t campaignJitterMs = 300, releaseJitterMs = 100, retryJitterMs = 400;
/// The minimum delay after a lost election, in milliseconds.
constexpr std::uint64_t minRetryDelayMs = 100;

Strings voterIds(const std::vector<Member>& members) {
  Strings ids;
  for (const auto& member : members)
    if (member.votes) ids.push_back(member.id);
  std::sort(ids.begin(), ids.end());
  return ids;
}
}  // namespace

void Timing::setMembershipTimeouts(Duration contact, Duration catchUp, std::size_t lossBudget) {
  memberRemovalTimeout = 2 * contact;
  minVoters = 2 * lossBudget + 1;
  sameNameReplaceTimeout = std::min(contact / 3, catchUp / 4);
  otherNameReplaceTimeout = catchUp / 3;
  suspectTimeout = sameNameReplaceTimeout / 2;
  joinInterval = catchUp / 16;
  learnerRemovalTimeout = 2 * contact;
}

const StateMachine<Election, Effects&>::Actions& Election::actions() {
  static const StateMachine<Election, Effects&>::Actions table{
      {"askProbe", &Election::askProbe}, {"voteSelf", &Election::voteSelf},   {"takeDuty", &Election::takeDuty},
      {"loseDuty", &Election::loseDuty}, {"adoptTerm", &Election::adoptTerm}, {"waitAgain", &Election::waitAgain}};
  return table;
}

Election::Election(std::string duty, std::string self, Duration initialCampaignDelay, Defences initialDefences)
    : dutyName(std::move(duty)),
      selfId(std::move(self)),
      campaignDelay(initialCampaignDelay),
      defences(initialDefences),
      stateMachine("election", actions(), "idle") {}

void Election::restore(const Vote& saved, TimePoint now) {
  vote = saved;
  voteBlockedUntil = now + timing.minElectionTimeout;
}

void Election::setVoters(const std::vector<Member>& members, const std::vector<Member>& outgoing) {
  voters.clear();
  addressById.clear();
  voterSets = {voterIds(members)};
  for (const auto& member : outgoing)
    if (member.votes) addressById[member.id] = member.address;
  for (const auto& member : members)
    if (member.votes) {
      voters.push_back(member);
      addressById[member.id] = member.address;
    }
  if (auto others = voterIds(outgoing); !others.empty() && others != voterSets.front()) voterSets.push_back(others);
}

void Election::broadcast(Effects& effects, const Message& message) {
  for (const auto& [id, address] : addressById)
    if (id != selfId) effects.send(address, message);
}

bool Election::elected() const {
  for (const auto& ids : voterSets) {
    auto granted = std::count_if(ids.begin(), ids.end(), [&](const std::string& id) { return grants.count(id) > 0; });
    if (static_cast<std::size_t>(granted) <= ids.size() / 2) return false;
  }
  return !voterSets.empty();
}

TimePoint Election::leaseStart(TimePoint now) const {
  TimePoint start = now;
  for (const auto& ids : voterSets) start = std::min(start, leaseStart(now, ids));
  return start;
}

TimePoint Election::leaseStart(TimePoint now, const Strings& voterIds) const {
  std::vector<TimePoint> starts;
  for (const auto& id : voterIds) {
    if (id == selfId) {
      starts.push_back(now);
    } else if (auto found = renewals.find(id); found != renewals.end()) {
      starts.push_back(found->second);
    }
  }
  std::size_t needed = voterIds.size() / 2 + 1;
  if (starts.size() < needed) return TimePoint{};
  std::sort(starts.rbegin(), starts.rend());
  return starts[needed - 1];
}

bool Election::holdsLease(TimePoint now) const {
  if (!won() || voters.empty()) return false;
  if (!defences.isEnabled(Defence::leaseLimits)) return true;
  TimePoint start = leaseStart(now);
  return start != TimePoint{} && now < start + timing.lease;
}

void Election::tick(Effects& effects) {
  if (!started) {
    started = true;
    campaignAt = effects.now + timing.minElectionTimeout + campaignDelay +
                 std::chrono::milliseconds(effects.randomBelow(campaignJitterMs));
  }
  if (stateMachine.isIn("holding")) {
    if (!voter() || !mayCampaign) {
      resign(effects);
    } else if (effects.now >= lastHeartbeatAt + timing.heartbeatInterval) {
      sendHeartbeats(effects);
    }
    return;
  }
  if (stateMachine.isIn("idle")) {
    if (effects.now >= campaignAt && effects.now >= voteBlockedUntil && voter() && mayCampaign)
      stateMachine.dispatch(*this, "vacant", effects);
  } else if (effects.now >=
             votesRequestedAt + timing.voteTimeout + (stateMachine.isIn("asking") ? syncAllowance() : Duration(0))) {
    stateMachine.dispatch(*this, "lapsed", effects);
  }
}

void Election::askProbe(Effects& effects) {
  votesRequestedAt = effects.now;
  grants = {selfId};
  auto end = logEnd ? logEnd() : std::make_pair<std::uint64_t, std::uint64_t>(0, 0);
  broadcast(effects, VoteRequest{dutyName, vote.term + 1, selfId, true, end.first, end.second});
  if (elected()) stateMachine.dispatch(*this, "granted", effects);
}

void Election::voteSelf(Effects& effects) {
  votesRequestedAt = effects.now;
  grants.clear();
  vote = Vote{vote.term + 1, selfId};
  std::uint64_t requestedTerm = vote.term;
  TimePoint savedAt = effects.now;
  votesRequestedAt = effects.now + timing.maxSyncAllowance;
  effects.save(voteRecord(dutyName, vote), [this, requestedTerm, savedAt](Effects& later) {
    lastSyncDuration = later.now - savedAt;
    if (!stateMachine.isIn("asking") || vote.term != requestedTerm) return;
    votesRequestedAt = later.now;
    grants.insert(selfId);
    auto end = logEnd ? logEnd() : std::make_pair<std::uint64_t, std::uint64_t>(0, 0);
    broadcast(later, VoteRequest{dutyName, vote.term, selfId, false, end.first, end.second});
    if (elected()) stateMachine.dispatch(*this, "granted", later);
  });
}

void Election::takeDuty(Effects& effects) {
  renewals.clear();
  knownHolder = selfId;
  effects.note("duty won", dutyName, static_cast<std::int64_t>(vote.term));
  sendHeartbeats(effects);
  if (onHolderChanged) onHolderChanged(effects, true);
}

void Election::loseDuty(Effects& effects) {
  if (knownHolder == selfId) knownHolder.clear();
  effects.note("duty lost", dutyName, static_cast<std::int64_t>(vote.term));
  if (onHolderChanged) onHolderChanged(effects, false);
}

void Election::adoptTerm(Effects& effects) {
  if (seenTerm <= vote.term) return;
  vote = Vote{seenTerm, {}};
  effects.save(voteRecord(dutyName, vote));
}

void Election::waitAgain(Effects& effects) {
  /// Random, so that candidates do not split the vote again; longer if syncing a vote takes longer.
  auto randomMs = retryJitterMs + 4 * static_cast<std::uint64_t>(toMilliseconds(syncAllowance()));
  campaignAt = effects.now + campaignDelay + std::chrono::milliseconds(minRetryDelayMs + effects.randomBelow(randomMs));
}

void Election::sendHeartbeats(Effects& effects) {
  lastHeartbeatAt = effects.now;
  broadcast(effects, Heartbeat{dutyName, vote.term, selfId, toNanoseconds(effects.now)});
}

void Election::resign(Effects& effects, const std::string& successor) {
  if (!won()) return;
  for (const auto& [id, address] : addressById) {
    if (id == selfId) continue;
    auto release = successor.empty() ? releasedToAll : id == successor ? releasedToSuccessor : releasedToOther;
    effects.send(address, Heartbeat{dutyName, vote.term, selfId, release});
  }
  stateMachine.dispatch(*this, "resigned", effects);
  campaignAt = effects.now + timing.minElectionTimeout;
}

void Election::observeTerm(Effects& effects, std::uint64_t term) {
  if (term <= vote.term) return;
  seenTerm = term;
  stateMachine.dispatch(*this, "higher", effects);
}

void Election::onVoteRequest(Effects& effects, const std::string& from, const VoteRequest& request) {
  bool blocked =
      effects.now < voteBlockedUntil && knownHolder != request.candidate && defences.isEnabled(Defence::promiseBinds);
  bool granted = request.term > vote.term || (!request.probe && request.term == vote.term &&
                                              (vote.votedFor.empty() || vote.votedFor == request.candidate));
  if (holdsLease(effects.now) || blocked) granted = false;
  if (granted && logEnd) {
    auto end = logEnd();
    granted = std::make_pair(request.lastTerm, request.lastIndex) >= end;
  }
  if (request.probe || !granted) {
    effects.send(from, VoteResponse{dutyName, std::max(vote.term, request.probe ? 0 : vote.term), selfId, request.probe,
                                    granted});
    return;
  }
  observeTerm(effects, request.term);
  vote = Vote{request.term, request.candidate};
  campaignAt = std::max(campaignAt, effects.now + 2 * timing.voteTimeout + syncAllowance() + campaignDelay +
                                        std::chrono::milliseconds(effects.randomBelow(campaignJitterMs)));
  if (!defences.isEnabled(Defence::syncBeforeVote)) {
    effects.send(from, VoteResponse{dutyName, request.term, selfId, false, true});
    effects.save(voteRecord(dutyName, vote));
    return;
  }
  effects.save(voteRecord(dutyName, vote), [this, from, request, savedAt = effects.now](Effects& later) {
    lastSyncDuration = later.now - savedAt;
    if (vote.term != request.term || vote.votedFor != request.candidate) return;
    later.send(from, VoteResponse{dutyName, request.term, selfId, false, true});
  });
}

void Election::onRelease(Effects& effects, std::int64_t release) {
  voteBlockedUntil = effects.now;
  knownHolder.clear();
  campaignAt = effects.now + campaignDelay + std::chrono::milliseconds(effects.randomBelow(releaseJitterMs));
  if (release == releasedToOther) campaignAt += 2 * timing.voteTimeout + syncAllowance();
  if (release == releasedToSuccessor && voter() && mayCampaign) stateMachine.dispatch(*this, "named", effects);
}

void Election::onHeartbeat(Effects& effects, const std::string& from, const Heartbeat& heartbeat) {
  if (heartbeat.term < vote.term) {
    effects.send(from, HeartbeatResponse{dutyName, vote.term, selfId, heartbeat.sentAt, false});
    return;
  }
  observeTerm(effects, heartbeat.term);
  if (heartbeat.sentAt < 0) {
    if (knownHolder == heartbeat.holder) onRelease(effects, heartbeat.sentAt);
    return;
  }
  knownHolder = heartbeat.holder;
  voteBlockedUntil = effects.now + timing.minElectionTimeout;
  campaignAt = voteBlockedUntil + campaignDelay + std::chrono::milliseconds(effects.randomBelow(campaignJitterMs));
  stateMachine.dispatch(*this, "held", effects);
  effects.send(from, HeartbeatResponse{dutyName, heartbeat.term, selfId, heartbeat.sentAt, true});
}

void Election::handle(Effects& effects, const std::string& from, const Message& message) {
  if (auto* request = std::get_if<VoteRequest>(&message)) {
    onVoteRequest(effects, from, *request);
  } else if (auto* reply = std::get_if<VoteResponse>(&message)) {
    if (reply->term > vote.term && !reply->granted) {
      observeTerm(effects, reply->term);
      return;
    }
    if (!reply->granted || !addressById.count(reply->voter)) return;
    bool expected = (reply->probe && stateMachine.isIn("probing")) ||
                    (!reply->probe && stateMachine.isIn("asking") && reply->term == vote.term);
    if (!expected) return;
    grants.insert(reply->voter);
    if (elected() && grants.count(selfId)) stateMachine.dispatch(*this, "granted", effects);
  } else if (auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    onHeartbeat(effects, from, *heartbeat);
  } else if (auto* acknowledgement = std::get_if<HeartbeatResponse>(&message)) {
    if (acknowledgement->term > vote.term) {
      observeTerm(effects, acknowledgement->term);
    } else if (acknowledgement->granted && acknowledgement->term == vote.term && won() &&
               acknowledgement->sentAt >= 0) {
      auto& renewal = renewals[acknowledgement->voter];
      renewal = std::max(renewal, fromNanoseconds(acknowledgement->sentAt));
    }
  }
}

}  // namespace tt
