#include "agent.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr Span roundSooner = 60ms;
constexpr Span newsEvery = 250ms;
constexpr Span parentSilent = 800ms;
constexpr Span suspectFor = 5s;
constexpr Span followerKept = 1s;
constexpr Span behindMost = 150ms;
constexpr std::size_t recentMost = 1024;
}  // namespace

Agent::Agent(AgentProps agentProps)
    : props(std::move(agentProps)),
      outlook(ReaderProps{props.name, props.address, props.locality, props.seeds, true, props.defences}) {}

std::vector<CellMark> Agent::cellMarks() const {
  std::vector<CellMark> rows;
  for (const auto& [locality, news] : cells) rows.push_back(CellMark{locality, news.term, news.sequence});
  return rows;
}

std::uint64_t Agent::appliedBelow(Moment now) const {
  if (proxies.empty() && now - startedAt < pace.readersWait + 70ms) return 0;
  std::uint64_t applied = view.index();
  for (const auto& [address, at] : proxies)
    if (now - at < pace.readersWait + 70ms) applied = std::min(applied, proxyApplied.at(address));
  return applied;
}

void Agent::askEnds(Desk& desk) {
  roundAt = desk.now;
  auto rows = cellMarks();
  for (const auto& [address, at] : proxies) {
    if (desk.now - at > 1s) continue;
    for (auto& row : rows) {
      CellMark known{row.locality, 0, 0};
      for (const auto& mark : proxyMarks[address])
        if (mark.locality == row.locality) known = mark;
      if (std::make_pair(known.term, known.sequence) < std::make_pair(row.term, row.sequence)) row = known;
    }
  }
  toldApplied = appliedBelow(desk.now);
  outlook.ask(desk, toldApplied, rows, view);
}

void Agent::drawParent(Desk& desk) {
  for (auto suspect = suspects.begin(); suspect != suspects.end();)
    suspect = desk.now >= suspect->second ? suspects.erase(suspect) : std::next(suspect);
  Strings order = outlook.watch();
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& address : outlook.coreAddresses(view)) ranked.emplace_back(rendezvous(props.address, address), address);
  std::sort(ranked.rbegin(), ranked.rend());
  for (const auto& [weight, address] : ranked) order.push_back(address);
  if (order.empty()) return;
  bool silent = !parent.empty() && desk.now - std::max(parentHeard, parentSince) > parentSilent;
  bool behind = behindSince != Moment{} && desk.now - behindSince > 3 * behindMost;
  if (silent || behind) {
    suspects[parent] = desk.now + suspectFor;
    behindSince = Moment{};
    desk.note("parent dropped", parent);
  }
  std::string drawn;
  for (const auto& address : order)
    if (!suspects.count(address)) {
      drawn = address;
      break;
    }
  if (drawn.empty()) drawn = order[desk.roll(order.size())];
  if (drawn != parent) {
    parent = drawn;
    parentSince = desk.now;
    newsAt = Moment{};
    desk.note("follows", parent);
  }
}

void Agent::spread(Desk& desk, const Message& message) {
  for (const auto& [address, at] : followers)
    if (desk.now - at < followerKept) desk.send(address, message);
  for (const auto& [address, at] : proxies)
    if (desk.now - at < followerKept) desk.send(address, message);
}

void Agent::onNews(Desk& desk, const NewsMsg& news) {
  outlook.seeCommit(news.commit);
  for (const auto& capture : news.captures) {
    if (capture.index <= view.index()) continue;
    if (!view.adopt(capture)) continue;
    recent.clear();
    spread(desk, NewsMsg{news.commit, {}, {capture}});
    desk.note("capture taken", props.name, static_cast<std::int64_t>(capture.index));
  }
  NewsMsg passed{news.commit, {}, {}};
  for (const auto& entry : news.entries) {
    if (entry.index != view.index() + 1) continue;
    view.apply(entry);
    recent.push_back(entry);
    if (recent.size() > recentMost) recent.pop_front();
    passed.entries.push_back(entry);
    desk.note("applied", props.name, static_cast<std::int64_t>(entry.index));
  }
  if (!passed.entries.empty()) spread(desk, passed);
  if (view.index() >= outlook.knownCommit()) behindSince = Moment{};
  outlook.weigh(desk.now, view);
}

void Agent::onNewsAsk(Desk& desk, const std::string& from, std::uint64_t applied, const std::vector<CellMark>& known) {
  NewsMsg news{outlook.knownCommit(), {}, {}};
  std::uint64_t reach = recent.empty() ? view.index() : recent.front().index - 1;
  if (applied < reach) {
    news.captures.push_back(view.capture());
  } else {
    for (const auto& entry : recent)
      if (entry.index > applied && news.entries.size() < 256) news.entries.push_back(entry);
  }
  desk.send(from, news);
  for (const auto& [locality, kept] : cells) {
    bool newer = true;
    for (const auto& mark : known)
      if (mark.locality == locality &&
          std::make_pair(mark.term, mark.sequence) >= std::make_pair(kept.term, kept.sequence))
        newer = false;
    if (newer) desk.send(from, kept);
  }
}

