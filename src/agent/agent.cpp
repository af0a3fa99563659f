#include "agent.hpp"

#include <algorithm>

namespace tt {
namespace {
/// The agent polls the cores for the end of the log at timing.logEndPollInterval, and already after this interval if
/// the applied index that it reports has risen, because acknowledgements of changes wait for that index.
constexpr Duration minLogEndPollInterval = 60ms;
/// The upstream forwards updates by itself. A request at this interval recovers lost ones and renews the subscription.
constexpr Duration updatePollInterval = 250ms;
/// An upstream that has sent nothing for this long is replaced.
constexpr Duration upstreamTimeout = 800ms;
/// For this long a replaced upstream is not selected again.
constexpr Duration suspicionDuration = 5s;
/// Followers and proxies that have sent no request for this long get no more updates.
constexpr Duration followerTimeout = 1s;
/// If the applied index lags behind the known commit index for this long, the missing entries are requested from a core
/// directly; after three times this long, the upstream is replaced.
constexpr Duration maxLag = 150ms;
/// The state of a proxy that has sent nothing for this long is deleted.
constexpr Duration proxyTimeout = 5s;
/// A proxy counts as active for this long after its last request.
constexpr Duration proxyActiveTimeout = 1s;
/// Margin on timing.readerAckTimeout, which is how long a response of this agent may keep a proxy fresh.
constexpr Duration ackSlack = 70ms;
/// The number of applied entries kept in memory. Followers that lag further behind get a snapshot.
constexpr std::size_t maxRecentEntries = 1024;
/// Limit of one update. The follower gets the rest with its next request.
constexpr std::size_t maxEntriesPerUpdate = 256;
}  // namespace

Agent::Agent(AgentSettings agentSettings)
    : settings(std::move(agentSettings)),
      clusterView(
          ReaderSettings{settings.name, settings.address, settings.zone, settings.seeds, true, settings.defences}) {}

std::vector<CellVersion> Agent::cellVersions() const {
  std::vector<CellVersion> versions;
  for (const auto& [zone, cell] : cells) versions.push_back(CellVersion{zone, cell.term, cell.sequence});
  return versions;
}

/// For readerAckTimeout after a start, proxies that have not contacted this agent yet may still be fresh because of a
/// response of its previous run, so 0 is returned.
std::uint64_t Agent::lowestApplied(TimePoint now) const {
  if (now - startedAt < timing.readerAckTimeout + ackSlack) return 0;
  std::uint64_t applied = view.index();
  for (const auto& [address, at] : proxySeenAt)
    if (now - at < timing.readerAckTimeout + ackSlack) applied = std::min(applied, proxyApplied.at(address));
  return applied;
}

/// Also reports the oldest version of each cell that this agent or one of its active proxies has.
void Agent::pollLogEnds(Effects& effects) {
  logEndPolledAt = effects.now;
  auto lowest = cellVersions();
  for (const auto& [address, at] : proxySeenAt) {
    if (effects.now - at > proxyActiveTimeout) continue;
    for (auto& row : lowest) {
      CellVersion known{row.zone, 0, 0};
      for (const auto& version : proxyCellVersions[address])
        if (version.zone == row.zone) known = version;
      if (std::make_pair(known.term, known.sequence) < std::make_pair(row.term, row.sequence)) row = known;
    }
  }
  reportedApplied = lowestApplied(effects.now);
  clusterView.requestLogEnds(effects, reportedApplied, lowest, view);
}

/// The candidates that the cores propose come first, then all cores, in an order that differs from agent to agent to
/// spread the load. If all candidates were replaced recently, a random one is selected.
void Agent::selectUpstream(Effects& effects) {
  for (auto suspect = suspectedUntil.begin(); suspect != suspectedUntil.end();)
    suspect = effects.now >= suspect->second ? suspectedUntil.erase(suspect) : std::next(suspect);
  Strings candidates = clusterView.upstreamCandidates();
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& address : clusterView.coreAddresses(view))
    ranked.emplace_back(rendezvousHash(settings.address, address), address);
  std::sort(ranked.rbegin(), ranked.rend());
  for (const auto& [weight, address] : ranked) candidates.push_back(address);
  if (candidates.empty()) return;
  bool silent = !upstream.empty() && effects.now - std::max(upstreamHeardAt, upstreamSince) > upstreamTimeout;
  bool lagging = laggingSince != TimePoint{} && effects.now - laggingSince > 3 * maxLag;
  if (silent || lagging) {
    suspectedUntil[upstream] = effects.now + suspicionDuration;
    laggingSince = TimePoint{};
    effects.note("parent dropped", upstream);
  }
  std::string selected;
  for (const auto& address : candidates)
    if (!suspectedUntil.count(address)) {
      selected = address;
      break;
    }
  if (selected.empty()) selected = candidates[effects.randomBelow(candidates.size())];
  if (selected != upstream) {
    upstream = selected;
    upstreamSince = effects.now;
    updatesRequestedAt = TimePoint{};
    effects.note("follows", upstream);
  }
}

