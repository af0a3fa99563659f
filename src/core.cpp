#include "core.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr Span helloEvery = 300ms;
constexpr Span joinEvery = 1s;
constexpr Span missedEvery = 200ms;
constexpr Span watchKept = 2s;
constexpr Span watchSought = 250ms;
constexpr Span leaderSilent = 3s;
constexpr Span agentKept = 2s;
constexpr Span followerKept = 1s;
constexpr Span platformFirst = 600ms;
constexpr Span readersEvery = 50ms;
constexpr Span operatorWait = 6s;
constexpr Span passAgain = 700ms;
constexpr Span stallAfter = 800ms;
constexpr std::size_t mostAsked = 1024;
constexpr std::size_t rootRanks = 4;
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

Strings drawWatch(const std::string& agent, const Strings& fellows, std::size_t most) {
  std::uint64_t ownRank = rendezvous("rank", agent);
  std::vector<std::pair<std::uint64_t, std::string>> lower;
  for (const auto& fellow : fellows)
    if (std::uint64_t rank = rendezvous("rank", fellow); fellow != agent && rank < ownRank) lower.emplace_back(rank, fellow);
  if (lower.size() < rootRanks) return {};
  std::sort(lower.begin(), lower.end());
  lower.resize(std::max(rootRanks, lower.size() * 3 / 4));
  for (auto& [weight, fellow] : lower) weight = rendezvous(agent, fellow);
  std::sort(lower.rbegin(), lower.rend());
  Strings drawn;
  for (std::size_t at = 0; at < lower.size() && at < most; ++at) drawn.push_back(lower[at].second);
  return drawn;
}

Core::Core(CoreProps coreProps, const Recovered& recovered, std::mt19937_64& dice, Moment now)
    : props(std::move(coreProps)), startedAt(now) {
  std::string id = recovered.identity;
  if (id.empty()) {
    char mark[20];
    std::snprintf(mark, sizeof mark, "%08x", static_cast<unsigned>(dice()));
    id = props.name + "-" + mark;
  } else {
    idSynced = true;
  }
  self = Member{id, props.name, props.address, props.locality, true};
  accord = std::make_unique<Accord>(self, props.recordRoom, props.defences);
  outlook = std::make_unique<Outlook>(ReaderProps{self.id, self.address, self.locality, props.seeds, false, props.defences});
  accord->restore(recovered, now);
  for (const auto& locality : props.localities) cellFor(locality);
  for (const auto& [duty, vote] : recovered.votes)
    if (duty.rfind("cell/", 0) == 0) cellFor(duty.substr(5)).ballot.restore(vote, now);
  accord->entryApplied = [this](Desk& desk, const Entry& entry) {
    desk.note("applied", self.id, static_cast<std::int64_t>(entry.index));
    if (entry.kind == static_cast<int>(EntryKind::whole)) return;
    spread(desk, NewsMsg{accord->commit(), {entry}, {}});
  };
  accord->membersChanged = [this](Desk& desk) {
    membersMovedAt = desk.now;
    for (auto& [locality, cell] : cells) cell->ballot.setVoters(accord->members());
  };
}

Cell& Core::cellFor(const std::string& locality) {
  auto& cell = cells[locality];
  if (!cell) {
    cell = std::make_unique<Cell>(locality, self, locality == props.locality, props.defences, props.cell);
    cell->ballot.restore(Vote{}, startedAt);
    cell->ballot.setVoters(accord->members());
    cell->setMachines(machinesWithStores());
    cell->allNews = &lastNews;
    cell->publish = [this](Desk& desk, const CellNews& news) { keepNews(desk, news, true); };
  }
  return *cell;
}

void Core::spread(Desk& desk, const Message& message) {
  for (const auto& [address, at] : followers)
    if (desk.now - at < followerKept) desk.send(address, message);
}

void Core::keepNews(Desk& desk, const CellNews& news, bool own) {
  auto& kept = lastNews[news.locality];
  if (!takeCellNews(kept, news)) return askMissed(desk, news);
  spread(desk, news);
  if (!own) return;
  for (const auto& member : accord->members())
    if (member.id != self.id) desk.send(member.address, news);
}