void Agent::tick(Desk& desk) {
  if (startedAt == Moment{}) startedAt = desk.now;
  bool moved = appliedBelow(desk.now) > toldApplied && desk.now - roundAt >= roundSooner;
  if (moved || desk.now - roundAt >= pace.roundEvery) askEnds(desk);
  if (fresh(desk.now) != wasFresh) {
    wasFresh = !wasFresh;
    desk.note(wasFresh ? "fresh" : "stale", props.name);
  }
  drawParent(desk);
  if (outlook.knownCommit() > view.index() && behindSince == Moment{}) behindSince = desk.now;
  if (!parent.empty() && desk.now - newsAt >= newsEvery) {
    newsAt = desk.now;
    desk.send(parent, NewsAsk{props.address, view.index(), cellMarks()});
  }
  if (behindSince != Moment{} && desk.now - behindSince > behindMost && desk.now - mendAt > behindMost) {
    mendAt = desk.now;
    if (auto core = outlook.furthestCore(desk.now, view.index()); !core.empty()) {
      desk.note("mended at source", core);
      desk.send(core, NewsAsk{props.address, view.index(), cellMarks()});
    }
  }
  for (auto row = proxies.begin(); row != proxies.end();) {
    if (desk.now - row->second > 5s) {
      proxyMarks.erase(row->first);
      proxyApplied.erase(row->first);
      row = proxies.erase(row);
    } else {
      ++row;
    }
  }
  for (auto row = followers.begin(); row != followers.end();)
    row = desk.now - row->second > followerKept ? followers.erase(row) : std::next(row);
}

void Agent::take(Desk& desk, const std::string& from, const Message& message) {
  if (from == parent) parentHeard = desk.now;
  if (auto* reply = std::get_if<EndsReply>(&message)) {
    outlook.take(desk, from, *reply, view);
  } else if (auto* news = std::get_if<NewsMsg>(&message)) {
    onNews(desk, *news);
  } else if (auto* ask = std::get_if<NewsAsk>(&message)) {
    followers[from] = desk.now;
    onNewsAsk(desk, from, ask->applied, ask->cells);
  } else if (auto* cellNews = std::get_if<CellNews>(&message)) {
    auto& kept = cells[cellNews->locality];
    if (!takeCellNews(kept, *cellNews)) return;
    spread(desk, message);
  } else if (auto* feed = std::get_if<FeedAsk>(&message)) {
    proxies[from] = desk.now;
    proxyMarks[from] = feed->cells;
    proxyApplied[from] = feed->applied;
    bool known = outlook.stamp() != Moment{};
    bool lags = feed->applied < view.index() || feed->applied == 0 || feed->cells.size() < cells.size();
    for (const auto& mark : feed->cells)
      if (auto kept = cells.find(mark.locality); kept != cells.end())
        lags = lags || std::make_pair(mark.term, mark.sequence) <
                           std::make_pair(kept->second.term, kept->second.sequence);
    if (lags) onNewsAsk(desk, from, feed->applied, feed->cells);
    if (outlook.marksKnown() && feed->marksDigest != outlook.marksDigest())
      desk.send(from, MarksMsg{(desk.now - outlook.marksAt()).count(), outlook.machines()});
    desk.send(from, FeedReply{feed->sentAt, known ? (desk.now - outlook.stamp()).count() : 0, view.index(), known});
  } else if (auto* lookup = std::get_if<LookupMsg>(&message)) {
    auto cell = cells.find(lookup->locality);
    if (cell == cells.end()) return;
    LookupMsg passed = *lookup;
    passed.replyTo = props.address;
    desk.send(cell->second.holder, passed);
  } else if (auto* watchMsg = std::get_if<WatchMsg>(&message)) {
    auto cell = cells.find(watchMsg->locality);
    if (cell == cells.end()) return;
    WatchMsg passed = *watchMsg;
    passed.replyTo = props.address;
    desk.send(cell->second.holder, passed);
  } else if (std::holds_alternative<LookupReply>(message) || std::holds_alternative<TransferDone>(message)) {
    for (const auto& [address, at] : proxies) desk.send(address, message);
  }
}

bool Agent::feeds(Moment now) const {
  return std::any_of(proxies.begin(), proxies.end(), [&](const auto& row) { return now - row.second < 1s; });
}

std::string Agent::condition(Moment now) const {
  JsonObject whole;
  whole["agent"] = Json(props.name);
  whole["fresh"] = Json(fresh(now));
  whole["freshAgeMs"] = jsonNumber(outlook.stamp() == Moment{} ? -1 : static_cast<double>(inMs(now - outlook.stamp())));
  whole["revision"] = jsonNumber(static_cast<double>(view.revision()));
  whole["applied"] = jsonNumber(static_cast<double>(view.index()));
  whole["follows"] = Json(parent);
  JsonArray children, watched;
  for (const auto& [address, at] : followers) children.push_back(Json(address));
  for (const auto& address : outlook.watch()) watched.push_back(Json(address));
  whole["followers"] = Json(children);
  whole["watches"] = Json(watched);
  JsonObject counters;
  for (const auto& [kind, count] : journal.counts()) counters[kind] = jsonNumber(static_cast<double>(count));
  whole["counters"] = Json(counters);
  return Json(whole).serialize(true);
}

}  // namespace tt