void Agent::forwardDownstream(Effects& effects, const Message& message) {
  for (const auto& [address, at] : followerSeenAt)
    if (effects.now - at < followerTimeout) effects.send(address, message);
  for (const auto& [address, at] : proxySeenAt)
    if (effects.now - at < followerTimeout) effects.send(address, message);
}

/// Entries behind a gap are skipped; a later request returns them again.
void Agent::applyUpdate(Effects& effects, const NewsMsg& update) {
  clusterView.observeCommit(update.commit);
  for (const auto& snapshot : update.snapshots) {
    if (snapshot.index <= view.index()) continue;
    if (!view.installSnapshot(snapshot)) continue;
    clusterView.recordAnnouncements(view);
    recentEntries.clear();
    forwardDownstream(effects, NewsMsg{update.commit, {}, {snapshot}});
    effects.note("capture taken", settings.name, static_cast<std::int64_t>(snapshot.index));
  }
  NewsMsg applied{update.commit, {}, {}};
  for (const auto& entry : update.entries) {
    if (entry.index != view.index() + 1) continue;
    view.apply(entry);
    clusterView.recordAnnouncements(view);
    recentEntries.push_back(entry);
    if (recentEntries.size() > maxRecentEntries) recentEntries.pop_front();
    applied.entries.push_back(entry);
    effects.note("applied", settings.name, static_cast<std::int64_t>(entry.index));
  }
  if (!applied.entries.empty()) forwardDownstream(effects, applied);
  if (view.index() >= clusterView.knownCommit()) laggingSince = TimePoint{};
  clusterView.updateCompleteness(effects.now, view);
}

/// Sends a snapshot if the missing entries are no longer in memory. Also sends each cell for which the receiver has not
/// reported the present version.
void Agent::sendUpdates(Effects& effects, const std::string& to, std::uint64_t applied,
                        const std::vector<CellVersion>& known) {
  NewsMsg update{clusterView.knownCommit(), {}, {}};
  std::uint64_t lastCompacted = recentEntries.empty() ? view.index() : recentEntries.front().index - 1;
  if (applied < lastCompacted) {
    update.snapshots.push_back(view.snapshot());
  } else {
    for (const auto& entry : recentEntries)
      if (entry.index > applied && update.entries.size() < maxEntriesPerUpdate) update.entries.push_back(entry);
  }
  effects.send(to, update);
  for (const auto& [zone, cell] : cells) {
    bool newer = true;
    for (const auto& version : known)
      if (version.zone == zone &&
          std::make_pair(version.term, version.sequence) >= std::make_pair(cell.term, cell.sequence))
        newer = false;
    if (newer) effects.send(to, cell);
  }
}

void Agent::tick(Effects& effects) {
  if (startedAt == TimePoint{}) startedAt = effects.now;
  bool advanced = lowestApplied(effects.now) > reportedApplied && effects.now - logEndPolledAt >= minLogEndPollInterval;
  if (advanced || effects.now - logEndPolledAt >= timing.logEndPollInterval) pollLogEnds(effects);
  if (fresh(effects.now) != wasFresh) {
    wasFresh = !wasFresh;
    effects.note(wasFresh ? "fresh" : "stale", settings.name);
  }
  selectUpstream(effects);
  if (clusterView.knownCommit() > view.index() && laggingSince == TimePoint{}) laggingSince = effects.now;
  if (!upstream.empty() && effects.now - updatesRequestedAt >= updatePollInterval) {
    updatesRequestedAt = effects.now;
    effects.send(upstream, NewsAsk{settings.address, view.index(), cellVersions()});
  }
  if (laggingSince != TimePoint{} && effects.now - laggingSince > maxLag && effects.now - catchUpRequestedAt > maxLag) {
    catchUpRequestedAt = effects.now;
    if (auto core = clusterView.furthestCore(effects.now, view.index()); !core.empty()) {
      effects.note("mended at source", core);
      effects.send(core, NewsAsk{settings.address, view.index(), cellVersions()});
    }
  }
  for (auto row = proxySeenAt.begin(); row != proxySeenAt.end();) {
    if (effects.now - row->second > proxyTimeout) {
      proxyCellVersions.erase(row->first);
      proxyApplied.erase(row->first);
      row = proxySeenAt.erase(row);
    } else {
      ++row;
    }
  }
  for (auto row = followerSeenAt.begin(); row != followerSeenAt.end();)
    row = effects.now - row->second > followerTimeout ? followerSeenAt.erase(row) : std::next(row);
}

