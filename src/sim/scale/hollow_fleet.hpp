#pragma once
#include "agent.hpp"
#include "core.hpp"
#include "counting_ring_files.hpp"
#include "event_queue.hpp"
#include "fleet_cost.hpp"
#include "hollow_workers.hpp"
#include "proxy_router.hpp"

namespace tt {

/// The real daemons of a fleet on simulated time, before hollow workers and a hollow platform. Every message between
/// daemons passes through its wire form, and each daemon's costs are counted while the fleet is measured. Used by one
/// thread; nothing in it waits.
class HollowFleet {
 public:
  HollowFleet(const FleetSize& size, std::uint64_t seed);

  /// Starts all control processes at once.
  void startCores();
  /// Starts the agents and proxies one after another.
  void startDaemons();
  void runUntil(TimePoint until);
  TimePoint now() const { return clock; }

  /// Control processes that vote in the replicated log.
  std::size_t countVoters();
  /// Daemons whose agent and proxy are both fresh and have a configuration.
  std::size_t countFreshDaemons();

  /// An operator's change of the configuration, and when it had come how far; the moments not reached are zero.
  struct Change {
    TimePoint askedAt, ackedAt{}, agentsAt{}, proxiesAt{};
    std::uint64_t index{0};
    int code{-1};
  };
  void requestChange(const std::string& changeId, const std::string& body, ChangeFormat changeFormat,
                     std::int64_t toRevision);
  const std::map<std::string, Change>& changes() const { return changeById; }
  void forgetChanges() { changeById.clear(); }
  /// Notes which changes have reached all agents or all proxies.
  void noteAppliedChanges();

  /// Sends the next request to the next proxy.
  void sendRequest();
  void toggleLeaving(std::uint64_t random) { workers.toggleLeaving(random); }

  void startMeasuring();
  void stopMeasuring() { measuring = false; }
  bool isMeasuring() const { return measuring; }
  /// Each daemon's costs, and the counts of the whole fleet. Spans and changes are left to the caller.
  FleetCost collectCosts();

 private:
  struct Process {
    std::string role, name, address;
    std::unique_ptr<Node> node;
    std::unique_ptr<CountingRingFiles> files;
    std::unique_ptr<Ring> ring;
    std::vector<Effects::Save> saves;
    bool syncing{false};
    /// The address of the proxy beside an agent, and of the agent beside a proxy.
    std::string beside;
    DaemonCost cost;
    std::int64_t heapBytes{0}, writtenBefore{0};
  };
  struct Frame {
    std::string to, bytes;
  };
  struct DirectMessage {
    std::string to;
    Message message;
  };
  /// What one step of a process sends: frames to other processes, messages to itself and to all that is hollow.
  struct Sends {
    std::vector<Frame> frames;
    std::vector<DirectMessage> direct;
    std::int64_t cpuNs{0};
  };
  /// Why a process takes a step, for the counts by message.
  struct Cause {
    std::string name;
    std::int64_t bytesIn{0};
    bool local{false};
  };
  using Action = std::function<void(Effects&)>;

  const FleetSize size;
  std::mt19937_64 randomSource;
  TimePoint clock;
  const std::int64_t clockCost;
  EventQueue events;
  HollowWorkers workers;
  std::vector<std::unique_ptr<Process>> processes;
  std::unordered_map<std::string, std::size_t> processByAddress;
  std::vector<std::size_t> cores, agents, proxies;
  std::map<std::string, Change> changeById;
  std::uint64_t requestCount{0};
  bool measuring{false};
  std::int64_t eventsTaken{0}, requestsDone{0};

  Core& core(std::size_t number) { return static_cast<Core&>(*processes[cores[number]]->node); }
  Agent& agent(std::size_t number) { return static_cast<Agent&>(*processes[agents[number]]->node); }
  ProxyRouter& proxy(std::size_t number) { return static_cast<ProxyRouter&>(*processes[proxies[number]]->node); }
  std::size_t leader();

  std::size_t startProcess(const std::string& role, const std::string& name, const std::string& address,
                           const std::function<void(Process&)>& make);
  std::size_t startCore(int number, const Strings& seeds, const Strings& zones);
  void startDaemon(int number, const Strings& seeds);

  void handle(ScheduledEvent event);
  void takeTick(std::size_t at);
  void takeFrame(const ScheduledEvent& event);
  void takeMessage(const ScheduledEvent& event);
  void finishSync(std::size_t at);

  void runStep(std::size_t at, const Cause& cause, const Action& action);
  Sends act(Process& process, const Action& action);
  void countStep(Process& process, const Cause& cause, std::int64_t cpuNs);
  void countFrame(Process& process, const Frame& frame);
  void sendFrame(Process& process, Frame frame);
  void sendDirect(std::size_t at, DirectMessage sent);
  void answerFromWorker(std::size_t at, int worker, const Message& message);
  void answerFromPlatform(std::size_t at, const MachinesAsk& asked);
  void schedule(TimePoint when, std::size_t to, const std::string& from, Message message);

  void noteAppliedChange(const std::string& changeId, Change& change);
  void collectCells(FleetCost& total);
  DaemonCost costOf(const Process& process, const std::map<std::string, int>& followersByAddress) const;
};

}  // namespace tt
