#include "agent.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr Duration roundSooner = 60ms;
constexpr Duration newsEvery = 250ms;
constexpr Duration parentSilent = 800ms;
constexpr Duration suspectFor = 5s;
constexpr Duration followerKept = 1s;
constexpr Duration behindMost = 150ms;
constexpr std::size_t recentMost = 1024;
}  // namespace

Agent::Agent(AgentSettings agentSettings)
    : settings(std::move(agentSettings)),
      clusterView(
          ReaderSettings{settings.name, settings.address, settings.zone, settings.seeds, true, settings.defences}) {}

std::vector<CellVersion> Agent::cellMarks() const {
  std::vector<CellVersion> rows;
  for (const auto& [zone, news] : cells) rows.push_back(CellVersion{zone, news.term, news.sequence});
  return rows;
}

std::uint64_t Agent::appliedBelow(TimePoint now) const {
  if (now - startedAt < timing.readerAckTimeout + 70ms) return 0;
  std::uint64_t applied = view.index();
  for (const auto& [address, at] : proxies)
    if (now - at < timing.readerAckTimeout + 70ms) applied = std::min(applied, proxyApplied.at(address));
  return applied;
}

void Agent::askEnds(Effects& effects) {
  roundAt = effects.now;
  auto rows = cellMarks();
  for (const auto& [address, at] : proxies) {
    if (effects.now - at > 1s) continue;
    for (auto& row : rows) {
      CellVersion known{row.zone, 0, 0};
      for (const auto& mark : proxyMarks[address])
        if (mark.zone == row.zone) known = mark;
      if (std::make_pair(known.term, known.sequence) < std::make_pair(row.term, row.sequence)) row = known;
    }
  }
  toldApplied = appliedBelow(effects.now);
  clusterView.ask(effects, toldApplied, rows, view);
}

void Agent::drawParent(Effects& effects) {
  for (auto suspect = suspects.begin(); suspect != suspects.end();)
    suspect = effects.now >= suspect->second ? suspects.erase(suspect) : std::next(suspect);
  Strings order = clusterView.watch();
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& address : clusterView.coreAddresses(view))
    ranked.emplace_back(rendezvousHash(settings.address, address), address);
  std::sort(ranked.rbegin(), ranked.rend());
  for (const auto& [weight, address] : ranked) order.push_back(address);
  if (order.empty()) return;
  bool silent = !parent.empty() && effects.now - std::max(parentHeard, parentSince) > parentSilent;
  bool behind = behindSince != TimePoint{} && effects.now - behindSince > 3 * behindMost;
  if (silent || behind) {
    suspects[parent] = effects.now + suspectFor;
    behindSince = TimePoint{};
    effects.note("parent dropped", parent);
  }
  std::string drawn;
  for (const auto& address : order)
    if (!suspects.count(address)) {
      drawn = address;
      break;
    }
  if (drawn.empty()) drawn = order[effects.randomBelow(order.size())];
  if (drawn != parent) {
    parent = drawn;
    parentSince = effects.now;
    newsAt = TimePoint{};
    effects.note("follows", parent);
  }
}

void Agent::spread(Effects& effects, const Message& message) {
  for (const auto& [address, at] : followers)
    if (effects.now - at < followerKept) effects.send(address, message);
  for (const auto& [address, at] : proxies)
    if (effects.now - at < followerKept) effects.send(address, message);
}

void Agent::onNews(Effects& effects, const NewsMsg& news) {
  clusterView.observeCommit(news.commit);
  for (const auto& snapshot : news.snapshots) {
    if (snapshot.index <= view.index()) continue;
    if (!view.adopt(snapshot)) continue;
    clusterView.noteVersions(view);
    recent.clear();
    spread(effects, NewsMsg{news.commit, {}, {snapshot}});
    effects.note("capture taken", settings.name, static_cast<std::int64_t>(snapshot.index));
  }
  NewsMsg passed{news.commit, {}, {}};
  for (const auto& entry : news.entries) {
    if (entry.index != view.index() + 1) continue;
    view.apply(entry);
    clusterView.noteVersions(view);
    recent.push_back(entry);
    if (recent.size() > recentMost) recent.pop_front();
    passed.entries.push_back(entry);
    effects.note("applied", settings.name, static_cast<std::int64_t>(entry.index));
  }
  if (!passed.entries.empty()) spread(effects, passed);
  if (view.index() >= clusterView.knownCommit()) behindSince = TimePoint{};
  clusterView.updateCompleteness(effects.now, view);
}

void Agent::onNewsAsk(Effects& effects, const std::string& from, std::uint64_t applied,
                      const std::vector<CellVersion>& known) {
  NewsMsg news{clusterView.knownCommit(), {}, {}};
  std::uint64_t reach = recent.empty() ? view.index() : recent.front().index - 1;
  if (applied < reach) {
    news.snapshots.push_back(view.snapshot());
  } else {
    for (const auto& entry : recent)
      if (entry.index > applied && news.entries.size() < 256) news.entries.push_back(entry);
  }
  effects.send(from, news);
  for (const auto& [zone, kept] : cells) {
    bool newer = true;
    for (const auto& mark : known)
      if (mark.zone == zone && std::make_pair(mark.term, mark.sequence) >= std::make_pair(kept.term, kept.sequence))
        newer = false;
    if (newer) effects.send(from, kept);
  }
}

