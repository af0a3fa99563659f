#include "accord.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr std::size_t mostWaiters = 512;
constexpr std::size_t entriesPerMessage = 128;
constexpr std::size_t bytesPerMessage = 512 * 1024;
constexpr std::size_t entriesBeforeCapture = 1024;
constexpr Span appendAgain = 150ms;
constexpr Span goneAfter = 3s;

std::string packMembers(const std::vector<Member>& rows) {
  Capture capture;
  capture.members = rows;
  return encodeCapture(capture);
}
std::vector<Member> unpackMembers(const std::string& body) {
  auto capture = decodeCapture(body);
  return capture ? capture.value().members : std::vector<Member>{};
}
}  // namespace

Accord::Accord(Member self, std::size_t recordRoom, Defences defencesGiven)
    : ballot("accord", self.id, 0ms, defencesGiven), selfRow(std::move(self)), room(recordRoom), defences(defencesGiven) {
  ballot.logEnd = [this] {
    return std::make_pair(termAt(syncedIndex), syncedIndex);
  };
  ballot.changed = [this](Desk& desk, bool won) { whenLeads(desk, won); };
}

void Accord::restore(const Recovered& recovered, Moment now) {
  if (recovered.capture) {
    base = *recovered.capture;
    (void)applied.adopt(base);
    commitIndex = base.index;
  }
  log = recovered.entries;
  for (const auto& entry : log) logBytes += entry.body.size();
  syncedIndex = logEnd();
  auto vote = recovered.votes.find("accord");
  ballot.restore(vote == recovered.votes.end() ? Vote{} : vote->second, now);
  readMembers(nullptr);
}

std::uint64_t Accord::logEnd() const { return log.empty() ? base.index : log.back().index; }

const Entry* Accord::entryAt(std::uint64_t index) const {
  if (log.empty() || index < log.front().index || index > log.back().index) return nullptr;
  return &log[index - log.front().index];
}

std::uint64_t Accord::termAt(std::uint64_t index) const {
  if (index == base.index) return base.term;
  auto* entry = entryAt(index);
  return entry ? entry->term : 0;
}

std::vector<Member> Accord::membersBefore(std::uint64_t index) const {
  for (auto entry = log.rbegin(); entry != log.rend(); ++entry)
    if (entry->index < index && entry->kind == static_cast<int>(EntryKind::members)) return unpackMembers(entry->body);
  return base.members;
}

bool Accord::hasSynced(std::uint64_t index, std::uint64_t term) const {
  return index <= syncedIndex && (base.index >= index || termAt(index) == term);
}

void Accord::readMembers(Desk* desk) {
  memberRows = membersBefore(logEnd() + 1);
  ballot.setVoters(memberRows);
  if (desk && membersChanged) membersChanged(*desk);
}

std::string Accord::leaderAddress() const {
  for (const auto& member : memberRows)
    if (member.id == ballot.holder()) return member.address;
  return {};
}

bool Accord::speaksForTerm() const { return ballot.won() && termAt(commitIndex) == ballot.term(); }

void Accord::store(Desk& desk, const Entry& entry) {
  log.push_back(entry);
  logBytes += entry.body.size();
  std::uint64_t index = entry.index, term = entry.term;
  if (!defences.stands(Defence::syncBeforeCount)) syncedIndex = index;
  desk.save(entryRecord(entry), [this, index, term](Desk& later) {
    if (termAt(index) != term || index < syncedIndex || (index == syncedIndex && defences.stands(Defence::syncBeforeCount))) return;
    syncedIndex = index;
    if (ballot.won())
      advance(later);
    else
      tellSynced(later);
  });
  if (entry.kind == static_cast<int>(EntryKind::members)) readMembers(&desk);
}

void Accord::tellSynced(Desk& desk) {
  auto address = leaderAddress();
  if (address.empty() || verifiedTerm != ballot.term() || verifiedEnd == 0) return;
  desk.send(address, AppendReply{ballot.term(), selfRow.id, true, std::min(syncedIndex, verifiedEnd)});
}

void Accord::append(Desk& desk, EntryKind kind, std::string body, std::string changeId, std::uint64_t revision) {
  Entry entry{logEnd() + 1, ballot.term(), static_cast<int>(kind), std::move(body), std::move(changeId), revision};
  head.apply(entry);
  store(desk, entry);
}