void Core::askMissed(Desk& desk, const CellNews& news) {
  const auto& kept = lastNews[news.locality];
  if (std::make_pair(news.term, news.sequence) <= std::make_pair(kept.term, kept.sequence) || desk.now - missedAt < missedEvery) return;
  missedAt = desk.now;
  std::vector<CellMark> marks;
  for (const auto& [locality, row] : lastNews) marks.push_back(CellMark{locality, row.term, row.sequence});
  desk.send(news.holder, NewsAsk{self.address, accord->blueprint().index(), marks});
}

void Core::seekFleet(Desk& desk) {
  if (!idSynced) {
    if (idSavedAt == Moment{}) {
      idSavedAt = desk.now;
      desk.save(identityRecord(self.id), [this](Desk&) { idSynced = true; });
    }
    return;
  }
  bool member = false;
  for (const auto& row : accord->members()) member = member || (row.id == self.id && row.address == self.address);
  if (accord->formed() && member && (accord->ballot.won() || desk.now - accord->heardLeaderAt() < leaderSilent)) return;
  if (desk.now - helloAt >= helloEvery) {
    helloAt = desk.now;
    for (const auto& seed : props.seeds)
      if (seed != self.address) desk.send(seed, HelloAsk{self, accord->formed()});
    considerForming(desk);
  }
  if (desk.now - joinAt < joinEvery) return;
  joinAt = desk.now;
  std::set<std::string> told;
  for (const auto& [seed, hello] : hellos)
    for (const auto& row : hello.members) told.insert(row.address);
  for (const auto& row : accord->members()) told.insert(row.address);
  told.erase(self.address);
  for (const auto& address : told) desk.send(address, JoinAsk{self});
}

void Core::considerForming(Desk& desk) {
  if (accord->formed() || !props.mayForm) return;
  std::vector<Member> first{self};
  if (std::find(props.seeds.begin(), props.seeds.end(), self.address) == props.seeds.end() && props.cell.seedsForm) return;
  for (const auto& seed : props.seeds) {
    if (seed == self.address) continue;
    auto found = hellos.find(seed);
    if (found == hellos.end() || found->second.formed) return;
    first.push_back(found->second.self);
  }
  std::sort(first.begin(), first.end(), [](const Member& one, const Member& other) { return one.id < other.id; });
  if (first.front().id != self.id) return;
  for (const auto& row : first)
    if (row.id != self.id) desk.send(row.address, FormMsg{first});
  accord->form(desk, first);
}

Strings Core::watchFor(const std::string& agent, Moment now) const {
  Strings fellows;
  for (const auto& [address, row] : agents)
    if (row.relays && now - row.at < agentKept) fellows.push_back(address);
  return drawWatch(agent, fellows, 3);
}

void Core::onEnds(Desk& desk, const std::string& from, const EndsAsk& ask) {
  auto& row = agents[from];
  row.id = ask.agent;
  row.locality = ask.locality;
  row.applied = ask.applied;
  row.fresh = ask.fresh;
  row.relays = ask.relays;
  row.at = desk.now;
  for (const auto& mark : ask.cells)
    if (auto cell = cells.find(mark.locality); cell != cells.end()) cell->second->agentHas(from, mark, desk.now);
  if (!accord->formed()) return;
  if (!platformHeard && !props.platformAddress.empty() && desk.now - startedAt < platformFirst) return;
  if (ask.relays && desk.now - row.watchAt >= (row.watch.empty() ? watchSought : watchKept)) {
    row.watch = watchFor(from, desk.now);
    row.watchAt = desk.now;
  }
  EndsReply reply{ask.askId, self.id, accord->ballot.term(), accord->speaksForTerm(), accord->syncedEnd(),
                  accord->commit(), accord->members(), ask.relays ? row.watch : Strings{}, outlook->marksKnown(),
                  0, outlook->marksDigest(), {}};
  if (reply.marksKnown) reply.marksAge = (desk.now - outlook->marksAt()).count();
  if (reply.marksKnown && ask.marksDigest != reply.marksDigest) reply.machines = outlook->machines();
  desk.send(from, reply);
}

