#include "simulated_fleet.hpp"

#include <fmt/format.h>
#include <algorithm>

#include "resource_meters.hpp"

namespace tt {
namespace {

constexpr Duration tickInterval = 20ms;
constexpr Duration syncDuration = 2ms;
constexpr Duration localLinkDelay = 50us;
constexpr Duration daemonStartPeriod = 2s;
constexpr int maxSeeds = 3;
constexpr int ringFileCount = 4;
constexpr std::size_t ringFileBytes = 4u << 20;
/// The length that precedes an encoded message on a connection.
constexpr std::size_t frameHeaderBytes = 4;
constexpr const char* platformAddress = "10.0.0.1:80";

/// Returns the name of a message type by its number in the encoded message; 0 stands for no message.
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

/// Returns the name of an encoded message's type, whose number is in the first two bytes in little-endian order.
const std::string& messageNameOf(const std::string& frame) {
  auto low = static_cast<unsigned char>(frame[0]), high = static_cast<unsigned char>(frame[1]);
  return messageNameAt(static_cast<std::size_t>(low | high << 8));
}

/// Bytes of a frame on the connection, with the length that precedes it.
std::int64_t wireBytes(const std::string& frame) { return static_cast<std::int64_t>(frame.size() + frameHeaderBytes); }

std::string coreAddress(int number) { return fmt::format("10.1.{}.1:7000", number); }

}  // namespace

SimulatedFleet::SimulatedFleet(const FleetSize& fleetSize, std::uint64_t seed)
    : size(fleetSize),
      randomSource(seed),
      simulatedTime(std::chrono::hours(1)),
      clockReadCost(clockReadCostNs()),
      workers(fleetSize, simulatedTime) {
  setPlatformTiming();
}

std::size_t SimulatedFleet::startProcess(const std::string& role, const std::string& name, const std::string& address,
                                         const std::function<void(Process&)>& construct) {
  std::size_t processIndex = processes.size();
  processes.push_back(std::make_unique<Process>());
  auto& process = *processes.back();
  process.role = role;
  process.name = name;
  process.address = address;
  processByAddress[address] = processIndex;
  {
    HeapCountingScope countHeap(&process.heapBytes);
    construct(process);
  }
  Duration phase(
      static_cast<std::int64_t>(randomSource() % static_cast<std::uint64_t>(Duration(tickInterval).count())));
  events.push({simulatedTime + phase, EventKind::tick, processIndex, {}, {}, {}});
  return processIndex;
}

void SimulatedFleet::startCores() {
  Strings seeds, zones;
  for (int number = 0; number < std::min(maxSeeds, size.cores); ++number) seeds.push_back(coreAddress(number));
  for (int zone = 0; zone < size.zones; ++zone) zones.push_back(zoneName(size, zone));
  for (int number = 0; number < size.cores; ++number) cores.push_back(startCore(number, seeds, zones));
}

std::size_t SimulatedFleet::startCore(int number, const Strings& seeds, const Strings& zones) {
  return startProcess("core", fmt::format("core-{}", number), coreAddress(number), [&](Process& process) {
    {
      HeapCountingScope pauseCounting(nullptr);
      process.files = std::make_unique<CountingRingFiles>(ringFileCount, ringFileBytes);
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
    settings.cell = platformCellSettings();
    process.node = std::make_unique<Core>(settings, process.ring->recoveredState(), randomSource, simulatedTime);
  });
}

void SimulatedFleet::startDaemons() {
  Strings seeds;
  for (int number = 0; number < std::min(maxSeeds, size.cores); ++number) seeds.push_back(coreAddress(number));
  for (int number = 0; number < size.daemons; ++number) {
    startDaemon(number, seeds);
    runUntil(simulatedTime + Duration(daemonStartPeriod) / size.daemons);
  }
}

void SimulatedFleet::startDaemon(int number, const Strings& seeds) {
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
    process.localPeer = proxyAddress;
  }));
  proxies.push_back(startProcess("proxy", name, proxyAddress, [&](Process& process) {
    process.node = std::make_unique<ProxyRouter>(platformProxySettings(name, proxyAddress, zone, agentAddress));
    process.localPeer = agentAddress;
  }));
}

