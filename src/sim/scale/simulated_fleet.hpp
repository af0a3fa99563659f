#pragma once
#include "agent.hpp"
#include "core.hpp"
#include "counting_ring_files.hpp"
#include "event_queue.hpp"
#include "fleet_cost.hpp"
#include "proxy_router.hpp"
#include "stub_workers.hpp"

namespace tt {

/// The processes of a fleet, with their real logic, in simulated time; workers and the platform are stubs. Every
/// message between processes is encoded and decoded, and the costs of each process are counted while the fleet is
/// measured. A fleet is used by a single thread, and none of its calls blocks.
class SimulatedFleet {
 public:
  SimulatedFleet(const FleetSize& size, std::uint64_t seed);

  /// Starts all control processes at once.
  void startCores();
  /// Starts the agents and proxies one after another, spread over two simulated seconds.
  void startDaemons();
  /// Handles all events up to this time, which becomes the simulated time.
  void runUntil(TimePoint until);
  TimePoint now() const { return simulatedTime; }

  /// The number of voting members of the replicated log.
  std::size_t countVoters();
  /// The number of daemons whose agent and proxy are both fresh and whose proxy has a configuration.
  std::size_t countFreshDaemons();

  /// An operator's configuration change: when it was requested, acknowledged, and applied by all agents and by all
  /// proxies. Times not reached yet are zero.
  struct Change {
    TimePoint requestedAt, ackedAt{}, agentsAt{}, proxiesAt{};
    /// Its index in the log; 0 while it is unknown.
    std::uint64_t index{0};
    /// The code of the response to the operator; -1 before it arrives.
    int code{-1};
  };
  /// Sends an operator's request for a change to a core that is not the leader, if there is one.
  void requestChange(const std::string& changeId, const std::string& body, ChangeFormat changeFormat,
                     std::int64_t toRevision);
  const std::map<std::string, Change>& changes() const { return changeById; }
  void clearChanges() { changeById.clear(); }
  /// Records the time for each change that all agents or all proxies have applied by now.
  void recordAppliedChanges();

  /// Sends the next client request, to the proxies in turn.
  void sendRequest();
  /// Sets or clears the `leaving` flag of the worker that the random number selects.
  void toggleLeaving(std::uint64_t randomNumber) { workers.toggleLeaving(randomNumber); }

  void startMeasuring();
  void stopMeasuring() { measuring = false; }
  bool isMeasuring() const { return measuring; }
  /// Returns the costs of each process and the counts of the entire fleet. The caller adds the fields about time,
  /// votes, freshness and changes.
  FleetCost collectCosts();

 private:
  struct Process {
    std::string role, name, address;
    std::unique_ptr<Node> node;
    std::unique_ptr<CountingRingFiles> files;
    std::unique_ptr<Ring> ring;
    std::vector<Effects::Save> saves;
    bool syncing{false};
    /// For an agent the address of the proxy on its host, and for a proxy that of the agent.
    std::string localPeer;
    ProcessCost cost;
    std::int64_t heapBytes{0}, bytesWrittenBefore{0};
  };
  /// An encoded message and its receiver.
  struct Frame {
    std::string to, bytes;
  };
  /// A message that is delivered without being encoded.
  struct DirectMessage {
    std::string to;
    Message message;
  };
  /// What one step of a process sends: frames to other processes, and direct messages to itself, to stubs, to clients
  /// and to operators. `cpuNs` is the processor time of the step.
  struct StepOutput {
    std::vector<Frame> frames;
    std::vector<DirectMessage> directMessages;
    std::int64_t cpuNs{0};
  };
  /// The event that a step of a process handles. Costs are counted by its name.
  struct Cause {
    std::string name;
    std::int64_t bytesIn{0};
    /// The event is a message from the other process of the same host.
    bool local{false};
  };
  using Action = std::function<void(Effects&)>;

  const FleetSize size;
  std::mt19937_64 randomSource;
  TimePoint simulatedTime;
  const std::int64_t clockReadCost;
  EventQueue events;
  StubWorkers workers;
  std::vector<std::unique_ptr<Process>> processes;
  std::unordered_map<std::string, std::size_t> processByAddress;
  std::vector<std::size_t> cores, agents, proxies;
  std::map<std::string, Change> changeById;
  std::uint64_t requestCount{0};
  bool measuring{false};
  std::int64_t eventsReceived{0}, requestsDone{0};

  Core& core(std::size_t number) { return static_cast<Core&>(*processes[cores[number]]->node); }
  Agent& agent(std::size_t number) { return static_cast<Agent&>(*processes[agents[number]]->node); }
  ProxyRouter& proxy(std::size_t number) { return static_cast<ProxyRouter&>(*processes[proxies[number]]->node); }
  /// Number of the core that leads the replicated log, or 0 if none does.
  std::size_t leaderNumber();

  /// Returns the index of the new process. Its first tick comes at a random time within one interval.
  std::size_t startProcess(const std::string& role, const std::string& name, const std::string& address,
                           const std::function<void(Process&)>& construct);
  std::size_t startCore(int number, const Strings& seeds, const Strings& zones);
  void startDaemon(int number, const Strings& seeds);

  void handle(ScheduledEvent event);
  void handleTick(std::size_t processIndex);
  void handleFrame(const ScheduledEvent& event);
  void handleMessage(const ScheduledEvent& event);
  void finishSync(std::size_t processIndex);

  /// Runs one step of a process, counts its cost, sends its messages and starts a disk sync if there are records.
  void runStep(std::size_t processIndex, const Cause& cause, const Action& action);
  StepOutput runLogic(Process& process, const Action& action);
  void countStep(Process& process, const Cause& cause, std::int64_t cpuNs);
  void countFrame(Process& process, const Frame& frame);
  void sendFrame(Process& process, Frame frame);
  void sendDirect(std::size_t processIndex, DirectMessage sent);
  void respondAsWorker(std::size_t processIndex, int worker, const Message& message);
  void respondAsPlatform(std::size_t processIndex, const MachinesAsk& request);
  void schedule(TimePoint when, std::size_t to, const std::string& from, Message message);

  void recordAppliedChange(const std::string& changeId, Change& change);
  /// Adds the cells whose lease is held, and their blocks, to the fleet and to the cores that hold them.
  void collectCells(FleetCost& total);
  /// The cost of a process with the values that are taken at the end of the measurement.
  ProcessCost costOf(const Process& process, const std::map<std::string, int>& followersByAddress) const;
};

}  // namespace tt
