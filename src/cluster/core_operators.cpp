#include <algorithm>

#include "core.hpp"

namespace tt {
namespace {
constexpr Span agentKept = 2s;
constexpr Span readersEvery = 50ms;
constexpr Span operatorWait = 6s;
constexpr Span passAgain = 700ms;
constexpr std::size_t mostAsked = 1024;
}  // namespace

namespace {
std::string touchedBy(const std::string& body) {
  auto read = readJson(body);
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
    effects.send(from, OperatorResponse{ask.askId, static_cast<int>(Code::changesFull), "changes",
                                        codeText(Code::changesFull), 0, 0});
    return;
  }
  Asked row;
  row.from = from;
  row.askId = ask.askId;
  row.at = effects.now;
  row.ask = ask;
  std::string life = self.id + "/" + std::to_string(startedAt.time_since_epoch().count());
  if (row.ask.changeId.empty()) row.ask.changeId = life + "/" + std::to_string(++askCount);
  asked[life + "/" + std::to_string(++askCount)] = row;
  settleAsked(effects);
}

void Core::onChangeReply(Effects& effects, const std::string& from, const ChangeResponse& reply) {
  auto found = asked.find(reply.askId);
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
  if (code == Code::notLeading || code == Code::changeUnsure) return;
  effects.send(row.from, OperatorResponse{row.askId, reply.code, reply.subject, reply.text, reply.revision, 0});
  asked.erase(found);
}

void Core::settleAsked(Effects& effects) {
  for (auto row = asked.begin(); row != asked.end();) {
    auto& ask = row->second;
    if (ask.agreed) {
      if (readersHave(ask, effects.now) || effects.now - ask.agreedAt >= timing.readersWait ||
          !settings.defences.stands(Defence::ackWaits)) {
        std::uint64_t reached = 0;
        for (const auto& [address, agent] : agents)
          reached += agent.relays && effects.now - agent.at < agentKept && agent.applied >= ask.index;
        effects.note("change acked", ask.ask.changeId, static_cast<std::int64_t>(ask.index));
        effects.note("ack wait ms", ask.ask.changeId, inMs(effects.now - ask.agreedAt));
        effects.note("change in force", ask.ask.changeId + " touches" + touchedBy(ask.ask.body),
                     static_cast<std::int64_t>(ask.revision));
        effects.send(ask.from, OperatorResponse{ask.askId,
                                                static_cast<int>(Code::changeTaken),
                                                {},
                                                codeText(Code::changeTaken),
                                                ask.revision,
                                                reached});
        row = asked.erase(row);
        continue;
      }
    } else if (effects.now - ask.at >= operatorWait) {
      Code code = ask.sentAt == Moment{} ? Code::notLeading : Code::changeUnsure;
      effects.send(ask.from, OperatorResponse{ask.askId, static_cast<int>(code), "accord", codeText(code), 0, 0});
      row = asked.erase(row);
      continue;
    } else if (ask.sentAt == Moment{} || effects.now - ask.sentAt >= passAgain) {
      ChangeRequest change{row->first,       ask.ask.body,          ask.ask.whole,  ask.ask.ifRevision,
                           ask.ask.changeId, ask.ask.sinceRevision, ask.ask.manner, ask.ask.toRevision};
      if (replicatedLog->leads(effects.now)) {
        ask.sentAt = effects.now;
        effects.send(self.address, change);
      } else if (auto leader = replicatedLog->leaderAddress(); !leader.empty() && leader != self.address) {
        ask.sentAt = effects.now;
        effects.send(leader, change);
      }
    }
    ++row;
  }
}

bool Core::readersHave(const Asked& row, Moment now) const {
  if (now - membersMovedAt < timing.readersWait || replicatedLog->commit() < row.index ||
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
  for (const auto& [askId, row] : asked)
    if (row.agreed && (!furthest || row.index > furthest->index)) furthest = &row;
  if (!furthest) return;
  round = ReadersRound{round.id + 1, furthest->index, furthest->term, effects.now, {}, {}, {}};
  for (const auto& member : replicatedLog->members())
    effects.send(member.address, ReadersRequest{round.id, round.index, round.term});
}

void Core::onReadersAsk(Effects& effects, const std::string& from, const ReadersRequest& ask) {
  bool knowsReaders = effects.now - startedAt >= timing.readersWait;
  ReadersResponse reply{ask.roundId, self.id, knowsReaders && replicatedLog->hasSynced(ask.index, ask.term), {}};
  for (const auto& [address, row] : agents)
    if (effects.now - row.at < timing.readersWait)
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