void SimulatedFleet::runUntil(TimePoint until) {
  while (auto event = events.popDue(until)) {
    simulatedTime = std::max(simulatedTime, event->at);
    handle(std::move(*event));
  }
  simulatedTime = until;
}

void SimulatedFleet::handle(ScheduledEvent event) {
  switch (event.kind) {
    case EventKind::tick:
      return handleTick(event.to);
    case EventKind::frame:
      return handleFrame(event);
    case EventKind::message:
      return handleMessage(event);
    case EventKind::sync:
      return finishSync(event.to);
  }
}

void SimulatedFleet::handleTick(std::size_t processIndex) {
  auto& process = *processes[processIndex];
  runStep(processIndex, {"tick", 0, false}, [&](Effects& effects) { process.node->tick(effects); });
  events.push({simulatedTime + tickInterval, EventKind::tick, processIndex, {}, {}, {}});
}

void SimulatedFleet::handleFrame(const ScheduledEvent& event) {
  auto& process = *processes[event.to];
  Cause cause{"takes " + messageNameOf(event.frame), wireBytes(event.frame), event.from == process.localPeer};
  runStep(event.to, cause, [&](Effects& effects) {
    auto message = decodeMessage(event.frame);
    if (message) process.node->handle(effects, event.from, message.value());
  });
}

void SimulatedFleet::handleMessage(const ScheduledEvent& event) {
  auto& process = *processes[event.to];
  Message message = std::move(*event.message);
  /// A request for events that the worker stub sent back at the end of a long poll.
  if (auto* longPoll = std::get_if<ReportAsk>(&message))
    message = workers.eventsReport(workers.find(event.from).value(), static_cast<std::int64_t>(longPoll->after),
                                   simulatedTime);
  if (auto* report = std::get_if<Report>(&message); report && measuring)
    eventsReceived += static_cast<std::int64_t>(report->events.size());
  runStep(event.to, {"takes " + messageNameAt(message.index()), 0, false},
          [&](Effects& effects) { process.node->handle(effects, event.from, message); });
}

void SimulatedFleet::finishSync(std::size_t processIndex) {
  auto& process = *processes[processIndex];
  std::vector<Effects::Save> batch;
  batch.swap(process.saves);
  process.syncing = false;
  runStep(processIndex, {"sync", 0, false}, [&](Effects& effects) {
    std::vector<Record> records;
    for (const auto& save : batch) records.push_back(save.record);
    if (process.ring) (void)process.ring->append(records);
    for (auto& save : batch)
      if (save.onSynced) save.onSynced(effects);
  });
  HeapCountingScope countHeap(&process.heapBytes);
  batch.clear();
  batch.shrink_to_fit();
}

void SimulatedFleet::runStep(std::size_t processIndex, const Cause& cause, const Action& action) {
  auto& process = *processes[processIndex];
  StepOutput output = runLogic(process, action);
  if (measuring) countStep(process, cause, output.cpuNs);
  for (auto& frame : output.frames) sendFrame(process, std::move(frame));
  for (auto& sent : output.directMessages) sendDirect(processIndex, std::move(sent));
  if (process.saves.empty() || process.syncing) return;
  process.syncing = true;
  events.push({simulatedTime + syncDuration, EventKind::sync, processIndex, {}, {}, {}});
}

/// Runs the real logic and encodes what it sends. Only the allocations of the process itself are added to its heap
/// bytes, and only its logic and the encoding to its processor time.
SimulatedFleet::StepOutput SimulatedFleet::runLogic(Process& process, const Action& action) {
  StepOutput output;
  HeapCountingScope countHeap(&process.heapBytes);
  std::vector<Frame> frames;
  std::int64_t start = threadCpuNs();
  Effects effects{simulatedTime, randomSource, process.node->journal, {}, {}};
  action(effects);
  for (const auto& [to, message] : effects.sends)
    if (to != process.address && processByAddress.count(to)) frames.push_back({to, encodeMessage(message)});
  output.cpuNs = std::max<std::int64_t>(0, threadCpuNs() - start - clockReadCost);
  for (auto& save : effects.saves) process.saves.push_back(std::move(save));
  HeapCountingScope pauseCounting(nullptr);
  output.frames = frames;
  for (const auto& [to, message] : effects.sends)
    if (to == process.address || !processByAddress.count(to)) output.directMessages.push_back({to, message});
  return output;
}