void Core::onNewsAsk(Desk& desk, const std::string& from, const NewsAsk& ask) {
  followers[from] = desk.now;
  auto news = accord->newsAfter(ask.applied);
  desk.send(from, news);
  std::map<std::string, CellMark> marksByLocality;
  for (const auto& mark : ask.cells) marksByLocality[mark.locality] = mark;
  for (const auto& [locality, kept] : lastNews) {
    auto found = marksByLocality.find(locality);
    if (found == marksByLocality.end() ||
        std::make_pair(found->second.term, found->second.sequence) < std::make_pair(kept.term, kept.sequence))
      desk.send(from, kept);
  }
}

void Core::onOperator(Desk& desk, const std::string& from, const OperatorAsk& ask) {
  if (asked.size() >= mostAsked) {
    desk.send(from, OperatorReply{ask.askId, static_cast<int>(Code::changesFull), "changes",
                                  codeText(Code::changesFull), 0, 0});
    return;
  }
  Asked row;
  row.from = from;
  row.askId = ask.askId;
  row.at = desk.now;
  row.ask = ask;
  if (row.ask.changeId.empty()) row.ask.changeId = self.id + "/" + std::to_string(startedAt.time_since_epoch().count()) + "/" + std::to_string(++askCount);
  asked[self.id + "/" + std::to_string(++askCount)] = row;
  settleAsked(desk);
}

void Core::onChangeReply(Desk& desk, const std::string& from, const ChangeReply& reply) {
  auto found = asked.find(reply.askId);
  if (found == asked.end()) return;
  auto& row = found->second;
  auto code = static_cast<Code>(reply.code);
  if (code == Code::changeTaken) {
    if (!row.agreed) row.agreedAt = desk.now;
    row.agreed = true;
    row.revision = reply.revision;
    row.index = reply.index;
    row.term = reply.term;
    row.leaderAddress = from;
    settleAsked(desk);
    return;
  }
  if (code == Code::notLeading || code == Code::changeUnsure) return;
  desk.send(row.from, OperatorReply{row.askId, reply.code, reply.subject, reply.text, reply.revision, 0});
  asked.erase(found);
}

void Core::settleAsked(Desk& desk) {
  for (auto row = asked.begin(); row != asked.end();) {
    auto& ask = row->second;
    if (ask.agreed) {
      if (readersHave(ask, desk.now) || desk.now - ask.agreedAt >= pace.readersWait || !props.defences.stands(Defence::ackWaits)) {
        std::uint64_t reached = 0;
        for (const auto& [address, agent] : agents) reached += agent.relays && desk.now - agent.at < agentKept && agent.applied >= ask.index;
        desk.note("change acked", ask.ask.changeId, static_cast<std::int64_t>(ask.index));
        desk.note("ack wait ms", ask.ask.changeId, inMs(desk.now - ask.agreedAt));
        desk.note("change in force", ask.ask.changeId + " touches" + touchedBy(ask.ask.body), static_cast<std::int64_t>(ask.revision));
        desk.send(ask.from, OperatorReply{ask.askId, static_cast<int>(Code::changeTaken), {},
                                          codeText(Code::changeTaken), ask.revision, reached});
        row = asked.erase(row);
        continue;
      }
    } else if (desk.now - ask.at >= operatorWait) {
      Code code = ask.sentAt == Moment{} ? Code::notLeading : Code::changeUnsure;
      desk.send(ask.from, OperatorReply{ask.askId, static_cast<int>(code), "accord", codeText(code), 0, 0});
      row = asked.erase(row);
      continue;
    } else if (ask.sentAt == Moment{} || desk.now - ask.sentAt >= passAgain) {
      ChangeAsk change{row->first, ask.ask.body, ask.ask.whole, ask.ask.ifRevision, ask.ask.changeId, ask.ask.sinceRevision,
                       ask.ask.manner, ask.ask.toRevision};
      if (accord->leads(desk.now)) {
        ask.sentAt = desk.now;
        desk.send(self.address, change);
      } else if (auto leader = accord->leaderAddress(); !leader.empty() && leader != self.address) {
        ask.sentAt = desk.now;
        desk.send(leader, change);
      }
    }
    ++row;
  }
}

