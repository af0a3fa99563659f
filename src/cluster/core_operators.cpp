#include <algorithm>

#include "core.hpp"

namespace tt {
namespace {
/// How long after its last request an agent is counted in the number of agents that a change has reached.
constexpr Duration agentTimeout = 2s;
/// How often all cores are asked for their readers while acknowledgements are pending.
constexpr Duration readersRequestInterval = 50ms;
/// How long a change may take to be committed before the operator gets a response without a result.
constexpr Duration operatorTimeout = 6s;
/// After how long without a response a change is sent to the leader again.
constexpr Duration forwardRetryInterval = 700ms;
/// The longest time between the sending of a copy of a change and its processing by a core, not counting time during
/// which the core itself is paused.
constexpr Duration maxCopyAge = operatorTimeout;
constexpr std::size_t maxOpenChanges = 1024;
/// After this many bytes the description of a change is cut off.
constexpr std::size_t maxDescriptionBytes = 300;

/// Lists the configuration items that a change sets, or removes (with `-`), for the journal.
std::string describeTouchedItems(const std::string& body) {
  auto read = parseJson(body);
  std::string text;
  if (!read || !read.value().is<JsonObject>()) return text;
  for (const auto& [section, items] : read.value().get<JsonObject>()) {
    if (!items.is<JsonObject>()) continue;
    for (const auto& [name, item] : items.get<JsonObject>()) {
      if (text.size() > maxDescriptionBytes) return text + " and more";
      text += " " + std::string(item.is<picojson::null>() ? "-" : "") + section + "." + name;
    }
  }
  return text;
}
}  // namespace

void Core::onOperatorRequest(Effects& effects, const std::string& from, const OperatorRequest& request) {
  if (openChanges.size() >= maxOpenChanges) {
    effects.send(from, OperatorResponse{request.requestId, static_cast<int>(Code::changesFull), "changes",
                                        codeText(Code::changesFull), 0, 0});
    return;
  }
  OpenChange row;
  row.from = from;
  row.requestId = request.requestId;
  row.receivedAt = effects.now;
  row.request = request;
  row.commitBeforeCopies = commitBeforeOldestCopy(effects.now);
  if (row.request.changeId.empty()) row.request.changeId = newRequestId();
  openChanges[newRequestId()] = row;
  settleOpenChanges(effects);
}

std::string Core::newRequestId() {
  return self.id + "/" + std::to_string(startedAt.time_since_epoch().count()) + "/" + std::to_string(++requestCount);
}

void Core::recordCommit(TimePoint now) {
  if (commitHistory.empty() || commitHistory.back().second != replicatedLog->commit())
    commitHistory.emplace_back(now, replicatedLog->commit());
  (void)commitBeforeOldestCopy(now);
}

Uint64 Core::commitBeforeOldestCopy(TimePoint now) {
  while (commitHistory.size() > 1 && commitHistory[1].first <= now - maxCopyAge) commitHistory.pop_front();
  return commitHistory.front().second;
}

void Core::onChangeResponse(Effects& effects, const std::string& from, const ChangeResponse& reply) {
  auto found = openChanges.find(reply.requestId);
  if (found == openChanges.end()) return;
  auto& row = found->second;
  auto code = static_cast<Code>(reply.code);
  if (code == Code::changeTaken) {
    if (!row.committed) row.committedAt = effects.now;
    row.committed = true;
    row.revision = reply.revision;
    row.index = reply.index;
    row.term = reply.term;
    row.leaderAddress = from;
    settleOpenChanges(effects);
    return;
  }
  if (row.committed || code == Code::notLeading || code == Code::changeUnsure) return;
  effects.send(row.from, OperatorResponse{row.requestId, reply.code, reply.subject, reply.text, reply.revision, 0});
  openChanges.erase(found);
}

void Core::acknowledge(Effects& effects, const OpenChange& row) {
  std::uint64_t agentsReached = 0;
  for (const auto& [address, agent] : agents)
    agentsReached += agent.relays && effects.now - agent.lastRequestAt < agentTimeout && agent.applied >= row.index;
  effects.note("change acked", row.request.changeId, static_cast<std::int64_t>(row.index));
  effects.note("ack wait ms", row.request.changeId, toMilliseconds(effects.now - row.committedAt));
  effects.note("change in force", row.request.changeId + " touches" + describeTouchedItems(row.request.body),
               static_cast<std::int64_t>(row.revision));
  effects.send(row.from, OperatorResponse{row.requestId,
                                          static_cast<int>(Code::changeTaken),
                                          {},
                                          codeText(Code::changeTaken),
                                          row.revision,
                                          agentsReached});
}

void Core::forwardToLeader(Effects& effects, const std::string& requestId, OpenChange& row) {
  std::string leader = replicatedLog->leads(effects.now) ? self.address : replicatedLog->leaderAddress();
  if (leader.empty() || (leader == self.address && !replicatedLog->leads(effects.now))) return;
  row.sentAt = effects.now;
  effects.send(leader, ChangeRequest{requestId, row.request.body, row.request.complete, row.request.ifRevision,
                                     row.request.changeId, row.request.sinceRevision, row.request.changeFormat,
                                     row.request.toRevision, row.commitBeforeCopies});
}

void Core::settleOpenChanges(Effects& effects) {
  for (auto found = openChanges.begin(); found != openChanges.end();) {
    auto& row = found->second;
    bool settled = row.committed &&
                   (readersHaveApplied(row, effects.now) || effects.now - row.committedAt >= timing.readerAckTimeout ||
                    !settings.defences.isEnabled(Defence::ackWaits));
    bool timedOut = !row.committed && effects.now - row.receivedAt >= operatorTimeout;
    if (settled) {
      acknowledge(effects, row);
    } else if (timedOut) {
      Code code = row.sentAt == TimePoint{} ? Code::notLeading : Code::changeUnsure;
      effects.send(row.from, OperatorResponse{row.requestId, static_cast<int>(code), "accord", codeText(code), 0, 0});
    } else if (!row.committed && (row.sentAt == TimePoint{} || effects.now - row.sentAt >= forwardRetryInterval)) {
      forwardToLeader(effects, found->first, row);
    }
    found = settled || timedOut ? openChanges.erase(found) : std::next(found);
  }
}

bool Core::readersHaveApplied(const OpenChange& row, TimePoint now) const {
  if (now - membershipChangedAt < timing.readerAckTimeout || replicatedLog->commit() < row.index ||
      replicatedLog->membershipChangePending())
    return false;
  if (row.term != replicatedLog->election.term() || readersRound.index < row.index ||
      readersRound.coresWithEntry.size() < replicatedLog->election.quorum() ||
      !readersRound.respondedAddresses.count(row.leaderAddress))
    return false;
  for (const auto& [address, applied] : readersRound.appliedByReader)
    if (applied < row.index) return false;
  return true;
}

void Core::requestReaders(Effects& effects) {
  if (effects.now - readersRound.startedAt < readersRequestInterval) return;
  const OpenChange* latest = nullptr;
  for (const auto& [requestId, row] : openChanges)
    if (row.committed && (!latest || row.index > latest->index)) latest = &row;
  if (!latest) return;
  readersRound = ReadersRound{readersRound.id + 1, latest->index, latest->term, effects.now, {}, {}, {}};
  for (const auto& member : replicatedLog->members())
    effects.send(member.address, ReadersRequest{readersRound.id, readersRound.index, readersRound.term});
}

void Core::onReadersRequest(Effects& effects, const std::string& from, const ReadersRequest& request) {
  bool knowsReaders = effects.now - startedAt >= timing.readerAckTimeout;
  ReadersResponse reply{
      request.roundId, self.id, knowsReaders && replicatedLog->hasSynced(request.index, request.term), {}};
  for (const auto& [address, row] : agents)
    if (effects.now - row.lastRequestAt < timing.readerAckTimeout)
      reply.readers.push_back(Reader{address, row.applied, (effects.now - row.lastRequestAt).count()});
  effects.send(from, reply);
}

void Core::onReadersResponse(Effects& effects, const std::string& from, const ReadersResponse& reply) {
  if (reply.roundId != readersRound.id) return;
  bool isVoter = false;
  for (const auto& member : replicatedLog->members()) isVoter = isVoter || (member.id == reply.core && member.votes);
  if (!isVoter) return;
  readersRound.respondedAddresses.insert(from);
  if (reply.hasEntry) readersRound.coresWithEntry.insert(reply.core);
  for (const auto& reader : reply.readers) {
    auto& applied = readersRound.appliedByReader[reader.address];
    applied = std::max(applied, reader.applied);
  }
  settleOpenChanges(effects);
}

}  // namespace tt