void Accord::form(Desk& desk, const std::vector<Member>& firstMembers) {
  if (formed()) return;
  store(desk, Entry{1, 0, static_cast<int>(EntryKind::members), packMembers(firstMembers), {}});
  desk.note("formed", selfRow.id, static_cast<std::int64_t>(firstMembers.size()));
}

void Accord::whenLeads(Desk& desk, bool won) {
  followers.clear();
  if (!won) {
    for (const auto& waiter : waiters)
      desk.send(waiter.from, ChangeReply{waiter.askId, static_cast<int>(Code::changeUnsure), "accord",
                                         codeText(Code::changeUnsure), 0, 0, 0});
    waiters.clear();
    return;
  }
  head = applied;
  for (const auto& entry : log) head.apply(entry);
  for (const auto& member : memberRows) {
    followers[member.id].next = logEnd() + 1;
    heardFrom[member.id] = desk.now;
  }
  append(desk, EntryKind::empty, {}, {});
  sendAll(desk);
}

void Accord::sendTo(Desk& desk, const Member& member, bool again) {
  auto& follower = followers[member.id];
  if (follower.next == 0) follower.next = logEnd() + 1;
  if (follower.pending && !again) return;
  follower.sentAt = desk.now;
  if (follower.next <= base.index) {
    follower.pending = true;
    desk.send(member.address, CaptureMsg{ballot.term(), selfRow.id, base});
    return;
  }
  AppendMsg message{ballot.term(), selfRow.id, follower.next - 1, termAt(follower.next - 1), commitIndex, {}};
  std::size_t bytes = 0;
  for (std::uint64_t index = follower.next; index <= logEnd() && message.entries.size() < entriesPerMessage; ++index) {
    const auto* entry = entryAt(index);
    bytes += entry->body.size();
    if (!message.entries.empty() && bytes > bytesPerMessage) break;
    message.entries.push_back(*entry);
  }
  follower.pending = !message.entries.empty();
  follower.toldCommit = commitIndex;
  desk.send(member.address, std::move(message));
}

void Accord::sendAll(Desk& desk) {
  if (!ballot.won()) return;
  for (const auto& member : memberRows)
    if (member.id != selfRow.id) sendTo(desk, member, false);
}

std::uint64_t Accord::agreedAmong(const std::vector<Member>& voters) const {
  std::vector<std::uint64_t> ends;
  for (const auto& member : voters) {
    if (!member.votes) continue;
    auto follower = followers.find(member.id);
    ends.push_back(member.id == selfRow.id ? syncedIndex : follower == followers.end() ? 0 : follower->second.matched);
  }
  std::size_t quorum = ends.size() / 2 + 1;
  if (!defences.stands(Defence::commitByThree)) quorum = std::min<std::size_t>(quorum, 2);
  if (ends.size() < quorum) return 0;
  std::sort(ends.rbegin(), ends.rend());
  return ends[quorum - 1];
}

void Accord::advance(Desk& desk) {
  std::uint64_t agreed = agreedAmong(memberRows);
  auto passing = std::find_if(log.rbegin(), log.rend(), [](const Entry& entry) { return entry.kind == static_cast<int>(EntryKind::members); });
  if (passing != log.rend() && passing->index > commitIndex && agreed >= passing->index && defences.stands(Defence::jointMembers)) {
    auto before = membersBefore(passing->index);
    if (!before.empty() && agreedAmong(before) < passing->index) agreed = passing->index - 1;
  }
  if (agreed > commitIndex && termAt(agreed) == ballot.term()) {
    applyUpTo(desk, agreed);
    sendAll(desk);
  }
}

void Accord::applyUpTo(Desk& desk, std::uint64_t index) {
  index = std::min(index, logEnd());
  while (commitIndex < index) {
    const auto* found = entryAt(commitIndex + 1);
    if (!found) break;
    Entry entry = *found;
    ++commitIndex;
    applied.apply(entry);
    if (entry.kind == static_cast<int>(EntryKind::members)) desk.save(captureRecord(applied.capture()));
    if (entryApplied) entryApplied(desk, entry);
  }
  std::vector<Waiter> left;
  for (auto& waiter : waiters) {
    if (waiter.index > commitIndex)
      left.push_back(waiter);
    else
      desk.send(waiter.from, ChangeReply{waiter.askId, static_cast<int>(Code::changeTaken), {}, {}, waiter.revision,
                                         waiter.index, termAt(waiter.index)});
  }
  waiters = std::move(left);
  trim(desk);
}

