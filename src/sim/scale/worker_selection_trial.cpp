#include "resource_meters.hpp"
#include "stub_workers.hpp"
#include "trials.hpp"

namespace tt {
namespace {

constexpr double nsPerUs = 1e3;
constexpr int tenantCount = 200;
constexpr std::uint64_t requestCount = 600;
constexpr std::uint64_t requestsPerFreshnessUpdate = 50;
constexpr int idleTickCount = 200;
constexpr auto requestInterval = 1ms;
constexpr auto tickInterval = 20ms;
constexpr std::uint64_t configurationIndex = 2;
constexpr const char* agentAddress = "10.2.0.1:7001";
constexpr const char* proxyAddress = "10.2.0.1:7002";
constexpr const char* coreAddress = "10.1.0.1:7000";

FleetSize singleProxyFleet(int workers) {
  FleetSize size;
  size.workers = workers;
  size.tenants = tenantCount;
  size.daemons = 1;
  return size;
}

/// Processor time spent on all steps of one kind, and how many there were.
struct StepTime {
  std::int64_t ns{0}, count{0};
  double meanUs() const { return count ? static_cast<double>(ns) / static_cast<double>(count) / nsPerUs : 0.0; }
};

double perRequest(std::int64_t count) { return static_cast<double>(count) / static_cast<double>(requestCount); }

WorkerView makeWorkerView(const Machine& machine) {
  WorkerView view;
  view.name = machine.name;
  view.address = machine.address;
  view.zone = machine.zone;
  view.kind = machine.kind;
  view.weights = machine.weights;
  view.model = machine.model;
  view.slots = machine.slots;
  view.service = machine.service;
  view.alive = view.confirmed = true;
  return view;
}

/// Drives the router of one proxy with requests and with the messages of the agent and workers, and measures the
/// processor time of each step.
class WorkerSelectionTrial {
 public:
  WorkerSelectionTrial(int workers, std::uint64_t seed)
      : size(singleProxyFleet(workers)),
        randomSource(seed),
        proxy(platformProxySettings("edge-1", proxyAddress, zoneName(size, 0), agentAddress)) {}

  std::vector<Metric> run() {
    sendConfiguration();
    sendWorkers();
    sendFreshness();
    for (std::uint64_t number = 1; number <= requestCount; ++number) {
      now += requestInterval;
      if (number % requestsPerFreshnessUpdate == 0) sendFreshness();
      serve(number);
    }
    for (int tickNumber = 0; tickNumber < idleTickCount; ++tickNumber) tick();
    return metrics();
  }

 private:
  const FleetSize size;
  std::mt19937_64 randomSource;
  std::int64_t heapBytes{0};
  TimePoint now{std::chrono::hours(1)};
  ProxyRouter proxy;
  std::vector<std::pair<std::string, Message>> sends;
  StepTime selections, replies, chunks, ends, idle;

  /// Runs an action on the proxy, stores the messages that it sends in `sends` and returns the processor time in
  /// nanoseconds. Only allocations made by the proxy are counted.
  std::int64_t callProxy(const std::function<void(Effects&)>& action) {
    HeapCountingScope countHeap(&heapBytes);
    Effects effects{now, randomSource, proxy.journal, {}, {}};
    std::int64_t start = threadCpuNs();
    action(effects);
    std::int64_t cpuNs = threadCpuNs() - start;
    HeapCountingScope pauseCounting(nullptr);
    sends = effects.sends;
    return cpuNs;
  }

  void deliver(const std::string& from, const Message& message) {
    callProxy([&](Effects& effects) { proxy.handle(effects, from, message); });
  }

  void timeStep(StepTime& stepTime, const std::string& from, const Message& message) {
    stepTime.ns += callProxy([&](Effects& effects) { proxy.handle(effects, from, message); }) - clockReadCostNs();
    ++stepTime.count;
  }

  void sendConfiguration() {
    constexpr int change = static_cast<int>(EntryKind::change);
    Configuration configuration;
    std::string firstPatch =
        configuration.preparePatch(initialSections(size.tenants, size.models), ChangeFormat::sections).value();
    LogEntry first{1, 1, change, firstPatch, "first", 1};
    configuration.apply(first);
    std::string modelPatch = configuration.preparePatch(modelSections(size.models), ChangeFormat::items).value();
    LogEntry models{configurationIndex, 1, change, modelPatch, "models", configurationIndex};
    deliver(agentAddress, NewsMsg{configurationIndex, {first, models}, {}});
  }

  void sendWorkers() {
    MarksMsg machineList;
    std::map<std::string, CellNews> updatesByZone;
    for (int worker = 0; worker < size.workers; ++worker) {
      auto machine = makeMachine(size, worker);
      machineList.machines.push_back(machine);
      auto& update = updatesByZone[machine.zone];
      update.zone = machine.zone;
      update.term = update.sequence = 1;
      update.holder = coreAddress;
      update.workers.push_back(makeWorkerView(machine));
    }
    deliver(agentAddress, machineList);
    for (const auto& [zone, update] : updatesByZone) deliver(agentAddress, update);
  }

  void sendFreshness() { deliver(agentAddress, FeedReply{toNanoseconds(now), 0, configurationIndex, true}); }

  void serve(std::uint64_t number) {
    timeStep(selections, "caller", makeRequest(size, number));
    auto workerRequest = replyToLookups();
    if (!workerRequest) return;
    for (int chunk = 0; chunk < responseChunks; ++chunk)
      timeStep(chunks, "worker",
               WorkerChunk{workerRequest->requestId, std::string(responseChunkBytes, 'x'), std::to_string(chunk)});
    timeStep(ends, "worker",
             WorkerEnd{workerRequest->requestId, static_cast<int>(AttemptOutcome::done), static_cast<int>(Code::done),
                       0, 0, 0});
  }

  /// Replies to all lookups that the proxy made for its latest request, each time without hits. Returns the request
  /// that the proxy then sent to a worker, if any.
  std::optional<WorkerOrder> replyToLookups() {
    std::optional<WorkerOrder> workerRequest;
    auto firstSends = sends;
    for (const auto& [to, message] : firstSends) {
      if (auto* sent = std::get_if<WorkerOrder>(&message)) workerRequest = *sent;
      auto* lookup = std::get_if<LookupMsg>(&message);
      if (!lookup) continue;
      std::vector<int> noHits(lookup->hashes.size(), 0);
      timeStep(replies, agentAddress, LookupReply{lookup->lookupId, lookup->cacheNode, noHits});
      for (const auto& [address, nextMessage] : sends)
        if (auto* sent = std::get_if<WorkerOrder>(&nextMessage)) workerRequest = *sent;
    }
    return workerRequest;
  }

  void tick() {
    now += tickInterval;
    idle.ns += callProxy([&](Effects& effects) { proxy.tick(effects); });
    ++idle.count;
  }

  std::vector<Metric> metrics() const {
    return {{"us to admit and draw", selections.meanUs()},
            {"us for all lookup replies", StepTime{replies.ns, static_cast<std::int64_t>(requestCount)}.meanUs()},
            {"us per piece", chunks.meanUs()},
            {"us to end", ends.meanUs()},
            {"lookups per request", perRequest(replies.count)},
            {"requests done", perRequest(ends.count)},
            {"us per idle tick", idle.meanUs()},
            {"heap bytes", static_cast<double>(heapBytes)}};
  }
};

}  // namespace

std::vector<Metric> measureWorkerSelection(int workers, std::uint64_t seed) {
  setPlatformTiming();
  return WorkerSelectionTrial(workers, seed).run();
}

}  // namespace tt
