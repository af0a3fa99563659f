#include "hollow_workers.hpp"
#include "resource_meters.hpp"
#include "trials.hpp"

namespace tt {
namespace {

constexpr int tenants = 200;
constexpr std::uint64_t requests = 600;
constexpr std::uint64_t requestsPerFreshness = 50;
constexpr int idleTicks = 200;
constexpr std::uint64_t configurationIndex = 2;
constexpr const char* agentAddress = "10.2.0.1:7001";
constexpr const char* proxyAddress = "10.2.0.1:7002";
constexpr const char* coreAddress = "10.1.0.1:7000";

FleetSize oneProxy(int workers) {
  FleetSize size;
  size.workers = workers;
  size.tenants = tenants;
  size.daemons = 1;
  return size;
}

/// Time spent on so many steps of one kind.
struct Spent {
  std::int64_t ns{0}, count{0};
  double usEach() const { return count ? static_cast<double>(ns) / static_cast<double>(count) / 1000 : 0.0; }
};

double share(std::int64_t count) { return static_cast<double>(count) / static_cast<double>(requests); }

WorkerView viewOf(const Machine& machine) {
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

class DrawTrial {
 public:
  DrawTrial(int workers, std::uint64_t seed)
      : size(oneProxy(workers)),
        randomSource(seed),
        edge(platformEdge("edge-1", proxyAddress, zoneName(size, 0), agentAddress)) {}

  std::vector<Figure> run() {
    tellConfiguration();
    tellWorkers();
    tellFreshness();
    for (std::uint64_t number = 1; number <= requests; ++number) {
      now += 1ms;
      if (number % requestsPerFreshness == 0) tellFreshness();
      serve(number);
    }
    for (int turn = 0; turn < idleTicks; ++turn) tick();
    return figures();
  }

 private:
  const FleetSize size;
  std::mt19937_64 randomSource;
  std::int64_t heapBytes{0};
  TimePoint now{std::chrono::hours(1)};
  ProxyRouter edge;
  std::vector<std::pair<std::string, Message>> sends;
  Spent draws, replies, pieces, ends, idle;

  /// Has the proxy act, and keeps what it sends; only its own allocations are counted.
  std::int64_t act(const std::function<void(Effects&)>& action) {
    HeapScope counted(&heapBytes);
    Effects effects{now, randomSource, edge.journal, {}, {}};
    std::int64_t start = threadCpuNs();
    action(effects);
    std::int64_t spentNs = threadCpuNs() - start;
    HeapScope uncounted(nullptr);
    sends = effects.sends;
    return spentNs;
  }

  void tell(const std::string& from, const Message& message) {
    act([&](Effects& effects) { edge.handle(effects, from, message); });
  }

  void time(Spent& spent, const std::string& from, const Message& message) {
    spent.ns += act([&](Effects& effects) { edge.handle(effects, from, message); }) - clockCostNs();
    ++spent.count;
  }

  void tellConfiguration() {
    constexpr int change = static_cast<int>(EntryKind::change);
    Configuration configuration;
    std::string firstPatch =
        configuration.preparePatch(firstSections(size.tenants, size.models), ChangeFormat::sections).value();
    LogEntry first{1, 1, change, firstPatch, "first", 1};
    configuration.apply(first);
    std::string modelPatch = configuration.preparePatch(modelSections(size.models), ChangeFormat::items).value();
    LogEntry models{configurationIndex, 1, change, modelPatch, "models", configurationIndex};
    tell(agentAddress, NewsMsg{configurationIndex, {first, models}, {}});
  }

  void tellWorkers() {
    MarksMsg marks;
    std::map<std::string, CellNews> newsByZone;
    for (int worker = 0; worker < size.workers; ++worker) {
      auto machine = machineOf(size, worker);
      marks.machines.push_back(machine);
      auto& news = newsByZone[machine.zone];
      news.zone = machine.zone;
      news.term = news.sequence = 1;
      news.holder = coreAddress;
      news.workers.push_back(viewOf(machine));
    }
    tell(agentAddress, marks);
    for (const auto& [zone, news] : newsByZone) tell(agentAddress, news);
  }

  void tellFreshness() { tell(agentAddress, FeedReply{toNanoseconds(now), 0, configurationIndex, true}); }

  void serve(std::uint64_t number) {
    time(draws, "caller", requestOf(size, number));
    auto order = confirmDraw();
    if (!order) return;
    for (int piece = 0; piece < answerPieces; ++piece)
      time(pieces, "worker", WorkerChunk{order->requestId, std::string(answerPieceBytes, 'x'), std::to_string(piece)});
    time(ends, "worker",
         WorkerEnd{order->requestId, static_cast<int>(AttemptOutcome::done), static_cast<int>(Code::done), 0, 0, 0});
  }

  /// Answers the lookups of the request just drawn, each with no kept block, until it is sent to a worker.
  std::optional<WorkerOrder> confirmDraw() {
    std::optional<WorkerOrder> order;
    auto asked = sends;
    for (const auto& [to, message] : asked) {
      if (auto* sent = std::get_if<WorkerOrder>(&message)) order = *sent;
      auto* lookup = std::get_if<LookupMsg>(&message);
      if (!lookup) continue;
      std::vector<int> nothingKept(lookup->hashes.size(), 0);
      time(replies, agentAddress, LookupReply{lookup->lookupId, lookup->cacheNode, nothingKept});
      for (const auto& [address, later] : sends)
        if (auto* sent = std::get_if<WorkerOrder>(&later)) order = *sent;
    }
    return order;
  }

  void tick() {
    now += 20ms;
    idle.ns += act([&](Effects& effects) { edge.tick(effects); });
    ++idle.count;
  }

  std::vector<Figure> figures() const {
    return {{"us to admit and draw", draws.usEach()},
            {"us for all lookup replies", Spent{replies.ns, static_cast<std::int64_t>(requests)}.usEach()},
            {"us per piece", pieces.usEach()},
            {"us to end", ends.usEach()},
            {"lookups per request", share(replies.count)},
            {"requests done", share(ends.count)},
            {"us per idle tick", idle.usEach()},
            {"heap bytes", static_cast<double>(heapBytes)}};
  }
};

}  // namespace

std::vector<Figure> measureDraw(int workers, std::uint64_t seed) {
  setPlatformTiming();
  return DrawTrial(workers, seed).run();
}

}  // namespace tt