void Accord::trim(Desk& desk) {
  std::size_t done = 0;
  for (const auto& entry : log) done += entry.index <= commitIndex;
  if (done < entriesBeforeCapture && logBytes < room / 4) return;
  if (done == 0) return;
  Capture made = applied.capture();
  if (made.index != commitIndex) return;
  desk.save(captureRecord(made));
  desk.note("capture", selfRow.id, static_cast<std::int64_t>(made.index));
  base = made;
  std::vector<Entry> rest;
  logBytes = 0;
  for (auto& entry : log)
    if (entry.index > base.index) {
      logBytes += entry.body.size();
      rest.push_back(std::move(entry));
    }
  log = std::move(rest);
}

NewsMsg Accord::newsAfter(std::uint64_t index, std::size_t most) const {
  NewsMsg news;
  news.commit = commitIndex;
  if (index < base.index) {
    news.captures.push_back(base);
    index = base.index;
  }
  for (std::uint64_t at = index + 1; at <= commitIndex && news.entries.size() < most; ++at)
    if (auto* entry = entryAt(at)) news.entries.push_back(*entry);
  return news;
}

void Accord::takeChange(Desk& desk, const std::string& from, const ChangeAsk& ask) {
  auto answer = [&](Code code, const std::string& subject, const std::string& text, std::uint64_t revision = 0,
                    std::uint64_t index = 0) {
    desk.send(from, ChangeReply{ask.askId, static_cast<int>(code), subject, text.empty() ? codeText(code) : text,
                                revision, index, termAt(index)});
  };
  if (!ballot.holds(desk.now)) return answer(Code::notLeading, "accord", {});
  if (auto revision = head.takenAs(ask.changeId); revision && defences.stands(Defence::changeIdOnce)) {
    std::uint64_t index = commitIndex;
    for (const auto& entry : log)
      if (entry.changeId == ask.changeId) index = entry.index;
    if (index <= commitIndex) return answer(Code::changeTaken, {}, {}, *revision, index);
    waiters.push_back({from, ask.askId, index, *revision});
    return;
  }
  if (ask.sinceRevision > 0 && head.forgottenRevision() > static_cast<std::uint64_t>(ask.sinceRevision))
    return answer(Code::changeForgotten, "changeId", {}, head.revision());
  if (waiters.size() >= mostWaiters) return answer(Code::changesFull, "changes", {});
  if (ask.ifRevision >= 0 && static_cast<std::uint64_t>(ask.ifRevision) != head.revision())
    return answer(Code::staleRevision, "ifRevision", {}, head.revision());
  if (ask.toRevision > 0 && static_cast<std::uint64_t>(ask.toRevision) <= head.revision())
    return answer(Code::revisionOld, "revision", {}, head.revision());
  auto patch = head.preparePatch(ask.body, ask.whole ? Manner::whole : static_cast<Manner>(ask.manner));
  if (!patch) return answer(patch.error().code, patch.error().subject, patch.error().text);
  if (head.bytes() + patch.value().size() > room) return answer(Code::blueprintLarge, "body", {});
  std::uint64_t revision = ask.toRevision > 0 ? static_cast<std::uint64_t>(ask.toRevision) : ask.toRevision < 0 ? head.revision() : 0;
  append(desk, EntryKind::change, patch.value(), ask.changeId, revision);
  waiters.push_back({from, ask.askId, logEnd(), head.revision()});
  sendAll(desk);
  advance(desk);
}

