#include "core.hpp"

#include <algorithm>

namespace tt {
namespace {
constexpr Duration missedEvery = 200ms;
constexpr Duration watchKept = 2s;
constexpr Duration watchSought = 250ms;
constexpr Duration agentKept = 2s;
constexpr Duration followerKept = 1s;
constexpr Duration platformFirst = 600ms;
constexpr Duration stallAfter = 800ms;
constexpr std::size_t rootRanks = 4;
}  // namespace

Strings selectUpstreams(const std::string& agent, const Strings& fellows, std::size_t most) {
  std::uint64_t ownRank = rendezvousHash("rank", agent);
  std::vector<std::pair<std::uint64_t, std::string>> lower;
  for (const auto& fellow : fellows)
    if (std::uint64_t rank = rendezvousHash("rank", fellow); fellow != agent && rank < ownRank)
      lower.emplace_back(rank, fellow);
  if (lower.size() < rootRanks) return {};
  std::sort(lower.begin(), lower.end());
  lower.resize(std::max(rootRanks, lower.size() * 3 / 4));
  for (auto& [weight, fellow] : lower) weight = rendezvousHash(agent, fellow);
  std::sort(lower.rbegin(), lower.rend());
  Strings drawn;
  for (std::size_t at = 0; at < lower.size() && at < most; ++at) drawn.push_back(lower[at].second);
  return drawn;
}

Core::Core(CoreSettings coreSettings, const RecoveredState& recovered, std::mt19937_64& randomSource, TimePoint now)
    : settings(std::move(coreSettings)), startedAt(now), membersMovedAt(now) {
  std::string id = recovered.identity;
  if (id.empty()) {
    char mark[20];
    std::snprintf(mark, sizeof mark, "%08x", static_cast<unsigned>(randomSource()));
    id = settings.name + "-" + mark;
  } else {
    idSynced = true;
  }
  self = Member{id, settings.name, settings.address, settings.zone, true};
  replicatedLog = std::make_unique<ReplicatedLog>(self, settings.maxRecordBytes, settings.defences);
  clusterView = std::make_unique<ClusterView>(
      ReaderSettings{self.id, self.address, self.zone, settings.seeds, false, settings.defences});
  replicatedLog->restore(recovered, now);
  noteCommit(now);
  for (const auto& zone : settings.zones) cellFor(zone);
  for (const auto& [duty, vote] : recovered.votes)
    if (duty.rfind("cell/", 0) == 0) cellFor(duty.substr(5)).election.restore(vote, now);
  replicatedLog->onEntryApplied = [this](Effects& effects, const LogEntry& entry) {
    effects.note("applied", self.id, static_cast<std::int64_t>(entry.index));
    clusterView->noteVersions(replicatedLog->configuration());
    if (entry.kind == static_cast<int>(EntryKind::members)) membersMovedAt = effects.now;
    if (entry.kind == static_cast<int>(EntryKind::whole)) return;
    spread(effects, NewsMsg{replicatedLog->commit(), {entry}, {}});
  };
  replicatedLog->membersChanged = [this](Effects& effects) {
    membersMovedAt = effects.now;
    for (auto& [zone, cell] : cells)
      cell->election.setVoters(replicatedLog->members(), replicatedLog->outgoingMembers());
  };
}

Cell& Core::cellFor(const std::string& zone) {
  auto& cell = cells[zone];
  if (!cell) {
    cell = std::make_unique<Cell>(zone, self, zone == settings.zone, settings.defences, settings.cell);
    cell->election.restore(Vote{}, startedAt);
    cell->election.setVoters(replicatedLog->members(), replicatedLog->outgoingMembers());
    cell->setMachines(machinesWithStores());
    cell->allNews = &lastNews;
    cell->versions = &clusterView->versions();
    cell->publish = [this](Effects& effects, const CellNews& news) { keepNews(effects, news, true); };
  }
  return *cell;
}

void Core::spread(Effects& effects, const Message& message) {
  for (const auto& [address, at] : followers)
    if (effects.now - at < followerKept) effects.send(address, message);
}

void Core::keepNews(Effects& effects, const CellNews& news, bool own) {
  auto& kept = lastNews[news.zone];
  if (!applyCellNews(kept, news)) return askMissed(effects, news);
  spread(effects, news);
  if (!own) return;
  for (const auto& member : replicatedLog->members())
    if (member.id != self.id) effects.send(member.address, news);
}

void Core::askMissed(Effects& effects, const CellNews& news) {
  const auto& kept = lastNews[news.zone];
  if (std::make_pair(news.term, news.sequence) <= std::make_pair(kept.term, kept.sequence) ||
      effects.now - missedAt < missedEvery)
    return;
  missedAt = effects.now;
  std::vector<CellVersion> marks;
  for (const auto& [zone, row] : lastNews) marks.push_back(CellVersion{zone, row.term, row.sequence});
  effects.send(news.holder, NewsAsk{self.address, replicatedLog->configuration().index(), marks});
}

Strings Core::watchFor(const std::string& agent, TimePoint now) const {
  Strings fellows;
  for (const auto& [address, row] : agents)
    if (row.relays && now - row.at < agentKept) fellows.push_back(address);
  return selectUpstreams(agent, fellows, 3);
}

void Core::onEnds(Effects& effects, const std::string& from, const LogEndRequest& ask) {
  auto& row = agents[from];
  row.id = ask.agent;
  row.zone = ask.zone;
  row.applied = ask.applied;
  row.fresh = ask.fresh;
  row.relays = ask.relays;
  row.at = effects.now;
  for (const auto& mark : ask.cells)
    if (auto cell = cells.find(mark.zone); cell != cells.end()) cell->second->recordAgentMark(from, mark, effects.now);
  if (!replicatedLog->formed()) return;
  if (!platformHeard && !settings.platformAddress.empty() && effects.now - startedAt < platformFirst) return;
  if (ask.relays && effects.now - row.watchAt >= (row.watch.empty() ? watchSought : watchKept)) {
    row.watch = watchFor(from, effects.now);
    row.watchAt = effects.now;
  }
  LogEndResponse reply{ask.requestId,
                       self.id,
                       replicatedLog->election.term(),
                       replicatedLog->hasCommittedInTerm(),
                       replicatedLog->lastSyncedIndex(),
                       replicatedLog->commit(),
                       replicatedLog->members(),
                       ask.relays ? row.watch : Strings{},
                       clusterView->machineListKnown(),
                       0,
                       clusterView->machineListDigest(),
                       {},
                       clusterView->versions().exportRecent(effects.now, timing.oldWeightsTimeout, true)};
  if (reply.machineListKnown) reply.machineListAgeNs = (effects.now - clusterView->machineListAt()).count();
  if (reply.machineListKnown && ask.machineListDigest != reply.machineListDigest)
    reply.machines = clusterView->machines();
  effects.send(from, reply);
}

void Core::onNewsAsk(Effects& effects, const std::string& from, const NewsAsk& ask) {
  followers[from] = effects.now;
  auto news = replicatedLog->newsAfter(ask.applied);
  effects.send(from, news);
  std::map<std::string, CellVersion> cellVersionsByZone;
  for (const auto& mark : ask.cells) cellVersionsByZone[mark.zone] = mark;
  for (const auto& [zone, kept] : lastNews) {
    auto found = cellVersionsByZone.find(zone);
    if (found == cellVersionsByZone.end() ||
        std::make_pair(found->second.term, found->second.sequence) < std::make_pair(kept.term, kept.sequence))
      effects.send(from, kept);
  }
}

void Core::takeMarks(Effects& effects) {
  Uint64 services = digestOfServices();
  if (cellDigest == clusterView->machineListDigest() && services == servicesDigest) return;
  cellDigest = clusterView->machineListDigest();
  servicesDigest = services;
  auto machines = machinesWithStores();
  for (const auto& machine : machines) cellFor(machine.zone);
  for (auto& [zone, cell] : cells) cell->setMachines(machines);
  effects.note("machines", self.id, static_cast<std::int64_t>(machines.size()));
}

Uint64 Core::digestOfServices() const {
  const auto& configuration = replicatedLog->configuration();
  Uint64 digest = 1;
  for (const auto& store : configuration.stores())
    digest = rendezvousHash(std::to_string(digest) + store.address, store.service + store.zone);
  for (const auto& [name, service] : configuration.services())
    if (service.kind == ServiceKind::engine) digest = rendezvousHash(std::to_string(digest), name);
  return digest;
}

std::vector<Machine> Core::machinesWithStores() const {
  auto machines = clusterView->machines();
  for (auto& machine : machines) {
    const auto* service = replicatedLog->configuration().findService(machine.service);
    if (service && service->kind == ServiceKind::engine) machine.kind = "language";
  }
  for (const auto& store : replicatedLog->configuration().stores()) {
    Machine row{store.service + "@" + store.address, store.address, store.zone, "store", false, {}, {}, {}, 0};
    row.service = store.service;
    machines.push_back(std::move(row));
  }
  return machines;
}

void Core::tick(Effects& effects) {
  seekFleet(effects);
  noteCommit(effects.now);
  bool stalled = diskWait > stallAfter;
  if (stalled != diskStalled) {
    diskStalled = stalled;
    effects.note(stalled ? "disk stalled" : "disk well", self.id, toMilliseconds(diskWait));
  }
  bool mayCampaign = !diskStalled && leaveAt == TimePoint{};
  replicatedLog->election.mayCampaign = mayCampaign;
  for (auto& [zone, cell] : cells) cell->election.mayCampaign = mayCampaign;
  replicatedLog->tick(effects);
  clusterView->noteVersions(replicatedLog->configuration());
  clusterView->settleVersions(startedAt, effects.now);
  for (auto& [zone, cell] : cells) cell->tick(effects, replicatedLog->configuration());
  bool lists = replicatedLog->leads(effects.now) || !clusterView->machineListKnown() ||
               effects.now - clusterView->machineListAt() >= timing.maxListAge;
  if (!settings.platformAddress.empty() && lists && effects.now - platformAt >= timing.listPollInterval) {
    platformAt = effects.now;
    effects.send(settings.platformAddress, MachinesAsk{toNanoseconds(effects.now)});
  }
  if (replicatedLog->formed() && effects.now - endsAt >= timing.logEndPollInterval) {
    askLogEnds(effects);
  }
  settleReads(effects);
  takeMarks(effects);
  settleAsked(effects);
  askReaders(effects);
  askCopies(effects);
  for (auto row = agents.begin(); row != agents.end();)
    row = effects.now - row->second.at > 10s ? agents.erase(row) : std::next(row);
  for (auto row = followers.begin(); row != followers.end();)
    row = effects.now - row->second > followerKept ? followers.erase(row) : std::next(row);
}

bool Core::mayCommand(const ControlAsk& command, TimePoint now) const {
  return std::any_of(cells.begin(), cells.end(), [&](const auto& row) { return row.second->mayCommand(command, now); });
}

void Core::giveToCell(Effects& effects, const std::string& from, const std::string& zone, const Message& message) {
  if (auto cell = cells.find(zone); cell != cells.end()) cell->second->handle(effects, from, message);
}

void Core::handle(Effects& effects, const std::string& from, const Message& message) {
  if (auto* ask = std::get_if<LogEndRequest>(&message)) {
    onEnds(effects, from, *ask);
  } else if (auto* news = std::get_if<NewsAsk>(&message)) {
    onNewsAsk(effects, from, *news);
  } else if (auto* cellNews = std::get_if<CellNews>(&message)) {
    keepNews(effects, *cellNews, false);
  } else if (std::holds_alternative<HelloRequest>(message)) {
    if (idSynced || replicatedLog->formed())
      effects.send(from, HelloResponse{self, replicatedLog->formed(), replicatedLog->members()});
  } else if (auto* reply = std::get_if<HelloResponse>(&message)) {
    hellos[from] = *reply;
  } else if (auto* form = std::get_if<FormRequest>(&message)) {
    for (const auto& row : form->members)
      if (row.id == self.id && idSynced) replicatedLog->form(effects, form->members);
  } else if (auto* join = std::get_if<JoinRequest>(&message)) {
    auto leader = replicatedLog->leaderAddress();
    if (replicatedLog->leads(effects.now))
      replicatedLog->handle(effects, from, message);
    else if (!leader.empty() && leader != self.address && from == join->self.address)
      effects.send(leader, message);
  } else if (auto* machines = std::get_if<MachinesReply>(&message)) {
    platformHeard = true;
    clusterView->offerMarks(machines->machines, fromNanoseconds(machines->askedAt));
    takeMarks(effects);
  } else if (auto* listed = std::get_if<MarksMsg>(&message)) {
    if (listed->age >= 0) clusterView->offerMarks(listed->machines, effects.now - Duration(listed->age));
    takeMarks(effects);
  } else if (auto* named = std::get_if<NamingsMsg>(&message)) {
    clusterView->learnVersions(named->namings, effects.now);
  } else if (auto* ends = std::get_if<LogEndResponse>(&message)) {
    clusterView->handle(effects, from, *ends, replicatedLog->configuration());
    takeMarks(effects);
    settleReads(effects);
  } else if (auto* readersAsk = std::get_if<ReadersRequest>(&message)) {
    onReadersAsk(effects, from, *readersAsk);
  } else if (auto* readersReply = std::get_if<ReadersResponse>(&message)) {
    if (readersReply->roundId == copiesRound)
      onCopiesReply(*readersReply);
    else
      onReadersReply(effects, from, *readersReply);
  } else if (auto* operatorAsk = std::get_if<OperatorRequest>(&message)) {
    onOperator(effects, from, *operatorAsk);
  } else if (auto* read = std::get_if<ReadRequest>(&message)) {
    onRead(effects, from, *read);
  } else if (auto* change = std::get_if<ChangeRequest>(&message)) {
    replicatedLog->proposeChange(effects, from, *change);
  } else if (auto* changeReply = std::get_if<ChangeResponse>(&message)) {
    onChangeReply(effects, from, *changeReply);
  } else if (auto* lookup = std::get_if<LookupMsg>(&message)) {
    giveToCell(effects, from, lookup->zone, message);
  } else if (auto* started = std::get_if<PrefillStarted>(&message)) {
    giveToCell(effects, from, started->zone, message);
  } else if (auto* ended = std::get_if<PrefillEnded>(&message)) {
    giveToCell(effects, from, ended->zone, message);
  } else if (auto* watch = std::get_if<WatchMsg>(&message)) {
    giveToCell(effects, from, watch->zone, message);
  } else if (auto* report = std::get_if<Report>(&message)) {
    for (auto& [zone, cell] : cells)
      if (cell->cacheNodes().count(report->worker)) cell->handle(effects, from, message);
  } else if (auto* control = std::get_if<ControlReply>(&message)) {
    for (auto& [zone, cell] : cells)
      if (cell->cacheNodes().count(control->worker)) cell->handle(effects, from, message);
  } else {
    auto duty = std::visit(
        [](const auto& value) -> std::string {
          using T = std::decay_t<decltype(value)>;
          if constexpr (std::is_same_v<T, VoteRequest> || std::is_same_v<T, VoteResponse> ||
                        std::is_same_v<T, Heartbeat> || std::is_same_v<T, HeartbeatResponse>)
            return value.duty;
          else
            return "accord";
        },
        message);
    if (duty == "accord")
      replicatedLog->handle(effects, from, message);
    else if (duty.rfind("cell/", 0) == 0 && (cells.size() < 256 || cells.count(duty.substr(5))))
      cellFor(duty.substr(5)).handle(effects, from, message);
  }
}

void Core::resign(Effects& effects) {
  if (leaveAt != TimePoint{}) return;
  leaveAt = effects.now;
  for (auto& [zone, cell] : cells) cell->election.resign(effects);
  replicatedLog->leave(effects);
  askCopies(effects);
}

}  // namespace tt