bool Core::readersHave(const Asked& row, Moment now) const {
  if (membersMovedAt != Moment{} && now - membersMovedAt < pace.readersWait) return false;
  if (row.term != accord->ballot.term() || round.index < row.index || round.having.size() < accord->ballot.quorum() || !round.answered.count(row.leaderAddress)) return false;
  for (const auto& [address, applied] : round.appliedByReader)
    if (applied < row.index) return false;
  return true;
}

void Core::askReaders(Desk& desk) {
  if (desk.now - round.at < readersEvery) return;
  const Asked* furthest = nullptr;
  for (const auto& [askId, row] : asked)
    if (row.agreed && (!furthest || row.index > furthest->index)) furthest = &row;
  if (!furthest) return;
  round = ReadersRound{round.id + 1, furthest->index, furthest->term, desk.now, {}, {}, {}};
  for (const auto& member : accord->members()) desk.send(member.address, ReadersAsk{round.id, round.index, round.term});
}

void Core::onReadersAsk(Desk& desk, const std::string& from, const ReadersAsk& ask) {
  ReadersReply reply{ask.roundId, self.id, accord->hasSynced(ask.index, ask.term), {}};
  for (const auto& [address, row] : agents)
    if (desk.now - row.at < pace.readersWait) reply.readers.push_back(Reader{address, row.applied, (desk.now - row.at).count()});
  desk.send(from, reply);
}

void Core::onReadersReply(Desk& desk, const std::string& from, const ReadersReply& reply) {
  if (reply.roundId != round.id) return;
  bool votes = false;
  for (const auto& member : accord->members()) votes = votes || (member.id == reply.core && member.votes);
  if (!votes) return;
  round.answered.insert(from);
  if (reply.has) round.having.insert(reply.core);
  for (const auto& reader : reply.readers) {
    auto& applied = round.appliedByReader[reader.address];
    applied = std::max(applied, reader.applied);
  }
  settleAsked(desk);
}

void Core::takeMarks(Desk& desk) {
  Count stores = 1;
  for (const auto& store : accord->blueprint().stores()) stores = rendezvous(std::to_string(stores) + store.address, store.service + store.locality);
  if (cellDigest == outlook->marksDigest() && stores == storesDigest) return;
  cellDigest = outlook->marksDigest();
  storesDigest = stores;
  auto machines = machinesWithStores();
  for (const auto& machine : machines) cellFor(machine.locality);
  for (auto& [locality, cell] : cells) cell->setMachines(machines);
  desk.note("machines", self.id, static_cast<std::int64_t>(machines.size()));
}

std::vector<Machine> Core::machinesWithStores() const {
  auto machines = outlook->machines();
  for (const auto& store : accord->blueprint().stores()) {
    Machine row{store.service + "@" + store.address, store.address, store.locality, "store", false, {}, {}, {}, 0};
    row.service = store.service;
    machines.push_back(std::move(row));
  }
  return machines;
}

void Core::tick(Desk& desk) {
  seekFleet(desk);
  bool stalled = diskWait > stallAfter;
  if (stalled != diskStalled) {
    diskStalled = stalled;
    desk.note(stalled ? "disk stalled" : "disk well", self.id, inMs(diskWait));
  }
  accord->ballot.mayStand = !diskStalled;
  for (auto& [locality, cell] : cells) cell->ballot.mayStand = !diskStalled;
  accord->tick(desk);
  for (auto& [locality, cell] : cells) cell->tick(desk, accord->blueprint());
  bool lists = accord->leads(desk.now) || !outlook->marksKnown() || desk.now - outlook->marksAt() >= pace.listOld;
  if (!props.platformAddress.empty() && lists && desk.now - platformAt >= pace.listEvery) {
    platformAt = desk.now;
    desk.send(props.platformAddress, MachinesAsk{inNs(desk.now)});
  }
  if (accord->formed() && desk.now - endsAt >= pace.roundEvery) {
    endsAt = desk.now;
    outlook->ask(desk, accord->blueprint().index(), {}, accord->blueprint());
  }
  takeMarks(desk);
  settleAsked(desk);
  askReaders(desk);
  for (auto row = agents.begin(); row != agents.end();)
    row = desk.now - row->second.at > 10s ? agents.erase(row) : std::next(row);
  for (auto row = followers.begin(); row != followers.end();)
    row = desk.now - row->second > followerKept ? followers.erase(row) : std::next(row);
}