void Agent::tick(Effects& effects) {
  if (startedAt == TimePoint{}) startedAt = effects.now;
  bool moved = appliedBelow(effects.now) > toldApplied && effects.now - roundAt >= roundSooner;
  if (moved || effects.now - roundAt >= timing.logEndPollInterval) askEnds(effects);
  if (fresh(effects.now) != wasFresh) {
    wasFresh = !wasFresh;
    effects.note(wasFresh ? "fresh" : "stale", settings.name);
  }
  drawParent(effects);
  if (clusterView.knownCommit() > view.index() && behindSince == TimePoint{}) behindSince = effects.now;
  if (!parent.empty() && effects.now - newsAt >= newsEvery) {
    newsAt = effects.now;
    effects.send(parent, NewsAsk{settings.address, view.index(), cellMarks()});
  }
  if (behindSince != TimePoint{} && effects.now - behindSince > behindMost && effects.now - mendAt > behindMost) {
    mendAt = effects.now;
    if (auto core = clusterView.furthestCore(effects.now, view.index()); !core.empty()) {
      effects.note("mended at source", core);
      effects.send(core, NewsAsk{settings.address, view.index(), cellMarks()});
    }
  }
  for (auto row = proxies.begin(); row != proxies.end();) {
    if (effects.now - row->second > 5s) {
      proxyMarks.erase(row->first);
      proxyApplied.erase(row->first);
      row = proxies.erase(row);
    } else {
      ++row;
    }
  }
  for (auto row = followers.begin(); row != followers.end();)
    row = effects.now - row->second > followerKept ? followers.erase(row) : std::next(row);
}

void Agent::passToCell(Effects& effects, const std::string& zone, const Message& message) {
  if (auto cell = cells.find(zone); cell != cells.end()) effects.send(cell->second.holder, message);
}

void Agent::handle(Effects& effects, const std::string& from, const Message& message) {
  if (from == parent) parentHeard = effects.now;
  if (auto* reply = std::get_if<LogEndResponse>(&message)) {
    clusterView.handle(effects, from, *reply, view);
  } else if (auto* news = std::get_if<NewsMsg>(&message)) {
    onNews(effects, *news);
  } else if (auto* ask = std::get_if<NewsAsk>(&message)) {
    followers[from] = effects.now;
    onNewsAsk(effects, from, ask->applied, ask->cells);
  } else if (auto* cellNews = std::get_if<CellNews>(&message)) {
    auto& kept = cells[cellNews->zone];
    if (!applyCellNews(kept, *cellNews)) return;
    spread(effects, message);
  } else if (auto* feed = std::get_if<FeedAsk>(&message)) {
    proxies[from] = effects.now;
    proxyMarks[from] = feed->cells;
    proxyApplied[from] = feed->applied;
    bool known = clusterView.completeAsOf() != TimePoint{};
    bool lags = feed->applied < view.index() || feed->applied == 0 || feed->cells.size() < cells.size();
    for (const auto& mark : feed->cells)
      if (auto kept = cells.find(mark.zone); kept != cells.end())
        lags =
            lags || std::make_pair(mark.term, mark.sequence) < std::make_pair(kept->second.term, kept->second.sequence);
    if (lags) onNewsAsk(effects, from, feed->applied, feed->cells);
    if (clusterView.machineListKnown() && feed->machineListDigest != clusterView.machineListDigest())
      effects.send(from, MarksMsg{(effects.now - clusterView.machineListAt()).count(), clusterView.machines()});
    effects.send(from,
                 FeedReply{feed->sentAt, known ? (effects.now - clusterView.completeAsOf()).count() : 0, view.index(),
                           known, clusterView.versions().exportRecent(effects.now, timing.oldWeightsTimeout, false)});
  } else if (auto* lookup = std::get_if<LookupMsg>(&message)) {
    LookupMsg passed = *lookup;
    passed.replyTo = settings.address;
    passToCell(effects, passed.zone, passed);
  } else if (auto* started = std::get_if<PrefillStarted>(&message)) {
    passToCell(effects, started->zone, message);
  } else if (auto* ended = std::get_if<PrefillEnded>(&message)) {
    passToCell(effects, ended->zone, message);
  } else if (auto* watchMsg = std::get_if<WatchMsg>(&message)) {
    WatchMsg passed = *watchMsg;
    passed.replyTo = settings.address;
    passToCell(effects, passed.zone, passed);
  } else if (std::holds_alternative<LookupReply>(message) || std::holds_alternative<TransferDone>(message)) {
    for (const auto& [address, at] : proxies) effects.send(address, message);
  }
}

bool Agent::feedsProxy(TimePoint now) const {
  return std::any_of(proxies.begin(), proxies.end(), [&](const auto& row) { return now - row.second < 1s; });
}

std::string Agent::condition(TimePoint now) const {
  JsonObject whole;
  whole["agent"] = Json(settings.name);
  whole["fresh"] = Json(fresh(now));
  whole["freshAgeMs"] = jsonNumber(clusterView.completeAsOf() == TimePoint{}
                                       ? -1
                                       : static_cast<double>(toMilliseconds(now - clusterView.completeAsOf())));
  whole["revision"] = jsonNumber(static_cast<double>(view.revision()));
  whole["applied"] = jsonNumber(static_cast<double>(view.index()));
  whole["follows"] = Json(parent);
  JsonArray children, watched;
  for (const auto& [address, at] : followers) children.push_back(Json(address));
  for (const auto& address : clusterView.watch()) watched.push_back(Json(address));
  whole["followers"] = Json(children);
  whole["watches"] = Json(watched);
  JsonObject counters;
  for (const auto& [kind, count] : journal.counts()) counters[kind] = jsonNumber(static_cast<double>(count));
  whole["counters"] = Json(counters);
  return Json(whole).serialize(true);
}

}  // namespace tt