void SimulatedFleet::countStep(Process& process, const Cause& cause, std::int64_t cpuNs) {
  auto& kind = process.cost.byMessage[cause.name];
  ++kind.count;
  kind.cpuNs += cpuNs;
  kind.bytesIn += cause.bytesIn;
  ++process.cost.total.count;
  process.cost.total.cpuNs += cpuNs;
  (cause.local ? process.cost.localBytes : process.cost.total.bytesIn) += cause.bytesIn;
}

void SimulatedFleet::countFrame(Process& process, const Frame& frame) {
  std::int64_t bytes = wireBytes(frame.bytes);
  auto& kind = process.cost.byMessage["sends " + messageNameOf(frame.bytes)];
  ++kind.count;
  kind.bytesOut += bytes;
  (frame.to == process.localPeer ? process.cost.localBytes : process.cost.total.bytesOut) += bytes;
}

void SimulatedFleet::sendFrame(Process& process, Frame frame) {
  if (measuring) countFrame(process, frame);
  Duration linkDelay = frame.to == process.localPeer ? Duration(localLinkDelay) : size.linkDelay;
  std::size_t to = processByAddress.at(frame.to);
  events.push({simulatedTime + linkDelay, EventKind::frame, to, process.address, std::move(frame.bytes), {}});
}

void SimulatedFleet::sendDirect(std::size_t processIndex, DirectMessage sent) {
  auto& process = *processes[processIndex];
  if (sent.to == process.address)
    return schedule(simulatedTime, processIndex, process.address, std::move(sent.message));
  if (sent.to == platformAddress) {
    if (auto* request = std::get_if<MachinesAsk>(&sent.message)) respondAsPlatform(processIndex, *request);
    return;
  }
  if (auto worker = workers.find(sent.to)) return respondAsWorker(processIndex, *worker, sent.message);
  if (auto* operatorResponse = std::get_if<OperatorResponse>(&sent.message)) {
    auto change = changeById.find(sent.to);
    if (change == changeById.end()) return;
    change->second.code = operatorResponse->code;
    change->second.ackedAt = simulatedTime;
  } else if (auto* finalStatus = std::get_if<CallerVerdict>(&sent.message)) {
    if (measuring) requestsDone += finalStatus->verdict == "done";
  }
}

void SimulatedFleet::respondAsWorker(std::size_t processIndex, int worker, const Message& message) {
  if (measuring) ++processes[processIndex]->cost.workerMessages;
  if (auto* workerRequest = std::get_if<WorkerOrder>(&message))
    for (auto& [when, chunk] : workers.respond(*workerRequest, simulatedTime))
      schedule(when, processIndex, workerRequest->worker, std::move(chunk));
  if (auto* request = std::get_if<ReportAsk>(&message)) {
    auto response = workers.respond(worker, *request, simulatedTime);
    schedule(response.at, processIndex, workers.addressOf(worker), std::move(response.message));
  }
}

void SimulatedFleet::respondAsPlatform(std::size_t processIndex, const MachinesAsk& request) {
  /// Time from the request for the machine list to the reply, in link delays.
  constexpr int platformReplyLinkDelays = 10;
  MachinesReply reply;
  reply.askedAt = request.askedAt;
  reply.machines = workers.machines();
  schedule(simulatedTime + platformReplyLinkDelays * size.linkDelay, processIndex, platformAddress, std::move(reply));
}

void SimulatedFleet::schedule(TimePoint when, std::size_t to, const std::string& from, Message message) {
  events.push({when, EventKind::message, to, from, {}, std::make_shared<Message>(std::move(message))});
}

std::size_t SimulatedFleet::leaderNumber() {
  for (std::size_t number = 0; number < cores.size(); ++number)
    if (core(number).consensusLog().leads(simulatedTime)) return number;
  return 0;
}

