#include "election.hpp"

#include <algorithm>

namespace tt {

const ChartWalk<Election, Effects&>::Actions& Election::actions() {
  static const ChartWalk<Election, Effects&>::Actions table{
      {"askProbe", &Election::askProbe}, {"voteSelf", &Election::voteSelf},   {"takeDuty", &Election::takeDuty},
      {"loseDuty", &Election::loseDuty}, {"adoptTerm", &Election::adoptTerm}, {"waitAgain", &Election::waitAgain}};
  return table;
}

Election::Election(std::string duty, std::string self, Span waitBeforeStanding, Defences defencesGiven)
    : dutyName(std::move(duty)),
      selfId(std::move(self)),
      eagerness(waitBeforeStanding),
      defences(defencesGiven),
      walk("election", actions(), "idle") {}

void Election::restore(const Vote& saved, Moment now) {
  vote = saved;
  promisedUntil = now + timing.promise;
}

void Election::setVoters(const std::vector<Member>& members) {
  voters.clear();
  addressById.clear();
  for (const auto& member : members)
    if (member.votes) {
      voters.push_back(member);
      addressById[member.id] = member.address;
    }
}

void Election::toOthers(Effects& effects, const Message& message) {
  for (const auto& voter : voters)
    if (voter.id != selfId) effects.send(voter.address, message);
}

Moment Election::leaseStart(Moment now) const {
  std::vector<Moment> starts;
  for (const auto& voter : voters) {
    if (voter.id == selfId) {
      starts.push_back(now);
    } else if (auto found = renewals.find(voter.id); found != renewals.end()) {
      starts.push_back(found->second);
    }
  }
  if (starts.size() < quorum()) return Moment{};
  std::sort(starts.rbegin(), starts.rend());
  return starts[quorum() - 1];
}

bool Election::holds(Moment now) const {
  if (!won() || voters.empty()) return false;
  if (!defences.stands(Defence::leaseLimits)) return true;
  Moment start = leaseStart(now);
  return start != Moment{} && now < start + timing.lease;
}

void Election::tick(Effects& effects) {
  if (!started) {
    started = true;
    standAt = effects.now + timing.promise + eagerness + std::chrono::milliseconds(effects.roll(300));
  }
  if (walk.in("holding")) {
    if (!voter() || !mayStand) {
      resign(effects);
    } else if (effects.now >= heldAt + timing.holdEvery) {
      sendHolds(effects);
    }
    return;
  }
  if (walk.in("idle")) {
    if (effects.now >= standAt && effects.now >= promisedUntil && voter() && mayStand)
      walk.happen(*this, "vacant", effects);
  } else if (effects.now >= askedAt + timing.voteWait + (walk.in("asking") ? slowness() : Span(0))) {
    walk.happen(*this, "lapsed", effects);
  }
}

void Election::askProbe(Effects& effects) {
  askedAt = effects.now;
  grants = {selfId};
  auto end = logEnd ? logEnd() : std::make_pair<std::uint64_t, std::uint64_t>(0, 0);
  toOthers(effects, VoteRequest{dutyName, vote.term + 1, selfId, true, end.first, end.second});
  if (grants.size() >= quorum()) walk.happen(*this, "granted", effects);
}

void Election::voteSelf(Effects& effects) {
  askedAt = effects.now;
  grants.clear();
  vote = Vote{vote.term + 1, selfId};
  std::uint64_t askedTerm = vote.term;
  Moment savedAt = effects.now;
  askedAt = effects.now + timing.slowDiskMost;
  effects.save(voteRecord(dutyName, vote), [this, askedTerm, savedAt](Effects& later) {
    syncSpan = later.now - savedAt;
    if (!walk.in("asking") || vote.term != askedTerm) return;
    askedAt = later.now;
    grants.insert(selfId);
    auto end = logEnd ? logEnd() : std::make_pair<std::uint64_t, std::uint64_t>(0, 0);
    toOthers(later, VoteRequest{dutyName, vote.term, selfId, false, end.first, end.second});
    if (grants.size() >= quorum()) walk.happen(*this, "granted", later);
  });
}

void Election::takeDuty(Effects& effects) {
  renewals.clear();
  knownHolder = selfId;
  effects.note("duty won", dutyName, static_cast<std::int64_t>(vote.term));
  sendHolds(effects);
  if (changed) changed(effects, true);
}

void Election::loseDuty(Effects& effects) {
  if (knownHolder == selfId) knownHolder.clear();
  effects.note("duty lost", dutyName, static_cast<std::int64_t>(vote.term));
  if (changed) changed(effects, false);
}

void Election::adoptTerm(Effects& effects) {
  if (seenTerm <= vote.term) return;
  vote = Vote{seenTerm, {}};
  effects.save(voteRecord(dutyName, vote));
}

void Election::waitAgain(Effects& effects) {
  auto spread = 400 + 4 * static_cast<std::uint64_t>(inMs(slowness()));
  standAt = effects.now + eagerness + std::chrono::milliseconds(100 + effects.roll(spread));
}

void Election::sendHolds(Effects& effects) {
  heldAt = effects.now;
  toOthers(effects, Heartbeat{dutyName, vote.term, selfId, inNs(effects.now)});
}

void Election::resign(Effects& effects) {
  if (!won()) return;
  toOthers(effects, Heartbeat{dutyName, vote.term, selfId, -1});
  walk.happen(*this, "resigned", effects);
  standAt = effects.now + timing.promise;
}

void Election::seeTerm(Effects& effects, std::uint64_t term) {
  if (term <= vote.term) return;
  seenTerm = term;
  walk.happen(*this, "higher", effects);
}

void Election::onAsk(Effects& effects, const std::string& from, const VoteRequest& ask) {
  bool bound = effects.now < promisedUntil && knownHolder != ask.candidate && defences.stands(Defence::promiseBinds);
  bool granted = ask.term > vote.term ||
                 (!ask.probe && ask.term == vote.term && (vote.votedFor.empty() || vote.votedFor == ask.candidate));
  if (holds(effects.now) || bound || !voter()) granted = false;
  if (granted && logEnd) {
    auto end = logEnd();
    granted = std::make_pair(ask.lastTerm, ask.lastIndex) >= end;
  }
  if (ask.probe || !granted) {
    effects.send(from,
                 VoteResponse{dutyName, std::max(vote.term, ask.probe ? 0 : vote.term), selfId, ask.probe, granted});
    return;
  }
  seeTerm(effects, ask.term);
  vote = Vote{ask.term, ask.candidate};
  standAt = std::max(standAt, effects.now + 2 * timing.voteWait + slowness() + eagerness +
                                  std::chrono::milliseconds(effects.roll(300)));
  if (!defences.stands(Defence::syncBeforeVote)) {
    effects.send(from, VoteResponse{dutyName, ask.term, selfId, false, true});
    effects.save(voteRecord(dutyName, vote));
    return;
  }
  effects.save(voteRecord(dutyName, vote), [this, from, ask, savedAt = effects.now](Effects& later) {
    syncSpan = later.now - savedAt;
    if (vote.term != ask.term || vote.votedFor != ask.candidate) return;
    later.send(from, VoteResponse{dutyName, ask.term, selfId, false, true});
  });
}

void Election::onHold(Effects& effects, const std::string& from, const Heartbeat& hold) {
  if (hold.term < vote.term) {
    effects.send(from, HeartbeatResponse{dutyName, vote.term, selfId, hold.sentAt, false});
    return;
  }
  seeTerm(effects, hold.term);
  if (hold.sentAt < 0) {
    if (knownHolder == hold.holder) {
      promisedUntil = effects.now;
      knownHolder.clear();
      standAt = effects.now + eagerness + std::chrono::milliseconds(effects.roll(100));
    }
    return;
  }
  knownHolder = hold.holder;
  promisedUntil = effects.now + timing.promise;
  standAt = promisedUntil + eagerness + std::chrono::milliseconds(effects.roll(300));
  walk.happen(*this, "held", effects);
  effects.send(from, HeartbeatResponse{dutyName, hold.term, selfId, hold.sentAt, true});
}

void Election::take(Effects& effects, const std::string& from, const Message& message) {
  if (auto* ask = std::get_if<VoteRequest>(&message)) {
    onAsk(effects, from, *ask);
  } else if (auto* reply = std::get_if<VoteResponse>(&message)) {
    if (reply->term > vote.term && !reply->granted) {
      seeTerm(effects, reply->term);
      return;
    }
    if (!reply->granted || !addressById.count(reply->voter)) return;
    bool fits =
        (reply->probe && walk.in("probing")) || (!reply->probe && walk.in("asking") && reply->term == vote.term);
    if (!fits) return;
    grants.insert(reply->voter);
    if (grants.size() >= quorum() && grants.count(selfId)) walk.happen(*this, "granted", effects);
  } else if (auto* hold = std::get_if<Heartbeat>(&message)) {
    onHold(effects, from, *hold);
  } else if (auto* kept = std::get_if<HeartbeatResponse>(&message)) {
    if (kept->term > vote.term) {
      seeTerm(effects, kept->term);
    } else if (kept->granted && kept->term == vote.term && won() && kept->sentAt >= 0) {
      auto& renewal = renewals[kept->voter];
      renewal = std::max(renewal, fromNs(kept->sentAt));
    }
  }
}

}  // namespace tt
