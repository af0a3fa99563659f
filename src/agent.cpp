#include "agent.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr Span roundEvery = 250ms;
constexpr Span newsEvery = 250ms;
constexpr Span parentSilent = 800ms;
constexpr Span suspectFor = 5s;
constexpr Span followerKept = 1s;
constexpr Span behindMost = 150ms;
constexpr std::size_t recentMost = 1024;
}  // namespace

Agent::Agent(AgentProps agentProps) : props(std::move(agentProps)) {}

Strings Agent::coreAddresses() const {
  std::set<std::string> addresses;
  for (const auto& member : members) addresses.insert(member.address);
  // Seeds are asked until the members are known, and again whenever too few of those answer.
  if (addresses.empty() || stamp == Moment{} || suspects.count("cores"))
    for (const auto& seed : props.seeds) addresses.insert(seed);
  return Strings(addresses.begin(), addresses.end());
}

std::vector<CellMark> Agent::cellMarks() const {
  std::vector<CellMark> rows;
  for (const auto& [locality, news] : cells) rows.push_back(CellMark{locality, news.term, news.sequence});
  return rows;
}

void Agent::askEnds(Desk& desk) {
  // What counts as applied here is what the proxy beside this agent has applied too.
  auto rows = cellMarks();
  std::uint64_t applied = view.index();
  for (const auto& [address, at] : proxies) {
    if (desk.now - at > 1s) continue;
    applied = std::min(applied, proxyApplied[address]);
    for (auto& row : rows) {
      CellMark known{row.locality, 0, 0};
      for (const auto& mark : proxyMarks[address])
        if (mark.locality == row.locality) known = mark;
      if (std::make_pair(known.term, known.sequence) < std::make_pair(row.term, row.sequence)) row = known;
    }
  }
  for (const auto& address : coreAddresses()) {
    auto& core = cores[address];
    while (core.asks.size() > 16) core.asks.erase(core.asks.begin());
    core.asks[++askCount] = desk.now;
    desk.send(address, EndsAsk{askCount, props.name, props.locality, applied, rows, fresh(desk.now)});
  }
}

void Agent::onEnds(Desk& desk, const std::string& from, const EndsReply& reply) {
  auto& core = cores[from];
  auto asked = core.asks.find(reply.askId);
  if (asked == core.asks.end()) return;
  if (!core.heard || asked->second >= core.askedAt) {
    core.askedAt = asked->second;
    core.reply = reply;
    core.heard = true;
  }
  core.asks.erase(core.asks.begin(), std::next(asked));
  knownCommit = std::max(knownCommit, reply.commit);
  if (members.empty() || (reply.commit >= knownCommit && reply.commit >= view.index())) members = reply.members;
  watch = reply.watch;
  weighFreshness(desk);
}

// What may have been agreed by the time these cores were asked. A leader that speaks for its term, with nobody heard
// of a higher one, knows all that was ever acknowledged; without it, whatever enough cores may hold counts.
std::optional<std::uint64_t> Agent::neededBy(const std::vector<const CoreRow*>& heard, std::size_t voters) const {
  std::size_t quorum = voters / 2 + 1;
  if (heard.size() < voters - quorum + 1) return std::nullopt;
  std::uint64_t highest = 0;
  for (auto* core : heard) highest = std::max(highest, core->reply.term);
  for (auto* core : heard)
    if (core->reply.leads && core->reply.term == highest) return core->reply.commit;
  std::vector<std::uint64_t> ends;
  for (auto* core : heard) ends.push_back(core->reply.lastIndex);
  std::sort(ends.rbegin(), ends.rend());
  std::size_t silent = voters - heard.size();
  return ends[quorum - silent - 1];
}

void Agent::weighFreshness(Desk& desk) {
  std::vector<const CoreRow*> heard;
  std::set<std::string> seen;
  std::size_t voters = 0;
  for (const auto& member : members) {
    if (!member.votes) continue;
    ++voters;
    auto core = cores.find(member.address);
    if (core != cores.end() && core->second.heard && core->second.reply.core == member.id) heard.push_back(&core->second);
  }
  if (voters == 0) return;
  std::sort(heard.begin(), heard.end(), [](const CoreRow* one, const CoreRow* other) { return one->askedAt > other->askedAt; });
  for (std::size_t count = 1; count <= heard.size(); ++count) {
    std::vector<const CoreRow*> newest(heard.begin(), heard.begin() + static_cast<std::ptrdiff_t>(count));
    auto needed = neededBy(newest, voters);
    if (!needed || *needed > view.index()) continue;
    stamp = std::max(stamp, newest.back()->askedAt);
    break;
  }
  if (fresh(desk.now))
    suspects.erase("cores");
  else
    suspects["cores"] = desk.now + suspectFor;
}

