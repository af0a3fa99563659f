#include "ballot.hpp"

#include <algorithm>

namespace tt {

const ChartWalk<Ballot, Desk&>::Deeds& Ballot::deeds() {
  static const ChartWalk<Ballot, Desk&>::Deeds table{
      {"askProbe", &Ballot::askProbe}, {"voteSelf", &Ballot::voteSelf},   {"takeDuty", &Ballot::takeDuty},
      {"loseDuty", &Ballot::loseDuty}, {"adoptTerm", &Ballot::adoptTerm}, {"waitAgain", &Ballot::waitAgain}};
  return table;
}

Ballot::Ballot(std::string duty, std::string self, Span waitBeforeStanding, Defences defencesGiven)
    : dutyName(std::move(duty)),
      selfId(std::move(self)),
      eagerness(waitBeforeStanding),
      defences(defencesGiven),
      walk("ballot", deeds(), "idle") {}

void Ballot::restore(const Vote& saved, Moment now) {
  vote = saved;
  promisedUntil = now + pace.promise;
}

void Ballot::setVoters(const std::vector<Member>& members) {
  voters.clear();
  addressById.clear();
  for (const auto& member : members)
    if (member.votes) {
      voters.push_back(member);
      addressById[member.id] = member.address;
    }
}

void Ballot::toOthers(Desk& desk, const Message& message) {
  for (const auto& voter : voters)
    if (voter.id != selfId) desk.send(voter.address, message);
}

Moment Ballot::leaseStart(Moment now) const {
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

bool Ballot::holds(Moment now) const {
  if (!won() || voters.empty()) return false;
  if (!defences.stands(Defence::leaseLimits)) return true;
  Moment start = leaseStart(now);
  return start != Moment{} && now < start + pace.lease;
}

void Ballot::tick(Desk& desk) {
  if (!started) {
    started = true;
    standAt = desk.now + pace.promise + eagerness + std::chrono::milliseconds(desk.roll(300));
  }
  if (walk.in("holding")) {
    if (!voter() || !mayStand) {
      resign(desk);
    } else if (desk.now >= heldAt + pace.holdEvery) {
      sendHolds(desk);
    }
    return;
  }
  if (walk.in("idle")) {
    if (desk.now >= standAt && desk.now >= promisedUntil && voter() && mayStand) walk.happen(*this, "vacant", desk);
  } else if (desk.now >= askedAt + pace.ballotWait + (walk.in("asking") ? slowness() : Span(0))) {
    walk.happen(*this, "lapsed", desk);
  }
}

void Ballot::askProbe(Desk& desk) {
  askedAt = desk.now;
  grants = {selfId};
  auto end = logEnd ? logEnd() : std::make_pair<std::uint64_t, std::uint64_t>(0, 0);
  toOthers(desk, BallotAsk{dutyName, vote.term + 1, selfId, true, end.first, end.second});
  if (grants.size() >= quorum()) walk.happen(*this, "granted", desk);
}

void Ballot::voteSelf(Desk& desk) {
  askedAt = desk.now;
  grants.clear();
  vote = Vote{vote.term + 1, selfId};
  std::uint64_t askedTerm = vote.term;
  Moment savedAt = desk.now;
  askedAt = desk.now + pace.slowDiskMost;
  desk.save(voteRecord(dutyName, vote), [this, askedTerm, savedAt](Desk& later) {
    syncSpan = later.now - savedAt;
    if (!walk.in("asking") || vote.term != askedTerm) return;
    askedAt = later.now;
    grants.insert(selfId);
    auto end = logEnd ? logEnd() : std::make_pair<std::uint64_t, std::uint64_t>(0, 0);
    toOthers(later, BallotAsk{dutyName, vote.term, selfId, false, end.first, end.second});
    if (grants.size() >= quorum()) walk.happen(*this, "granted", later);
  });
}

void Ballot::takeDuty(Desk& desk) {
  renewals.clear();
  knownHolder = selfId;
  desk.note("duty won", dutyName, static_cast<std::int64_t>(vote.term));
  sendHolds(desk);
  if (changed) changed(desk, true);
}

void Ballot::loseDuty(Desk& desk) {
  if (knownHolder == selfId) knownHolder.clear();
  desk.note("duty lost", dutyName, static_cast<std::int64_t>(vote.term));
  if (changed) changed(desk, false);
}

void Ballot::adoptTerm(Desk& desk) {
  if (seenTerm <= vote.term) return;
  vote = Vote{seenTerm, {}};
  desk.save(voteRecord(dutyName, vote));
}

void Ballot::waitAgain(Desk& desk) {
  auto spread = 400 + 4 * static_cast<std::uint64_t>(inMs(slowness()));
  standAt = desk.now + eagerness + std::chrono::milliseconds(100 + desk.roll(spread));
}

void Ballot::sendHolds(Desk& desk) {
  heldAt = desk.now;
  toOthers(desk, HoldMsg{dutyName, vote.term, selfId, inNs(desk.now)});
}

void Ballot::resign(Desk& desk) {
  if (!won()) return;
  toOthers(desk, HoldMsg{dutyName, vote.term, selfId, -1});
  walk.happen(*this, "resigned", desk);
  standAt = desk.now + pace.promise;
}

void Ballot::seeTerm(Desk& desk, std::uint64_t term) {
  if (term <= vote.term) return;
  seenTerm = term;
  walk.happen(*this, "higher", desk);
}

void Ballot::onAsk(Desk& desk, const std::string& from, const BallotAsk& ask) {
  bool bound = desk.now < promisedUntil && knownHolder != ask.candidate && defences.stands(Defence::promiseBinds);
  bool granted = ask.term > vote.term || (!ask.probe && ask.term == vote.term && (vote.votedFor.empty() || vote.votedFor == ask.candidate));
  if (holds(desk.now) || bound || !voter()) granted = false;
  if (granted && logEnd) {
    auto end = logEnd();
    granted = std::make_pair(ask.lastTerm, ask.lastIndex) >= end;
  }
  if (ask.probe || !granted) {
    desk.send(from, BallotReply{dutyName, std::max(vote.term, ask.probe ? 0 : vote.term), selfId, ask.probe, granted});
    return;
  }
  seeTerm(desk, ask.term);
  vote = Vote{ask.term, ask.candidate};
  standAt = std::max(standAt, desk.now + 2 * pace.ballotWait + slowness() + eagerness + std::chrono::milliseconds(desk.roll(300)));
  if (!defences.stands(Defence::syncBeforeVote)) {
    desk.send(from, BallotReply{dutyName, ask.term, selfId, false, true});
    desk.save(voteRecord(dutyName, vote));
    return;
  }
  desk.save(voteRecord(dutyName, vote), [this, from, ask, savedAt = desk.now](Desk& later) {
    syncSpan = later.now - savedAt;
    if (vote.term != ask.term || vote.votedFor != ask.candidate) return;
    later.send(from, BallotReply{dutyName, ask.term, selfId, false, true});
  });
}

void Ballot::onHold(Desk& desk, const std::string& from, const HoldMsg& hold) {
  if (hold.term < vote.term) {
    desk.send(from, HoldReply{dutyName, vote.term, selfId, hold.sentAt, false});
    return;
  }
  seeTerm(desk, hold.term);
  if (hold.sentAt < 0) {
    if (knownHolder == hold.holder) {
      promisedUntil = desk.now;
      knownHolder.clear();
      standAt = desk.now + eagerness + std::chrono::milliseconds(desk.roll(100));
    }
    return;
  }
  knownHolder = hold.holder;
  promisedUntil = desk.now + pace.promise;
  standAt = promisedUntil + eagerness + std::chrono::milliseconds(desk.roll(300));
  walk.happen(*this, "held", desk);
  desk.send(from, HoldReply{dutyName, hold.term, selfId, hold.sentAt, true});
}

void Ballot::take(Desk& desk, const std::string& from, const Message& message) {
  if (auto* ask = std::get_if<BallotAsk>(&message)) {
    onAsk(desk, from, *ask);
  } else if (auto* reply = std::get_if<BallotReply>(&message)) {
    if (reply->term > vote.term && !reply->granted) {
      seeTerm(desk, reply->term);
      return;
    }
    if (!reply->granted || !addressById.count(reply->voter)) return;
    bool fits = (reply->probe && walk.in("probing")) || (!reply->probe && walk.in("asking") && reply->term == vote.term);
    if (!fits) return;
    grants.insert(reply->voter);
    if (grants.size() >= quorum() && grants.count(selfId)) walk.happen(*this, "granted", desk);
  } else if (auto* hold = std::get_if<HoldMsg>(&message)) {
    onHold(desk, from, *hold);
  } else if (auto* kept = std::get_if<HoldReply>(&message)) {
    if (kept->term > vote.term) {
      seeTerm(desk, kept->term);
    } else if (kept->granted && kept->term == vote.term && won() && kept->sentAt >= 0) {
      auto& renewal = renewals[kept->voter];
      renewal = std::max(renewal, fromNs(kept->sentAt));
    }
  }
}

}  // namespace tt