std::size_t SimulatedFleet::countVoters() {
  std::size_t count = 0;
  for (const auto& member : core(leaderNumber()).consensusLog().members()) count += member.votes;
  return count;
}

std::size_t SimulatedFleet::countFreshDaemons() {
  std::size_t count = 0;
  for (std::size_t number = 0; number < agents.size(); ++number)
    count += agent(number).fresh(simulatedTime) && proxy(number).fresh(simulatedTime) &&
             proxy(number).configuration().revision() > 0;
  return count;
}

void SimulatedFleet::requestChange(const std::string& changeId, const std::string& body, ChangeFormat changeFormat,
                                   std::int64_t toRevision) {
  changeById[changeId].requestedAt = simulatedTime;
  OperatorRequest change;
  change.requestId = changeId;
  change.body = body;
  change.ifRevision = -1;
  change.changeFormat = static_cast<int>(changeFormat);
  change.changeId = changeId;
  change.toRevision = toRevision;
  schedule(simulatedTime, cores[(leaderNumber() + 1) % cores.size()], changeId, std::move(change));
}

void SimulatedFleet::recordAppliedChanges() {
  for (auto& [changeId, change] : changeById) recordAppliedChange(changeId, change);
}

void SimulatedFleet::recordAppliedChange(const std::string& changeId, Change& change) {
  if (change.proxiesAt != TimePoint{} && change.agentsAt != TimePoint{}) return;
  if (change.index == 0)
    for (const auto& entry : core(leaderNumber()).consensusLog().entries())
      if (entry.changeId == changeId) change.index = entry.index;
  if (change.index == 0) return;
  bool allAgents = true, allProxies = true;
  for (std::size_t number = 0; number < agents.size(); ++number) {
    allAgents = allAgents && agent(number).configuration().index() >= change.index;
    allProxies = allProxies && proxy(number).configuration().index() >= change.index;
  }
  if (allAgents && change.agentsAt == TimePoint{}) change.agentsAt = simulatedTime;
  if (allProxies && change.proxiesAt == TimePoint{}) change.proxiesAt = simulatedTime;
}

void SimulatedFleet::sendRequest() {
  std::size_t processIndex = proxies[requestCount % proxies.size()];
  schedule(simulatedTime, processIndex, "caller", makeRequest(size, ++requestCount));
}

void SimulatedFleet::startMeasuring() {
  measuring = true;
  for (std::size_t processIndex : cores)
    processes[processIndex]->bytesWrittenBefore = processes[processIndex]->files->writtenBytes();
}

FleetCost SimulatedFleet::collectCosts() {
  FleetCost total;
  total.eventsReceived = eventsReceived;
  total.requestsDone = requestsDone;
  total.configurationBytes = static_cast<std::int64_t>(core(0).consensusLog().configuration().bytes());
  collectCells(total);
  std::map<std::string, int> followersByAddress;
  for (std::size_t number = 0; number < agents.size(); ++number) ++followersByAddress[agent(number).upstreamAddress()];
  for (const auto& process : processes)
    total.processesByRole[process->role].push_back(costOf(*process, followersByAddress));
  return total;
}

void SimulatedFleet::collectCells(FleetCost& total) {
  for (std::size_t number = 0; number < cores.size(); ++number)
    for (const auto& [zone, cell] : core(number).cellsByZone()) {
      if (!cell->election.holdsLease(simulatedTime)) continue;
      ++total.cellsWithLease;
      ++processes[cores[number]]->cost.cells;
      for (const auto& [name, cacheNode] : cell->cacheNodes())
        total.indexedBlocks += static_cast<std::int64_t>(cacheNode.cachedBlocks.size());
    }
}

ProcessCost SimulatedFleet::costOf(const Process& process, const std::map<std::string, int>& followersByAddress) const {
  ProcessCost cost = process.cost;
  cost.heapBytes = process.heapBytes;
  if (process.files) cost.diskBytes = process.files->writtenBytes() - process.bytesWrittenBefore;
  if (auto followers = followersByAddress.find(process.address); followers != followersByAddress.end())
    cost.followers = followers->second;
  return cost;
}

}  // namespace tt