void Agent::drawParent(Desk& desk) {
  for (auto suspect = suspects.begin(); suspect != suspects.end();)
    suspect = desk.now >= suspect->second ? suspects.erase(suspect) : std::next(suspect);
  Strings order = watch;
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const auto& address : coreAddresses()) ranked.emplace_back(rendezvous(props.address, address), address);
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
  knownCommit = std::max(knownCommit, news.commit);
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
  if (view.index() >= knownCommit) behindSince = Moment{};
  if (!view.members().empty()) members = view.members();
  weighFreshness(desk);
}

void Agent::onNewsAsk(Desk& desk, const std::string& from, std::uint64_t applied, const std::vector<CellMark>& known) {
  NewsMsg news{knownCommit, {}, {}};
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
  if (marks.stamp) desk.send(from, marks);
}

void Agent::tick(Desk& desk) {
  if (desk.now - roundAt >= roundEvery) {
    roundAt = desk.now;
    askEnds(desk);
  }
  drawParent(desk);
  if (knownCommit > view.index() && behindSince == Moment{}) behindSince = desk.now;
  if (!parent.empty() && desk.now - newsAt >= newsEvery) {
    newsAt = desk.now;
    desk.send(parent, NewsAsk{props.address, view.index(), cellMarks()});
  }
  // A copy seen to be old is mended at its source, whatever the tree does.
  if (behindSince != Moment{} && desk.now - behindSince > behindMost && desk.now - mendAt > behindMost) {
    mendAt = desk.now;
    const CoreRow* best = nullptr;
    std::string bestAddress;
    for (const auto& [address, core] : cores)
      if (core.heard && desk.now - core.askedAt < 1s && (!best || core.reply.commit > best->reply.commit)) {
        best = &core;
        bestAddress = address;
      }
    if (best && best->reply.commit > view.index()) {
      desk.note("mended at source", bestAddress);
      desk.send(bestAddress, NewsAsk{props.address, view.index(), cellMarks()});
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
    onEnds(desk, from, *reply);
  } else if (auto* news = std::get_if<NewsMsg>(&message)) {
    onNews(desk, *news);
  } else if (auto* ask = std::get_if<NewsAsk>(&message)) {
    followers[from] = desk.now;
    onNewsAsk(desk, from, ask->applied, ask->cells);
  } else if (auto* cellNews = std::get_if<CellNews>(&message)) {
    auto& kept = cells[cellNews->locality];
    if (!takeCellNews(kept, *cellNews)) return;
    spread(desk, message);
  } else if (auto* newMarks = std::get_if<MarksMsg>(&message)) {
    if (newMarks->stamp <= marks.stamp) return;
    marks = *newMarks;
    spread(desk, message);
  } else if (auto* feed = std::get_if<FeedAsk>(&message)) {
    proxies[from] = desk.now;
    proxyMarks[from] = feed->cells;
    proxyApplied[from] = feed->applied;
    bool known = stamp != Moment{};
    bool lags = feed->applied < view.index() || feed->applied == 0 || feed->cells.size() < cells.size();
    for (const auto& mark : feed->cells)
      if (auto kept = cells.find(mark.locality); kept != cells.end())
        lags = lags || std::make_pair(mark.term, mark.sequence) <
                           std::make_pair(kept->second.term, kept->second.sequence);
    if (lags)
      onNewsAsk(desk, from, feed->applied, feed->cells);
    else if (marks.stamp)
      desk.send(from, marks);
    desk.send(from, FeedReply{feed->sentAt, known ? (desk.now - stamp).count() : 0, view.index(), known});
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

std::string Agent::condition(Moment now) const {
  JsonObject whole;
  whole["agent"] = Json(props.name);
  whole["fresh"] = Json(fresh(now));
  whole["freshAgeMs"] = jsonNumber(stamp == Moment{} ? -1 : static_cast<double>(inMs(now - stamp)));
  whole["revision"] = jsonNumber(static_cast<double>(view.revision()));
  whole["applied"] = jsonNumber(static_cast<double>(view.index()));
  whole["follows"] = Json(parent);
  JsonArray children, watched;
  for (const auto& [address, at] : followers) children.push_back(Json(address));
  for (const auto& address : watch) watched.push_back(Json(address));
  whole["followers"] = Json(children);
  whole["watches"] = Json(watched);
  JsonObject counters;
  for (const auto& [kind, count] : journal.counts()) counters[kind] = jsonNumber(static_cast<double>(count));
  whole["counters"] = Json(counters);
  return Json(whole).serialize(true);
}

}  // namespace tt