void Accord::onAppend(Desk& desk, const std::string& from, const AppendMsg& message) {
  if (message.term < ballot.term()) {
    desk.send(from, AppendReply{ballot.term(), selfRow.id, false, syncedIndex});
    return;
  }
  ballot.seeTerm(desk, message.term);
  if (ballot.won()) return;
  leaderHeard = desk.now;
  if (message.prevIndex > logEnd() || (message.prevIndex >= base.index && termAt(message.prevIndex) != message.prevTerm)) {
    std::uint64_t hint = message.prevIndex > logEnd() ? logEnd() : commitIndex;
    desk.send(from, AppendReply{ballot.term(), selfRow.id, false, hint});
    return;
  }
  std::uint64_t last = message.prevIndex;
  for (const auto& entry : message.entries) {
    last = entry.index;
    if (entry.index <= base.index) continue;
    if (auto* mine = entryAt(entry.index)) {
      if (mine->term == entry.term) continue;
      if (entry.index <= commitIndex) return;
      while (!log.empty() && log.back().index >= entry.index) {
        logBytes -= std::min(logBytes, log.back().body.size());
        log.pop_back();
      }
      syncedIndex = std::min(syncedIndex, logEnd());
      desk.save(cutRecord(entry.index));
      readMembers(&desk);
    }
    if (entry.index != logEnd() + 1) return;
    store(desk, entry);
  }
  std::uint64_t shared = std::min(last, logEnd());
  verifiedEnd = verifiedTerm == message.term ? std::max(verifiedEnd, shared) : shared;
  verifiedTerm = message.term;
  if (message.commit > commitIndex) applyUpTo(desk, std::min(message.commit, shared));
  if (shared <= syncedIndex) desk.send(from, AppendReply{ballot.term(), selfRow.id, true, shared});
}

void Accord::onCapture(Desk& desk, const std::string& from, const CaptureMsg& message) {
  if (message.term < ballot.term()) return;
  ballot.seeTerm(desk, message.term);
  if (ballot.won()) return;
  if (message.capture.index <= commitIndex) {
    desk.send(from, AppendReply{ballot.term(), selfRow.id, true, std::min(syncedIndex, commitIndex)});
    return;
  }
  bool agrees = termAt(message.capture.index) == message.capture.term && message.capture.index <= logEnd();
  base = message.capture;
  std::vector<Entry> rest;
  if (agrees)
    for (auto& entry : log)
      if (entry.index > base.index) rest.push_back(std::move(entry));
  log = std::move(rest);
  logBytes = 0;
  for (const auto& entry : log) logBytes += entry.body.size();
  if (!agrees) syncedIndex = 0;
  (void)applied.adopt(base);
  commitIndex = base.index;
  std::uint64_t index = base.index;
  if (!agrees) desk.save(cutRecord(0));
  desk.save(captureRecord(base), [this, from, index](Desk& later) {
    if (base.index != index) return;
    syncedIndex = std::max(syncedIndex, index);
    later.send(from, AppendReply{ballot.term(), selfRow.id, true, index});
  });
  readMembers(&desk);
  desk.note("caught up by capture", selfRow.id, static_cast<std::int64_t>(index));
  if (entryApplied) entryApplied(desk, Entry{base.index, base.term, static_cast<int>(EntryKind::whole), {}, {}});
}

void Accord::onReply(Desk& desk, const AppendReply& reply) {
  if (reply.term > ballot.term()) {
    ballot.seeTerm(desk, reply.term);
    return;
  }
  if (!ballot.won() || reply.term != ballot.term()) return;
  heardFrom[reply.voter] = desk.now;
  auto& follower = followers[reply.voter];
  follower.pending = false;
  if (reply.matched) {
    follower.matched = std::max(follower.matched, reply.index);
    follower.next = std::max(follower.next, follower.matched + 1);
    if (follower.next > logEnd() + 1) follower.next = logEnd() + 1;
  } else {
    follower.next = std::max<std::uint64_t>(1, std::min(follower.next - 1, reply.index + 1));
  }
  advance(desk);
  if (follower.next <= logEnd() || follower.toldCommit < commitIndex)
    for (const auto& member : memberRows)
      if (member.id == reply.voter) sendTo(desk, member, false);
}

bool Accord::memberChangePending() const {
  for (const auto& entry : log)
    if (entry.index > commitIndex && entry.kind == static_cast<int>(EntryKind::members)) return true;
  return false;
}

void Accord::setMembers(Desk& desk, std::vector<Member> rows) {
  append(desk, EntryKind::members, packMembers(rows), {});
  sendAll(desk);
  advance(desk);
}