void Agent::forwardToCell(Effects& effects, const std::string& zone, const Message& message) {
  if (auto cell = cells.find(zone); cell != cells.end()) effects.send(cell->second.holder, message);
}

void Agent::handle(Effects& effects, const std::string& from, const Message& message) {
  if (from == upstream) upstreamHeardAt = effects.now;
  if (auto* reply = std::get_if<LogEndResponse>(&message)) {
    clusterView.handle(effects, from, *reply, view);
  } else if (auto* update = std::get_if<NewsMsg>(&message)) {
    applyUpdate(effects, *update);
  } else if (auto* request = std::get_if<NewsAsk>(&message)) {
    followerSeenAt[from] = effects.now;
    sendUpdates(effects, from, request->applied, request->cells);
  } else if (auto* cellUpdate = std::get_if<CellNews>(&message)) {
    auto& cell = cells[cellUpdate->zone];
    if (!applyCellUpdate(cell, *cellUpdate)) return;
    forwardDownstream(effects, message);
  } else if (auto* poll = std::get_if<FeedAsk>(&message)) {
    proxySeenAt[from] = effects.now;
    proxyCellVersions[from] = poll->cells;
    proxyApplied[from] = poll->applied;
    bool known = clusterView.completeAsOf() != TimePoint{};
    bool lagging = poll->applied < view.index() || poll->applied == 0 || poll->cells.size() < cells.size();
    for (const auto& version : poll->cells)
      if (auto cell = cells.find(version.zone); cell != cells.end())
        lagging = lagging || std::make_pair(version.term, version.sequence) <
                                 std::make_pair(cell->second.term, cell->second.sequence);
    if (lagging) sendUpdates(effects, from, poll->applied, poll->cells);
    if (clusterView.machineListKnown() && poll->machineListDigest != clusterView.machineListDigest())
      effects.send(from, MarksMsg{(effects.now - clusterView.machineListAt()).count(), clusterView.machines()});
    effects.send(from,
                 FeedReply{poll->sentAt, known ? (effects.now - clusterView.completeAsOf()).count() : 0, view.index(),
                           known, clusterView.versions().exportRecent(effects.now, timing.oldWeightsTimeout, false)});
  } else if (auto* lookup = std::get_if<LookupMsg>(&message)) {
    LookupMsg forwarded = *lookup;
    forwarded.replyTo = settings.address;
    forwardToCell(effects, forwarded.zone, forwarded);
  } else if (auto* started = std::get_if<PrefillStarted>(&message)) {
    forwardToCell(effects, started->zone, message);
  } else if (auto* ended = std::get_if<PrefillEnded>(&message)) {
    forwardToCell(effects, ended->zone, message);
  } else if (auto* watchRequest = std::get_if<WatchMsg>(&message)) {
    WatchMsg forwarded = *watchRequest;
    forwarded.replyTo = settings.address;
    forwardToCell(effects, forwarded.zone, forwarded);
  } else if (std::holds_alternative<LookupReply>(message) || std::holds_alternative<TransferDone>(message)) {
    for (const auto& [address, at] : proxySeenAt) effects.send(address, message);
  }
}

bool Agent::feedsProxy(TimePoint now) const {
  return std::any_of(proxySeenAt.begin(), proxySeenAt.end(),
                     [&](const auto& row) { return now - row.second < proxyActiveTimeout; });
}

std::string Agent::condition(TimePoint now) const {
  JsonObject status;
  status["agent"] = Json(settings.name);
  status["fresh"] = Json(fresh(now));
  status["freshAgeMs"] = jsonNumber(clusterView.completeAsOf() == TimePoint{}
                                        ? -1
                                        : static_cast<double>(toMilliseconds(now - clusterView.completeAsOf())));
  status["revision"] = jsonNumber(static_cast<double>(view.revision()));
  status["applied"] = jsonNumber(static_cast<double>(view.index()));
  status["follows"] = Json(upstream);
  JsonArray followers, upstreams;
  for (const auto& [address, at] : followerSeenAt) followers.push_back(Json(address));
  for (const auto& address : clusterView.upstreamCandidates()) upstreams.push_back(Json(address));
  status["followers"] = Json(followers);
  status["watches"] = Json(upstreams);
  JsonObject counters;
  for (const auto& [kind, count] : journal.counts()) counters[kind] = jsonNumber(static_cast<double>(count));
  status["counters"] = Json(counters);
  return Json(status).serialize(true);
}

}  // namespace tt
