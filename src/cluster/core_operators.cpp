#include <algorithm>

#include "core.hpp"

namespace tt {
namespace {
constexpr Duration agentKept = 2s;
constexpr Duration readersEvery = 50ms;
constexpr Duration operatorWait = 6s;
constexpr Duration passAgain = 700ms;
/// How long a copy of a change may lie unread before a core, but for the time that the core stands still.
constexpr Duration copyLife = operatorWait;
constexpr std::size_t mostAsked = 1024;
}  // namespace

namespace {
std::string touchedBy(const std::string& body) {
  auto read = parseJson(body);
  std::string text;
  if (!read || !read.value().is<JsonObject>()) return text;
  for (const auto& [section, items] : read.value().get<JsonObject>()) {
    if (!items.is<JsonObject>()) continue;
    for (const auto& [name, item] : items.get<JsonObject>()) {
      if (text.size() > 300) return text + " and more";
      text += " " + std::string(item.is<picojson::null>() ? "-" : "") + section + "." + name;
    }
  }
  return text;
}
}  // namespace

void Core::onOperator(Effects& effects, const std::string& from, const OperatorRequest& ask) {
  if (asked.size() >= mostAsked) {
    effects.send(from, OperatorResponse{ask.requestId, static_cast<int>(Code::changesFull), "changes",
                                        codeText(Code::changesFull), 0, 0});
    return;
  }
  Asked row;
  row.from = from;
  row.requestId = ask.requestId;
  row.at = effects.now;
  row.ask = ask;
  row.seen = seenBefore(effects.now);
  if (row.ask.changeId.empty()) row.ask.changeId = freshAskName();
  asked[freshAskName()] = row;
  settleAsked(effects);
}

std::string Core::freshAskName() {
  return self.id + "/" + std::to_string(startedAt.time_since_epoch().count()) + "/" + std::to_string(++askCount);
}

void Core::noteCommit(TimePoint now) {
  if (commitsSeen.empty() || commitsSeen.back().second != replicatedLog->commit())
    commitsSeen.emplace_back(now, replicatedLog->commit());
  (void)seenBefore(now);
}

Uint64 Core::seenBefore(TimePoint now) {
  while (commitsSeen.size() > 1 && commitsSeen[1].first <= now - copyLife) commitsSeen.pop_front();
  return commitsSeen.front().second;
}

void Core::onChangeReply(Effects& effects, const std::string& from, const ChangeResponse& reply) {
  auto found = asked.find(reply.requestId);
  if (found == asked.end()) return;
  auto& row = found->second;
  auto code = static_cast<Code>(reply.code);
  if (code == Code::changeTaken) {
    if (!row.agreed) row.agreedAt = effects.now;
    row.agreed = true;
    row.revision = reply.revision;
    row.index = reply.index;
    row.term = reply.term;
    row.leaderAddress = from;
    settleAsked(effects);
    return;
  }
  if (row.agreed || code == Code::notLeading || code == Code::changeUnsure) return;
  effects.send(row.from, OperatorResponse{row.requestId, reply.code, reply.subject, reply.text, reply.revision, 0});
  asked.erase(found);
}

void Core::confirm(Effects& effects, const Asked& row) {
  std::uint64_t reached = 0;
  for (const auto& [address, agent] : agents)
    reached += agent.relays && effects.now - agent.at < agentKept && agent.applied >= row.index;
  effects.note("change acked", row.ask.changeId, static_cast<std::int64_t>(row.index));
  effects.note("ack wait ms", row.ask.changeId, toMilliseconds(effects.now - row.agreedAt));
  effects.note("change in force", row.ask.changeId + " touches" + touchedBy(row.ask.body),
               static_cast<std::int64_t>(row.revision));
  effects.send(
      row.from,
      OperatorResponse{
          row.requestId, static_cast<int>(Code::changeTaken), {}, codeText(Code::changeTaken), row.revision, reached});
}

void Core::passOn(Effects& effects, const std::string& name, Asked& row) {
  std::string leader = replicatedLog->leads(effects.now) ? self.address : replicatedLog->leaderAddress();
  if (leader.empty() || (leader == self.address && !replicatedLog->leads(effects.now))) return;
  row.sentAt = effects.now;
  effects.send(leader, ChangeRequest{name, row.ask.body, row.ask.whole, row.ask.ifRevision, row.ask.changeId,
                                     row.ask.sinceRevision, row.ask.changeFormat, row.ask.toRevision, row.seen});
}

void Core::settleAsked(Effects& effects) {
  for (auto found = asked.begin(); found != asked.end();) {
    auto& row = found->second;
    bool settled =
        row.agreed && (readersHave(row, effects.now) || effects.now - row.agreedAt >= timing.readerAckTimeout ||
                       !settings.defences.isEnabled(Defence::ackWaits));
    bool late = !row.agreed && effects.now - row.at >= operatorWait;
    if (settled) {
      confirm(effects, row);
    } else if (late) {
      Code code = row.sentAt == TimePoint{} ? Code::notLeading : Code::changeUnsure;
      effects.send(row.from, OperatorResponse{row.requestId, static_cast<int>(code), "accord", codeText(code), 0, 0});
    } else if (!row.agreed && (row.sentAt == TimePoint{} || effects.now - row.sentAt >= passAgain)) {
      passOn(effects, found->first, row);
    }
    found = settled || late ? asked.erase(found) : std::next(found);
  }
}

bool Core::readersHave(const Asked& row, TimePoint now) const {
  if (now - membersMovedAt < timing.readerAckTimeout || replicatedLog->commit() < row.index ||
      replicatedLog->memberChangePending())
    return false;
  if (row.term != replicatedLog->election.term() || round.index < row.index ||
      round.having.size() < replicatedLog->election.quorum() || !round.answered.count(row.leaderAddress))
    return false;
  for (const auto& [address, applied] : round.appliedByReader)
    if (applied < row.index) return false;
  return true;
}

void Core::askReaders(Effects& effects) {
  if (effects.now - round.at < readersEvery) return;
  const Asked* furthest = nullptr;
  for (const auto& [requestId, row] : asked)
    if (row.agreed && (!furthest || row.index > furthest->index)) furthest = &row;
  if (!furthest) return;
  round = ReadersRound{round.id + 1, furthest->index, furthest->term, effects.now, {}, {}, {}};
  for (const auto& member : replicatedLog->members())
    effects.send(member.address, ReadersRequest{round.id, round.index, round.term});
}

void Core::onReadersAsk(Effects& effects, const std::string& from, const ReadersRequest& ask) {
  bool knowsReaders = effects.now - startedAt >= timing.readerAckTimeout;
  ReadersResponse reply{ask.roundId, self.id, knowsReaders && replicatedLog->hasSynced(ask.index, ask.term), {}};
  for (const auto& [address, row] : agents)
    if (effects.now - row.at < timing.readerAckTimeout)
      reply.readers.push_back(Reader{address, row.applied, (effects.now - row.at).count()});
  effects.send(from, reply);
}

void Core::onReadersReply(Effects& effects, const std::string& from, const ReadersResponse& reply) {
  if (reply.roundId != round.id) return;
  bool votes = false;
  for (const auto& member : replicatedLog->members()) votes = votes || (member.id == reply.core && member.votes);
  if (!votes) return;
  round.answered.insert(from);
  if (reply.has) round.having.insert(reply.core);
  for (const auto& reader : reply.readers) {
    auto& applied = round.appliedByReader[reader.address];
    applied = std::max(applied, reader.applied);
  }
  settleAsked(effects);
}

}  // namespace tt
