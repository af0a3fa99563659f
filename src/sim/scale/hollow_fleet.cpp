#include "hollow_fleet.hpp"

#include <fmt/format.h>
#include <algorithm>

#include "resource_meters.hpp"

namespace tt {
namespace {

constexpr Duration tickEvery = 20ms;
constexpr Duration syncSpan = 2ms;
constexpr Duration localLink = 50us;
constexpr Duration daemonsStartWithin = 2s;
constexpr int seedCount = 3;
constexpr int ringFiles = 4;
constexpr std::size_t ringFileBytes = 4u << 20;
constexpr std::size_t frameHeadBytes = 4;
constexpr int addressesPerNetwork = 250;
constexpr const char* platformAddress = "10.0.0.1:80";

/// The name of a message by its number in the wire form.
const std::string& messageNameAt(std::size_t number) {
  static const Strings names = [] {
    Strings rows{"none"};
#define TT_SCALE_NAME(Name, fields) rows.push_back(#Name);
    TT_MESSAGES(TT_SCALE_NAME)
#undef TT_SCALE_NAME
    return rows;
  }();
  return names.at(number);
}

/// The name of a frame's message: its number stands first, the lower byte before the higher.
const std::string& messageNameOf(const std::string& frame) {
  auto low = static_cast<unsigned char>(frame[0]), high = static_cast<unsigned char>(frame[1]);
  return messageNameAt(static_cast<std::size_t>(low | high << 8));
}

std::int64_t wireBytes(const std::string& frame) { return static_cast<std::int64_t>(frame.size() + frameHeadBytes); }

std::string coreAddress(int number) { return fmt::format("10.1.{}.1:7000", number); }

}  // namespace

HollowFleet::HollowFleet(const FleetSize& fleetSize, std::uint64_t seed)
    : size(fleetSize),
      randomSource(seed),
      clock(std::chrono::hours(1)),
      clockCost(clockCostNs()),
      workers(fleetSize, clock) {
  setPlatformTiming();
}

std::size_t HollowFleet::startProcess(const std::string& role, const std::string& name, const std::string& address,
                                      const std::function<void(Process&)>& make) {
  std::size_t at = processes.size();
  processes.push_back(std::make_unique<Process>());
  auto& process = *processes.back();
  process.role = role;
  process.name = name;
  process.address = address;
  processByAddress[address] = at;
  {
    HeapScope counted(&process.heapBytes);
    make(process);
  }
  Duration phase(static_cast<std::int64_t>(randomSource() % static_cast<std::uint64_t>(Duration(tickEvery).count())));
  events.push({clock + phase, EventKind::tick, at, {}, {}, {}});
  return at;
}

void HollowFleet::startCores() {
  Strings seeds, zones;
  for (int number = 0; number < std::min(seedCount, size.cores); ++number) seeds.push_back(coreAddress(number));
  for (int zone = 0; zone < size.zones; ++zone) zones.push_back(zoneName(size, zone));
  for (int number = 0; number < size.cores; ++number) cores.push_back(startCore(number, seeds, zones));
}

std::size_t HollowFleet::startCore(int number, const Strings& seeds, const Strings& zones) {
  return startProcess("core", fmt::format("core-{}", number), coreAddress(number), [&](Process& process) {
    {
      HeapScope uncounted(nullptr);
      process.files = std::make_unique<CountingRingFiles>(ringFiles, ringFileBytes);
    }
    auto ring = Ring::open(*process.files);
    process.ring = std::move(ring.value());
    CoreSettings settings;
    settings.name = process.name;
    settings.address = process.address;
    settings.zone = zoneName(size, number * size.zones / size.cores);
    settings.platformAddress = platformAddress;
    settings.seeds = seeds;
    settings.zones = zones;
    settings.cell = platformCell();
    process.node = std::make_unique<Core>(settings, process.ring->held(), randomSource, clock);
  });
}

void HollowFleet::startDaemons() {
  Strings seeds;
  for (int number = 0; number < std::min(seedCount, size.cores); ++number) seeds.push_back(coreAddress(number));
  for (int number = 0; number < size.daemons; ++number) {
    startDaemon(number, seeds);
    runUntil(clock + Duration(daemonsStartWithin) / size.daemons);
  }
}

void HollowFleet::startDaemon(int number, const Strings& seeds) {
  std::string host = fmt::format("10.2.{}.{}", number / addressesPerNetwork, number % addressesPerNetwork);
  std::string name = fmt::format("edge-{:04}", number), zone = zoneName(size, number % size.zones);
  std::string agentAddress = host + ":7001", proxyAddress = host + ":7002";
  agents.push_back(startProcess("agent", name, agentAddress, [&](Process& process) {
    AgentSettings settings;
    settings.name = name;
    settings.address = agentAddress;
    settings.zone = zone;
    settings.seeds = seeds;
    process.node = std::make_unique<Agent>(settings);
    process.beside = proxyAddress;
  }));
  proxies.push_back(startProcess("proxy", name, proxyAddress, [&](Process& process) {
    process.node = std::make_unique<ProxyRouter>(platformEdge(name, proxyAddress, zone, agentAddress));
    process.beside = agentAddress;
  }));
}

void HollowFleet::runUntil(TimePoint until) {
  while (auto event = events.popUntil(until)) {
    clock = std::max(clock, event->at);
    handle(std::move(*event));
  }
  clock = until;
}

void HollowFleet::handle(ScheduledEvent event) {
  switch (event.kind) {
    case EventKind::tick:
      return takeTick(event.to);
    case EventKind::frame:
      return takeFrame(event);
    case EventKind::message:
      return takeMessage(event);
    case EventKind::sync:
      return finishSync(event.to);
  }
}

void HollowFleet::takeTick(std::size_t at) {
  auto& process = *processes[at];
  runStep(at, {"tick", 0, false}, [&](Effects& effects) { process.node->tick(effects); });
  events.push({clock + tickEvery, EventKind::tick, at, {}, {}, {}});
}

void HollowFleet::takeFrame(const ScheduledEvent& event) {
  auto& process = *processes[event.to];
  Cause cause{"takes " + messageNameOf(event.frame), wireBytes(event.frame), event.from == process.beside};
  runStep(event.to, cause, [&](Effects& effects) {
    auto message = decodeMessage(event.frame);
    if (message) process.node->handle(effects, event.from, message.value());
  });
}

void HollowFleet::takeMessage(const ScheduledEvent& event) {
  auto& process = *processes[event.to];
  Message message = std::move(*event.message);
  if (auto* waiting = std::get_if<ReportAsk>(&message))
    message = workers.eventsReport(workers.find(event.from).value(), static_cast<std::int64_t>(waiting->after), clock);
  if (auto* report = std::get_if<Report>(&message); report && measuring)
    eventsTaken += static_cast<std::int64_t>(report->events.size());
  runStep(event.to, {"takes " + messageNameAt(message.index()), 0, false},
          [&](Effects& effects) { process.node->handle(effects, event.from, message); });
}

void HollowFleet::finishSync(std::size_t at) {
  auto& process = *processes[at];
  std::vector<Effects::Save> batch;
  batch.swap(process.saves);
  process.syncing = false;
  runStep(at, {"sync", 0, false}, [&](Effects& effects) {
    std::vector<Record> records;
    for (const auto& save : batch) records.push_back(save.record);
    if (process.ring) (void)process.ring->append(records);
    for (auto& save : batch)
      if (save.onSynced) save.onSynced(effects);
  });
  HeapScope counted(&process.heapBytes);
  batch.clear();
  batch.shrink_to_fit();
}

void HollowFleet::runStep(std::size_t at, const Cause& cause, const Action& action) {
  auto& process = *processes[at];
  Sends sends = act(process, action);
  if (measuring) countStep(process, cause, sends.cpuNs);
  for (auto& frame : sends.frames) sendFrame(process, std::move(frame));
  for (auto& sent : sends.direct) sendDirect(at, std::move(sent));
  if (process.saves.empty() || process.syncing) return;
  process.syncing = true;
  events.push({clock + syncSpan, EventKind::sync, at, {}, {}, {}});
}

/// Runs the real logic. Only what it allocates itself is counted on its heap, and only it and the wire form on its
/// processor time.
HollowFleet::Sends HollowFleet::act(Process& process, const Action& action) {
  Sends sends;
  HeapScope counted(&process.heapBytes);
  std::vector<Frame> frames;
  std::int64_t start = threadCpuNs();
  Effects effects{clock, randomSource, process.node->journal, {}, {}};
  action(effects);
  for (const auto& [to, message] : effects.sends)
    if (to != process.address && processByAddress.count(to)) frames.push_back({to, encodeMessage(message)});
  sends.cpuNs = std::max<std::int64_t>(0, threadCpuNs() - start - clockCost);
  for (auto& save : effects.saves) process.saves.push_back(std::move(save));
  HeapScope uncounted(nullptr);
  sends.frames = frames;
  for (const auto& [to, message] : effects.sends)
    if (to == process.address || !processByAddress.count(to)) sends.direct.push_back({to, message});
  return sends;
}

void HollowFleet::countStep(Process& process, const Cause& cause, std::int64_t cpuNs) {
  auto& kind = process.cost.byMessage[cause.name];
  ++kind.count;
  kind.cpuNs += cpuNs;
  kind.bytesIn += cause.bytesIn;
  ++process.cost.fleet.count;
  process.cost.fleet.cpuNs += cpuNs;
  (cause.local ? process.cost.localBytes : process.cost.fleet.bytesIn) += cause.bytesIn;
}

void HollowFleet::countFrame(Process& process, const Frame& frame) {
  std::int64_t bytes = wireBytes(frame.bytes);
  auto& kind = process.cost.byMessage["sends " + messageNameOf(frame.bytes)];
  ++kind.count;
  kind.bytesOut += bytes;
  (frame.to == process.beside ? process.cost.localBytes : process.cost.fleet.bytesOut) += bytes;
}

void HollowFleet::sendFrame(Process& process, Frame frame) {
  if (measuring) countFrame(process, frame);
  Duration link = frame.to == process.beside ? Duration(localLink) : size.link;
  std::size_t to = processByAddress.at(frame.to);
  events.push({clock + link, EventKind::frame, to, process.address, std::move(frame.bytes), {}});
}

void HollowFleet::sendDirect(std::size_t at, DirectMessage sent) {
  auto& process = *processes[at];
  if (sent.to == process.address) return schedule(clock, at, process.address, std::move(sent.message));
  if (sent.to == platformAddress) {
    if (auto* asked = std::get_if<MachinesAsk>(&sent.message)) answerFromPlatform(at, *asked);
    return;
  }
  if (auto worker = workers.find(sent.to)) return answerFromWorker(at, *worker, sent.message);
  if (auto* response = std::get_if<OperatorResponse>(&sent.message)) {
    auto change = changeById.find(sent.to);
    if (change == changeById.end()) return;
    change->second.code = response->code;
    change->second.ackedAt = clock;
  } else if (auto* verdict = std::get_if<CallerVerdict>(&sent.message)) {
    if (measuring) requestsDone += verdict->verdict == "done";
  }
}

void HollowFleet::answerFromWorker(std::size_t at, int worker, const Message& message) {
  if (measuring) ++processes[at]->cost.workerMessages;
  if (auto* order = std::get_if<WorkerOrder>(&message))
    for (auto& [when, piece] : workers.answer(*order, clock)) schedule(when, at, order->worker, std::move(piece));
  if (auto* asked = std::get_if<ReportAsk>(&message)) {
    auto answer = workers.answer(worker, *asked, clock);
    schedule(answer.at, at, workers.addressOf(worker), std::move(answer.message));
  }
}

void HollowFleet::answerFromPlatform(std::size_t at, const MachinesAsk& asked) {
  constexpr int linksToPlatform = 10;
  MachinesReply reply;
  reply.askedAt = asked.askedAt;
  reply.machines = workers.machines();
  schedule(clock + linksToPlatform * size.link, at, platformAddress, std::move(reply));
}

void HollowFleet::schedule(TimePoint when, std::size_t to, const std::string& from, Message message) {
  events.push({when, EventKind::message, to, from, {}, std::make_shared<Message>(std::move(message))});
}

std::size_t HollowFleet::leader() {
  for (std::size_t number = 0; number < cores.size(); ++number)
    if (core(number).consensusLog().leads(clock)) return number;
  return 0;
}

std::size_t HollowFleet::countVoters() {
  std::size_t count = 0;
  for (const auto& member : core(leader()).consensusLog().members()) count += member.votes;
  return count;
}

std::size_t HollowFleet::countFreshDaemons() {
  std::size_t count = 0;
  for (std::size_t number = 0; number < agents.size(); ++number)
    count += agent(number).fresh(clock) && proxy(number).fresh(clock) && proxy(number).configuration().revision() > 0;
  return count;
}

void HollowFleet::requestChange(const std::string& changeId, const std::string& body, ChangeFormat changeFormat,
                                std::int64_t toRevision) {
  changeById[changeId].askedAt = clock;
  OperatorRequest change;
  change.requestId = changeId;
  change.body = body;
  change.ifRevision = -1;
  change.changeFormat = static_cast<int>(changeFormat);
  change.changeId = changeId;
  change.toRevision = toRevision;
  schedule(clock, cores[(leader() + 1) % cores.size()], changeId, std::move(change));
}

void HollowFleet::noteAppliedChanges() {
  for (auto& [changeId, change] : changeById) noteAppliedChange(changeId, change);
}

void HollowFleet::noteAppliedChange(const std::string& changeId, Change& change) {
  if (change.proxiesAt != TimePoint{} && change.agentsAt != TimePoint{}) return;
  if (change.index == 0)
    for (const auto& entry : core(leader()).consensusLog().entries())
      if (entry.changeId == changeId) change.index = entry.index;
  if (change.index == 0) return;
  bool allAgents = true, allProxies = true;
  for (std::size_t number = 0; number < agents.size(); ++number) {
    allAgents = allAgents && agent(number).configuration().index() >= change.index;
    allProxies = allProxies && proxy(number).configuration().index() >= change.index;
  }
  if (allAgents && change.agentsAt == TimePoint{}) change.agentsAt = clock;
  if (allProxies && change.proxiesAt == TimePoint{}) change.proxiesAt = clock;
}

void HollowFleet::sendRequest() {
  std::size_t at = proxies[requestCount % proxies.size()];
  schedule(clock, at, "caller", requestOf(size, ++requestCount));
}

void HollowFleet::startMeasuring() {
  measuring = true;
  for (std::size_t at : cores) processes[at]->writtenBefore = processes[at]->files->writtenBytes();
}

FleetCost HollowFleet::collectCosts() {
  FleetCost total;
  total.eventsTaken = eventsTaken;
  total.requestsDone = requestsDone;
  total.configurationBytes = static_cast<std::int64_t>(core(0).consensusLog().configuration().bytes());
  collectCells(total);
  std::map<std::string, int> followersByAddress;
  for (std::size_t number = 0; number < agents.size(); ++number) ++followersByAddress[agent(number).upstreamAddress()];
  for (const auto& process : processes)
    total.daemonsByRole[process->role].push_back(costOf(*process, followersByAddress));
  return total;
}

void HollowFleet::collectCells(FleetCost& total) {
  for (std::size_t number = 0; number < cores.size(); ++number)
    for (const auto& [zone, cell] : core(number).cellsByZone()) {
      if (!cell->election.holdsLease(clock)) continue;
      ++total.cellsHeld;
      ++processes[cores[number]]->cost.cells;
      for (const auto& [name, keeper] : cell->cacheNodes())
        total.blocksIndexed += static_cast<std::int64_t>(keeper.cachedBlocks.size());
    }
}

DaemonCost HollowFleet::costOf(const Process& process, const std::map<std::string, int>& followersByAddress) const {
  DaemonCost cost = process.cost;
  cost.heapBytes = process.heapBytes;
  if (process.files) cost.diskBytes = process.files->writtenBytes() - process.writtenBefore;
  if (auto followers = followersByAddress.find(process.address); followers != followersByAddress.end())
    cost.followers = followers->second;
  return cost;
}

}  // namespace tt