void Core::take(Desk& desk, const std::string& from, const Message& message) {
  if (auto* ask = std::get_if<EndsAsk>(&message)) {
    onEnds(desk, from, *ask);
  } else if (auto* news = std::get_if<NewsAsk>(&message)) {
    onNewsAsk(desk, from, *news);
  } else if (auto* cellNews = std::get_if<CellNews>(&message)) {
    keepNews(desk, *cellNews, false);
  } else if (std::holds_alternative<HelloAsk>(message)) {
    if (idSynced || accord->formed())
      desk.send(from, HelloReply{self, accord->formed(), accord->members()});
  } else if (auto* reply = std::get_if<HelloReply>(&message)) {
    hellos[from] = *reply;
  } else if (auto* form = std::get_if<FormMsg>(&message)) {
    for (const auto& row : form->members)
      if (row.id == self.id && idSynced) accord->form(desk, form->members);
  } else if (auto* join = std::get_if<JoinAsk>(&message)) {
    auto leader = accord->leaderAddress();
    if (accord->leads(desk.now))
      accord->take(desk, from, message);
    else if (!leader.empty() && leader != self.address && from == join->self.address)
      desk.send(leader, message);
  } else if (auto* machines = std::get_if<MachinesReply>(&message)) {
    platformHeard = true;
    outlook->offerMarks(machines->machines, fromNs(machines->askedAt));
    takeMarks(desk);
  } else if (auto* listed = std::get_if<MarksMsg>(&message)) {
    if (listed->age >= 0) outlook->offerMarks(listed->machines, desk.now - Span(listed->age));
    takeMarks(desk);
  } else if (auto* ends = std::get_if<EndsReply>(&message)) {
    outlook->take(desk, from, *ends, accord->blueprint());
    takeMarks(desk);
  } else if (auto* readersAsk = std::get_if<ReadersAsk>(&message)) {
    onReadersAsk(desk, from, *readersAsk);
  } else if (auto* readersReply = std::get_if<ReadersReply>(&message)) {
    onReadersReply(desk, from, *readersReply);
  } else if (auto* operatorAsk = std::get_if<OperatorAsk>(&message)) {
    onOperator(desk, from, *operatorAsk);
  } else if (auto* change = std::get_if<ChangeAsk>(&message)) {
    accord->takeChange(desk, from, *change);
  } else if (auto* changeReply = std::get_if<ChangeReply>(&message)) {
    onChangeReply(desk, from, *changeReply);
  } else if (auto* lookup = std::get_if<LookupMsg>(&message)) {
    if (auto cell = cells.find(lookup->locality); cell != cells.end()) cell->second->take(desk, from, message);
  } else if (auto* watch = std::get_if<WatchMsg>(&message)) {
    if (auto cell = cells.find(watch->locality); cell != cells.end()) cell->second->take(desk, from, message);
  } else if (auto* report = std::get_if<Report>(&message)) {
    for (auto& [locality, cell] : cells)
      if (cell->keepers().count(report->worker)) cell->take(desk, from, message);
  } else if (auto* control = std::get_if<ControlReply>(&message)) {
    for (auto& [locality, cell] : cells)
      if (cell->keepers().count(control->worker)) cell->take(desk, from, message);
  } else {
    auto duty = std::visit(
        [](const auto& value) -> std::string {
          using T = std::decay_t<decltype(value)>;
          if constexpr (std::is_same_v<T, BallotAsk> || std::is_same_v<T, BallotReply> || std::is_same_v<T, HoldMsg> ||
                        std::is_same_v<T, HoldReply>)
            return value.duty;
          else
            return "accord";
        },
        message);
    if (duty == "accord")
      accord->take(desk, from, message);
    else if (duty.rfind("cell/", 0) == 0 && (cells.size() < 256 || cells.count(duty.substr(5))))
      cellFor(duty.substr(5)).take(desk, from, message);
  }
}

