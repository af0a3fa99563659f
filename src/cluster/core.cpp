#include "core.hpp"

#include <algorithm>

namespace tt {
namespace {
/// How often at most a core requests missed cell updates.
constexpr Duration missedRequestInterval = 200ms;
/// How long an agent keeps its upstreams, and after how long new ones are selected if it has none.
constexpr Duration upstreamsLifetime = 2s;
constexpr Duration upstreamsRetryInterval = 250ms;
/// How long after its last request an agent may still be selected as an upstream.
constexpr Duration agentTimeout = 2s;
/// How long after its last request for updates a subscriber is sent updates.
constexpr Duration subscriberTimeout = 1s;
/// How long a core that has just started waits for the platform's machine list before it responds to readers without
/// it.
constexpr Duration firstListTimeout = 600ms;
/// How long the oldest write may wait for its sync before the disk counts as stalled; the core then gives up its
/// duties.
constexpr Duration syncStallTimeout = 800ms;
/// The number of lowest-ranked peers that have no upstreams among the agents and get updates from the cores.
constexpr std::size_t rootCount = 4;
/// The largest number of upstreams that an agent is assigned.
constexpr std::size_t maxUpstreams = 3;
/// How long an agent that sends no more requests is remembered; checkTiming() relies on this value.
constexpr Duration agentRetention = 10s;
/// Messages of other cores create no further cells once there are this many.
constexpr std::size_t maxCells = 256;
}  // namespace

Strings selectUpstreams(const std::string& agent, const Strings& peers, std::size_t maxCount) {
  std::uint64_t ownRank = rendezvousHash("rank", agent);
  std::vector<std::pair<std::uint64_t, std::string>> lowerRanked;
  for (const auto& peer : peers)
    if (std::uint64_t rank = rendezvousHash("rank", peer); peer != agent && rank < ownRank)
      lowerRanked.emplace_back(rank, peer);
  if (lowerRanked.size() < rootCount) return {};
  std::sort(lowerRanked.begin(), lowerRanked.end());
  lowerRanked.resize(std::max(rootCount, lowerRanked.size() * 3 / 4));
  for (auto& [score, peer] : lowerRanked) score = rendezvousHash(agent, peer);
  std::sort(lowerRanked.rbegin(), lowerRanked.rend());
  Strings selected;
  for (std::size_t index = 0; index < lowerRanked.size() && index < maxCount; ++index)
    selected.push_back(lowerRanked[index].second);
  return selected;
}

Core::Core(CoreSettings coreSettings, const RecoveredState& recovered, std::mt19937_64& randomSource, TimePoint now)
    : settings(std::move(coreSettings)), startedAt(now), membershipChangedAt(now) {
  std::string id = recovered.identity;
  if (id.empty()) {
    char suffix[20];
    std::snprintf(suffix, sizeof suffix, "%08x", static_cast<unsigned>(randomSource()));
    id = settings.name + "-" + suffix;
  } else {
    idSynced = true;
  }
  self = Member{id, settings.name, settings.address, settings.zone, true};
  replicatedLog = std::make_unique<ReplicatedLog>(self, settings.maxRecordBytes, settings.defences);
  clusterView = std::make_unique<ClusterView>(
      ReaderSettings{self.id, self.address, self.zone, settings.seeds, false, settings.defences});
  replicatedLog->restore(recovered, now);
  recordCommit(now);
  for (const auto& zone : settings.zones) cellFor(zone);
  for (const auto& [duty, vote] : recovered.votes)
    if (duty.rfind("cell/", 0) == 0) cellFor(duty.substr(5)).election.restore(vote, now);
  replicatedLog->onEntryApplied = [this](Effects& effects, const LogEntry& entry) {
    effects.note("applied", self.id, static_cast<std::int64_t>(entry.index));
    clusterView->recordAnnouncements(replicatedLog->configuration());
    if (entry.kind == static_cast<int>(EntryKind::members)) membershipChangedAt = effects.now;
    if (entry.kind == static_cast<int>(EntryKind::snapshotBoundary)) return;
    broadcast(effects, NewsMsg{replicatedLog->commit(), {entry}, {}});
  };
  replicatedLog->onMembersChanged = [this](Effects& effects) {
    membershipChangedAt = effects.now;
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
    cell->latestUpdates = &cellUpdates;
    cell->versions = &clusterView->versions();
    cell->publish = [this](Effects& effects, const CellNews& update) { handleCellUpdate(effects, update, true); };
  }
  return *cell;
}

void Core::broadcast(Effects& effects, const Message& message) {
  for (const auto& [address, at] : subscribers)
    if (effects.now - at < subscriberTimeout) effects.send(address, message);
}

void Core::handleCellUpdate(Effects& effects, const CellNews& update, bool own) {
  auto& stored = cellUpdates[update.zone];
  if (!applyCellUpdate(stored, update)) return requestMissedUpdates(effects, update);
  broadcast(effects, update);
  if (!own) return;
  for (const auto& member : replicatedLog->members())
    if (member.id != self.id) effects.send(member.address, update);
}

void Core::requestMissedUpdates(Effects& effects, const CellNews& update) {
  const auto& stored = cellUpdates[update.zone];
  if (std::make_pair(update.term, update.sequence) <= std::make_pair(stored.term, stored.sequence) ||
      effects.now - missedRequestedAt < missedRequestInterval)
    return;
  missedRequestedAt = effects.now;
  std::vector<CellVersion> cellVersions;
  for (const auto& [zone, row] : cellUpdates) cellVersions.push_back(CellVersion{zone, row.term, row.sequence});
  effects.send(update.holder, NewsAsk{self.address, replicatedLog->configuration().index(), cellVersions});
}

Strings Core::selectUpstreamsFor(const std::string& agent, TimePoint now) const {
  Strings peers;
  for (const auto& [address, row] : agents)
    if (row.relays && now - row.lastRequestAt < agentTimeout) peers.push_back(address);
  return selectUpstreams(agent, peers, maxUpstreams);
}

void Core::onLogEndRequest(Effects& effects, const std::string& from, const LogEndRequest& request) {
  auto& row = agents[from];
  row.id = request.agent;
  row.zone = request.zone;
  row.applied = request.applied;
  row.fresh = request.fresh;
  row.relays = request.relays;
  row.lastRequestAt = effects.now;
  for (const auto& cellVersion : request.cells)
    if (auto cell = cells.find(cellVersion.zone); cell != cells.end())
      cell->second->recordAgentVersion(from, cellVersion, effects.now);
  if (!replicatedLog->formed()) return;
  if (!platformResponded && !settings.platformAddress.empty() && effects.now - startedAt < firstListTimeout) return;
  if (request.relays &&
      effects.now - row.upstreamsSelectedAt >= (row.upstreams.empty() ? upstreamsRetryInterval : upstreamsLifetime)) {
    row.upstreams = selectUpstreamsFor(from, effects.now);
    row.upstreamsSelectedAt = effects.now;
  }
  LogEndResponse reply{request.requestId,
                       self.id,
                       replicatedLog->election.term(),
                       replicatedLog->hasCommittedInTerm(),
                       replicatedLog->lastSyncedIndex(),
                       replicatedLog->commit(),
                       replicatedLog->members(),
                       request.relays ? row.upstreams : Strings{},
                       clusterView->machineListKnown(),
                       0,
                       clusterView->machineListDigest(),
                       {},
                       clusterView->versions().exportRecent(effects.now, timing.oldWeightsTimeout, true)};
  if (reply.machineListKnown) reply.machineListAgeNs = (effects.now - clusterView->machineListAt()).count();
  if (reply.machineListKnown && request.machineListDigest != reply.machineListDigest)
    reply.machines = clusterView->machines();
  effects.send(from, reply);
}

void Core::onUpdateRequest(Effects& effects, const std::string& from, const NewsAsk& request) {
  subscribers[from] = effects.now;
  auto update = replicatedLog->updateAfter(request.applied);
  effects.send(from, update);
  std::map<std::string, CellVersion> cellVersionsByZone;
  for (const auto& cellVersion : request.cells) cellVersionsByZone[cellVersion.zone] = cellVersion;
  for (const auto& [zone, stored] : cellUpdates) {
    auto found = cellVersionsByZone.find(zone);
    if (found == cellVersionsByZone.end() ||
        std::make_pair(found->second.term, found->second.sequence) < std::make_pair(stored.term, stored.sequence))
      effects.send(from, stored);
  }
}

void Core::applyMachineList(Effects& effects) {
  Uint64 services = digestOfServices();
  if (appliedListDigest == clusterView->machineListDigest() && services == servicesDigest) return;
  appliedListDigest = clusterView->machineListDigest();
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
  seekMembership(effects);
  recordCommit(effects.now);
  bool stalled = syncWait > syncStallTimeout;
  if (stalled != diskStalled) {
    diskStalled = stalled;
    effects.note(stalled ? "disk stalled" : "disk well", self.id, toMilliseconds(syncWait));
  }
  bool mayCampaign = !diskStalled && leavingSince == TimePoint{};
  replicatedLog->election.mayCampaign = mayCampaign;
  for (auto& [zone, cell] : cells) cell->election.mayCampaign = mayCampaign;
  replicatedLog->tick(effects);
  clusterView->recordAnnouncements(replicatedLog->configuration());
  clusterView->resolveAnnouncementTimes(startedAt, effects.now);
  for (auto& [zone, cell] : cells) cell->tick(effects, replicatedLog->configuration());
  bool requestsList = replicatedLog->leads(effects.now) || !clusterView->machineListKnown() ||
                      effects.now - clusterView->machineListAt() >= timing.maxListAge;
  if (!settings.platformAddress.empty() && requestsList && effects.now - listRequestedAt >= timing.listPollInterval) {
    listRequestedAt = effects.now;
    effects.send(settings.platformAddress, MachinesAsk{toNanoseconds(effects.now)});
  }
  if (replicatedLog->formed() && effects.now - logEndsRequestedAt >= timing.logEndPollInterval) {
    requestLogEnds(effects);
  }
  completeReads(effects);
  applyMachineList(effects);
  settleOpenChanges(effects);
  requestReaders(effects);
  requestReplicaCheck(effects);
  for (auto row = agents.begin(); row != agents.end();)
    row = effects.now - row->second.lastRequestAt > agentRetention ? agents.erase(row) : std::next(row);
  for (auto row = subscribers.begin(); row != subscribers.end();)
    row = effects.now - row->second > subscriberTimeout ? subscribers.erase(row) : std::next(row);
}

bool Core::mayCommand(const ControlAsk& command, TimePoint now) const {
  return std::any_of(cells.begin(), cells.end(), [&](const auto& row) { return row.second->mayCommand(command, now); });
}

void Core::forwardToCell(Effects& effects, const std::string& from, const std::string& zone, const Message& message) {
  if (auto cell = cells.find(zone); cell != cells.end()) cell->second->handle(effects, from, message);
}

void Core::handle(Effects& effects, const std::string& from, const Message& message) {
  if (auto* request = std::get_if<LogEndRequest>(&message)) {
    onLogEndRequest(effects, from, *request);
  } else if (auto* update = std::get_if<NewsAsk>(&message)) {
    onUpdateRequest(effects, from, *update);
  } else if (auto* cellUpdate = std::get_if<CellNews>(&message)) {
    handleCellUpdate(effects, *cellUpdate, false);
  } else if (std::holds_alternative<HelloRequest>(message)) {
    if (idSynced || replicatedLog->formed())
      effects.send(from, HelloResponse{self, replicatedLog->formed(), replicatedLog->members()});
  } else if (auto* reply = std::get_if<HelloResponse>(&message)) {
    helloResponses[from] = *reply;
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
    platformResponded = true;
    clusterView->offerMachineList(machines->machines, fromNanoseconds(machines->askedAt));
    applyMachineList(effects);
  } else if (auto* machineList = std::get_if<MarksMsg>(&message)) {
    if (machineList->age >= 0)
      clusterView->offerMachineList(machineList->machines, effects.now - Duration(machineList->age));
    applyMachineList(effects);
  } else if (auto* announcements = std::get_if<NamingsMsg>(&message)) {
    clusterView->mergeAnnouncements(announcements->weightsAnnouncements, effects.now);
  } else if (auto* logEndResponse = std::get_if<LogEndResponse>(&message)) {
    clusterView->handle(effects, from, *logEndResponse, replicatedLog->configuration());
    applyMachineList(effects);
    completeReads(effects);
  } else if (auto* readersRequest = std::get_if<ReadersRequest>(&message)) {
    onReadersRequest(effects, from, *readersRequest);
  } else if (auto* readersResponse = std::get_if<ReadersResponse>(&message)) {
    if (readersResponse->roundId == replicaCheckRound)
      onReplicaCheckResponse(*readersResponse);
    else
      onReadersResponse(effects, from, *readersResponse);
  } else if (auto* operatorRequest = std::get_if<OperatorRequest>(&message)) {
    onOperatorRequest(effects, from, *operatorRequest);
  } else if (auto* read = std::get_if<ReadRequest>(&message)) {
    onReadRequest(effects, from, *read);
  } else if (auto* change = std::get_if<ChangeRequest>(&message)) {
    replicatedLog->proposeChange(effects, from, *change);
  } else if (auto* changeResponse = std::get_if<ChangeResponse>(&message)) {
    onChangeResponse(effects, from, *changeResponse);
  } else if (auto* lookup = std::get_if<LookupMsg>(&message)) {
    forwardToCell(effects, from, lookup->zone, message);
  } else if (auto* started = std::get_if<PrefillStarted>(&message)) {
    forwardToCell(effects, from, started->zone, message);
  } else if (auto* ended = std::get_if<PrefillEnded>(&message)) {
    forwardToCell(effects, from, ended->zone, message);
  } else if (auto* watch = std::get_if<WatchMsg>(&message)) {
    forwardToCell(effects, from, watch->zone, message);
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
    else if (duty.rfind("cell/", 0) == 0 && (cells.size() < maxCells || cells.count(duty.substr(5))))
      cellFor(duty.substr(5)).handle(effects, from, message);
  }
}

void Core::resign(Effects& effects) {
  if (leavingSince != TimePoint{}) return;
  leavingSince = effects.now;
  for (auto& [zone, cell] : cells) cell->election.resign(effects);
  replicatedLog->leave(effects);
  requestReplicaCheck(effects);
}

}  // namespace tt