void Accord::onJoin(Desk& desk, const std::string& from, const JoinAsk& ask) {
  (void)from;
  if (!ballot.holds(desk.now) || memberChangePending() || !speaksForTerm()) return;
  for (const auto& member : memberRows) {
    if (member.id == ask.self.id) {
      if (member.address != ask.self.address) {
        auto rows = memberRows;
        for (auto& row : rows)
          if (row.id == ask.self.id) row.address = ask.self.address;
        desk.note("core moved", ask.self.id);
        setMembers(desk, rows);
      }
      return;
    }
    if (member.name == ask.self.name) {
      auto heard = heardFrom.find(member.id);
      if (member.id == selfRow.id || (heard != heardFrom.end() && desk.now - heard->second < goneAfter)) return;
    }
  }
  auto rows = memberRows;
  Member learner = ask.self;
  learner.votes = false;
  rows.push_back(learner);
  desk.note("core joins", learner.id);
  setMembers(desk, rows);
}

void Accord::mendMembers(Desk& desk) {
  if (!ballot.holds(desk.now) || memberChangePending() || !speaksForTerm()) return;
  for (const auto& member : memberRows) {
    if (member.votes) continue;
    auto heard = heardFrom.find(member.id);
    bool alive = heard != heardFrom.end() && desk.now - heard->second < goneAfter;
    auto rows = memberRows;
    if (!alive && heard != heardFrom.end() && desk.now - heard->second > 3 * goneAfter) {
      rows.erase(std::remove_if(rows.begin(), rows.end(), [&](const Member& row) { return row.id == member.id; }),
                 rows.end());
      desk.note("learner dropped", member.id);
      setMembers(desk, rows);
      return;
    }
    if (alive && followers[member.id].matched + 4 >= commitIndex && followers[member.id].matched > 0) {
      for (auto& row : rows)
        if (row.id == member.id) row.votes = true;
      desk.note("core votes", member.id);
      setMembers(desk, rows);
      return;
    }
  }
  for (const auto& member : memberRows)
    for (const auto& other : memberRows) {
      if (member.id == other.id || member.name != other.name || !member.votes || !other.votes) continue;
      auto heardMember = heardFrom.find(member.id);
      auto heardOther = heardFrom.find(other.id);
      bool memberGone = heardMember == heardFrom.end() || desk.now - heardMember->second > goneAfter;
      bool otherAlive = other.id == selfRow.id ||
                        (heardOther != heardFrom.end() && desk.now - heardOther->second < goneAfter);
      if (member.id == selfRow.id || !memberGone || !otherAlive) continue;
      auto rows = memberRows;
      rows.erase(std::remove_if(rows.begin(), rows.end(), [&](const Member& row) { return row.id == member.id; }),
                 rows.end());
      desk.note("core replaced", member.id);
      setMembers(desk, rows);
      return;
    }
}

void Accord::dropGone(Desk& desk) {
  if (pace.memberGone == Span(0) || !ballot.holds(desk.now) || memberChangePending() || !speaksForTerm()) return;
  std::size_t voters = 0;
  const Member* gone = nullptr;
  for (const auto& member : memberRows) {
    if (!member.votes) continue;
    ++voters;
    if (member.id == selfRow.id) continue;
    auto heard = heardFrom.find(member.id);
    if (heard != heardFrom.end() && desk.now - heard->second > pace.memberGone && !gone) gone = &member;
  }
  if (!gone || voters <= pace.votersLeast) return;
  std::string goneId = gone->id;
  auto rows = memberRows;
  rows.erase(std::remove_if(rows.begin(), rows.end(), [&](const Member& row) { return row.id == goneId; }), rows.end());
  desk.note("core replaced", goneId);
  setMembers(desk, rows);
}

void Accord::tick(Desk& desk) {
  ballot.tick(desk);
  if (!ballot.won()) return;
  for (const auto& member : memberRows) {
    if (member.id == selfRow.id) continue;
    auto& follower = followers[member.id];
    if (desk.now - follower.sentAt >= appendAgain) sendTo(desk, member, true);
  }
  advance(desk);
  mendMembers(desk);
  dropGone(desk);
}

void Accord::take(Desk& desk, const std::string& from, const Message& message) {
  if (auto* append = std::get_if<AppendMsg>(&message))
    onAppend(desk, from, *append);
  else if (auto* reply = std::get_if<AppendReply>(&message))
    onReply(desk, *reply);
  else if (auto* capture = std::get_if<CaptureMsg>(&message))
    onCapture(desk, from, *capture);
  else if (auto* join = std::get_if<JoinAsk>(&message))
    onJoin(desk, from, *join);
  else
    ballot.take(desk, from, message);
}

}  // namespace tt