void Core::resign(Desk& desk) {
  for (auto& [locality, cell] : cells) cell->ballot.resign(desk);
  accord->ballot.resign(desk);
}

std::string Core::condition(Moment now) const {
  JsonObject whole;
  whole["core"] = Json(self.id);
  whole["locality"] = Json(self.locality);
  whole["formed"] = Json(accord->formed());
  whole["diskStalled"] = Json(diskStalled);
  whole["confirmed"] = Json(readsConfirmed(now));
  whole["listAgeMs"] = jsonNumber(outlook->marksKnown() ? static_cast<double>(inMs(now - outlook->marksAt())) : -1);
  whole["revision"] = jsonNumber(static_cast<double>(accord->blueprint().revision()));
  whole["commit"] = jsonNumber(static_cast<double>(accord->commit()));
  whole["logEnd"] = jsonNumber(static_cast<double>(accord->logEnd()));
  whole["pendingChanges"] = jsonNumber(static_cast<double>(accord->pendingChanges() + asked.size()));
  JsonArray memberRows;
  for (const auto& member : accord->members()) {
    JsonObject row;
    row["id"] = Json(member.id);
    row["address"] = Json(member.address);
    row["locality"] = Json(member.locality);
    row["votes"] = Json(member.votes);
    memberRows.push_back(Json(row));
  }
  whole["members"] = Json(memberRows);
  JsonObject duties;
  auto duty = [&](const Ballot& ballot) {
    JsonObject row;
    row["term"] = jsonNumber(static_cast<double>(ballot.term()));
    row["holder"] = Json(ballot.holder());
    row["here"] = Json(ballot.holds(now));
    duties[ballot.duty()] = Json(row);
  };
  duty(accord->ballot);
  JsonObject workers;
  for (const auto& [locality, cell] : cells) {
    duty(cell->ballot);
    if (!cell->ballot.holds(now)) continue;
    for (const auto& [name, keeper] : cell->keepers()) {
      JsonObject row;
      row["locality"] = Json(locality);
      row["kind"] = Json(keeper.machine.kind);
      row["weights"] = Json(keeper.last.weights);
      row["model"] = Json(keeper.last.model);
      row["running"] = jsonNumber(keeper.last.running);
      row["leaving"] = Json(keeper.machine.leaving);
      row["indexConfirmed"] = Json(keeper.confirmed);
      row["kept"] = jsonNumber(static_cast<double>(keeper.kept.size()));
      row["reportAgeMs"] = jsonNumber(keeper.known ? static_cast<double>(inMs(now - keeper.heardAt)) : -1);
      row["rollout"] = Json(cell->rolloutState(name));
      workers[name] = Json(row);
    }
  }
  whole["duties"] = Json(duties);
  whole["workers"] = Json(workers);
  JsonObject agentRows;
  for (const auto& [address, agent] : agents) {
    if (!agent.relays) continue;
    JsonObject row;
    row["address"] = Json(address);
    row["locality"] = Json(agent.locality);
    row["applied"] = jsonNumber(static_cast<double>(agent.applied));
    row["fresh"] = Json(agent.fresh);
    row["heardMs"] = jsonNumber(static_cast<double>(inMs(now - agent.at)));
    agentRows[agent.id] = Json(row);
  }
  whole["agents"] = Json(agentRows);
  JsonObject counters;
  for (const auto& [kind, count] : journal.counts()) counters[kind] = jsonNumber(static_cast<double>(count));
  whole["counters"] = Json(counters);
  return Json(whole).serialize(true);
}

}  // namespace tt
