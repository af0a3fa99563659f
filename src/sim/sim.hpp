#pragma once
#include <queue>

#include "agent.hpp"
#include "core.hpp"
#include "operators.hpp"
#include "proxy_router.hpp"
#include "ring.hpp"
#include "standin.hpp"
#include "version_check.hpp"

namespace tt {

/// A simulated disk that holds the files of a ring log. Synced writes survive a crash. A batch whose sync was under way
/// may be complete, torn or missing afterwards; World::kill decides that.
class SimDisk : public RingFiles {
 public:
  SimDisk() : rows(4, std::string(512 * 1024, '\0')) {}
  Result<std::string> readAll(int file) override { return rows[static_cast<std::size_t>(file)]; }
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override;
  Result<void> sync(int) override { return boost::outcome_v2::success(); }
  int count() const override { return static_cast<int>(rows.size()); }
  std::size_t size() const override { return rows[0].size(); }
  /// The bytes of each file.
  std::vector<std::string> rows;
  /// Where the last write went.
  std::size_t lastFile{0}, lastOffset{0}, lastSize{0};
  /// The least time that a sync takes; up to 2 ms are added at random.
  Duration syncSpan{2ms};
  /// Injected faults: `stalled`: syncs do not end. `lying`: writes succeed but store nothing. `full`: writes fail.
  bool stalled{false}, lying{false}, full{false};
};

/// The size, load and timing of a simulated fleet.
struct FleetShape {
  /// `spares`: additional core machines that are not started with the fleet. `edges`: machines with an agent and a
  /// proxy. Every second tenant is isolated.
  int cores{4}, spares{0}, edges{4}, workers{8}, tenants{4};
  /// Machines are spread over the zones in turn.
  std::vector<std::string> zones{"ghent-1", "ghent-2", "antwerp-1", "bruges-1"};
  /// Client requests per second, by kind.
  double planRate{3}, swapRate{8}, reminderRate{12}, appRate{1};
  /// How long a worker takes to load weights.
  int loadMs{1500};
  /// How many blocks a worker caches.
  std::size_t maxCachedBlocks{600};
  /// Whether proxies may have cached prefixes fetched from other workers and the store.
  bool fetching{true};
  /// Requests that a worker runs at once, and the time that it takes for each output token.
  int slots{8};
  double tokenMs{20};
  /// See CellSettings.
  Duration rolloutSpread{0};
  int rolloutParts{3};
};

/// A violation of a safety invariant that a run has shown.
struct Violation {
  std::string invariant, text;
  TimePoint at;
};

/// A fleet on simulated time. It runs the node logic of the real processes on a simulated network, simulated disks and
/// simulated clocks, injects faults, and checks the safety invariants while it runs. Runs with the same seed are equal.
class World {
 public:
  World(FleetShape fleetShape, std::uint64_t seed);
  ~World();
  void runUntil(TimePoint until);
  TimePoint now() const { return clock; }
  /// The time on a machine's own steady clock, which has an offset and drifts.
  TimePoint localNow(const std::string& name) const;
  std::mt19937_64& randomSource() { return random; }

  /// Faults and actions. A process is named core-1, agent-2, proxy-2, worker-3, app, store or platform. Agents and
  /// proxies of the same number share a machine.

  /// Stops a process without notice, as a crash or a power loss does.
  void kill(const std::string& name);
  /// Tells a proxy to drain and stop, as the platform does, and kills it after the grace period if it still runs.
  void leave(const std::string& name, Duration grace);
  void start(const std::string& name);
  /// Suspends a process. With `atSending` it is suspended when it next sends a command or a request to a worker, before
  /// the message leaves; the message is sent when the process resumes.
  void freeze(const std::string& name, Duration span, bool atSending = false);
  /// Kills a core and replaces its disk by an empty one.
  void wipeDisk(const std::string& name);
  /// Moves a core to a new address.
  void moveAddress(const std::string& name);
  SimDisk* disk(const std::string& name);
  /// The stand-in for a worker, the store or the application worker; nullptr for other processes.
  StandInBackend* keeper(const std::string& name);
  StandInPlatform& platform();
  /// Cuts the link between two processes, or only its direction from the first to the second.
  void cut(const std::string& one, const std::string& other, bool bothWays = true);
  /// Drops a share of the messages from the first process to the second.
  void lose(const std::string& one, const std::string& other, int perCent);
  /// Restores all links.
  void heal();
  /// Sends a configuration change through a core, and again through the next core every 1.5 s until it is acknowledged
  /// or 40 s have passed. With `loseAnswer` the first definite response is lost on the way to the operator.
  void change(const std::string& body, bool whole, const std::string& changeId, std::int64_t ifRevision, int coreNumber,
              bool loseAnswer = false);
  /// Announces new weights for the fleet's model by a configuration change.
  void nameWeights(const std::string& weights);
  /// Starts operators' clients that change the configuration concurrently, as their plan says.
  void runOperators(const OperatorPlan& plan);
  const History& operatorHistory() const { return operations.recorded(); }
  const HistoryCheckResult& historyCheckResult() const { return verdict; }
  /// Runs an action once, when the next change is acknowledged.
  void onNextAck(std::function<void()> action) { nextAckAction = std::move(action); }
  /// Runs an action once, when any process next appends an event of this kind to its journal.
  void onNote(const std::string& kind, std::function<void()> action) { noteActions[kind] = std::move(action); }
  /// Runs an action once, when the change with this id is acknowledged.
  void onAck(const std::string& changeId, std::function<void()> action) { ackActions[changeId] = std::move(action); }
  /// Revokes a tenant's key by a configuration change.
  void revoke(const std::string& tenant);
  /// Adds a tenant's revoked key again.
  void restore(const std::string& tenant);
  /// Adds a machine to the platform's list.
  void list(const std::string& name);
  /// Sets whether the platform lists a machine as leaving.
  void mark(const std::string& worker, bool leaving);
  /// Crashes the worker of each of the next `times` requests that come to a phase: at the first chunk (start), the
  /// third chunk (middle) or the end message (end), which is not sent. The worker restarts after 500 ms.
  void crashAt(const std::string& phase, int times) { crashes[phase] = times; }
  /// Scales the rates of all kinds of client requests.
  void setLoad(double scale) { loadScale = scale; }
  /// Lets a tenant send this many additional requests of kind swap per second.
  void burst(const std::string& tenant, double rate) { burstRates[tenant] = rate; }
  /// The share of clients that disconnect within 600 ms.
  void callerHangUps(int perCent) { hangUpShare = perCent; }
  /// Disables a defence in every process that starts from now on.
  void disable(Defence defence) { defences.disable(defence); }
  /// Sets the percentages of clients that retry a request after a response that it did not run: after the time that the
  /// response names, after 20 ms, or after 20 ms at another proxy. The rest does not retry.
  void callerHabits(int obeying, int ignoring, int moving) {
    obeyShare = obeying;
    ignoreShare = ignoring;
    moveShare = moving;
  }
  /// Advances a machine's steady clock, as a pause of the whole machine does.
  void leap(const std::string& name, Duration span);
  std::set<std::string> names() const;
  /// The process that has, or last had, this address; empty if there is none.
  std::string nameAt(const std::string& address) const;
  /// The processes in a zone, without the platform.
  std::set<std::string> zoneMembers(const std::string& zone) const;

  /// Observations.

  /// The first ten violations of each invariant.
  std::vector<Violation> violations;
  /// One request of a client, as the client saw it. A retry is a request of its own.
  struct OrderRow {
    TimePoint askedAt, endedAt;
    /// `verdict`: the final status. `key`: the tenant whose key was sent. `worker`: the worker that sent the first
    /// chunk. `intent`: the id of the first attempt, which all retries share.
    std::string kind, verdict, key, worker, intent;
    /// `gone`: the client has disconnected.
    bool repeatable{false}, ended{false}, firstSeen{false}, gone{false};
    int attempt{1};
    /// `said`: chunks that the client received. `runs`: how often a worker started it.
    int maxTokens{0}, said{0}, runs{0}, code{0};
    /// Time to the first chunk.
    double firstMs{0};
    /// Blocks that the worker had cached, fetched and computed.
    int local{0}, fetched{0}, computed{0};
  };
  const std::map<std::string, OrderRow>& orders() const { return orderRows; }
  /// How many journal events of a kind all processes have appended.
  std::int64_t count(const std::string& kind) const;
  /// The same for one process, since it was last started.
  std::int64_t countAt(const std::string& name, const std::string& kind) const;
  /// One configuration change. `acked`: a definite response has arrived, with `code`, at the time `at`. `index`: its
  /// log entry. `reached`: all proxies that run have applied it, since `reachedAll`.
  struct AckRow {
    std::string changeId;
    int code{0};
    std::uint64_t index{0}, revision{0};
    TimePoint askedAt, at, reachedAll;
    bool acked{false}, reached{false};
  };
  const std::vector<AckRow>& acks() const { return ackRows; }
  /// The core that holds a duty by its own account: "accord" (leadership of the log) or "cell/ZONE". Empty if there is
  /// none.
  std::string holderOf(const std::string& duty) const;
  /// How many cores hold the duty by their own account.
  int holdersOf(const std::string& duty) const;
  /// nullptr if the core is down.
  Core* core(const std::string& name);
  ProxyRouter* edge(const std::string& name);
  Agent* agent(const std::string& name);
  /// Checks the invariants that only the end of a run can show: no acknowledged change is lost, the operators' history
  /// is linearizable, and retries are few.
  void checkEnd();
  /// The messages that all processes have sent to each other, and the bytes of those that cores and agents sent to
  /// other machines while `countBytes` was set; also by kind of message (messages, bytes) and by sender.
  std::uint64_t messagesSent{0}, bytesSent{0};
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> trafficByKind;
  std::map<std::string, std::uint64_t> bytesByNode;
  bool countBytes{false};
  /// Journal events whose kind contains this text are printed to stderr; "*" prints all.
  std::string trace;

 private:
  struct Actor;
  /// An action that is scheduled on the world's clock.
  struct Due {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Due& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
  };
  /// The connection over which a worker streams one response.
  struct Stream {
    std::string proxy, worker;
    /// Set once a message could not be delivered; nothing is delivered after it.
    bool torn{false};
  };
  FleetShape shape;
  std::mt19937_64 random;
  TimePoint clock;
  /// Numbers the scheduled actions: those of the same time run in the order in which they were scheduled.
  std::uint64_t dueCount{0};
  std::priority_queue<Due> dues;
  std::map<std::string, std::unique_ptr<Actor>> actors;
  std::map<std::string, std::string> nameByAddress;
  /// The last arrival on each link, so that messages do not overtake each other.
  std::map<std::pair<std::string, std::string>, TimePoint> lastArrival;
  std::set<std::pair<std::string, std::string>> cuts;
  /// The percentage of messages that each link drops.
  std::map<std::pair<std::string, std::string>, int> losses;
  std::map<std::string, Stream> streams;
  std::map<std::string, OrderRow> orderRows;
  /// Requests without a final response, for their retries.
  std::map<std::string, CallerOrder> asksOpen;
  std::vector<AckRow> ackRows;
  std::map<std::string, std::size_t> ackByAsk;
  /// Operators' requests whose next definite response is to be lost.
  std::set<std::string> lostAnswers;
  std::map<std::string, TimePoint> lookupsOpen;
  /// By tenant: when the revocation was acknowledged. By worker: since when it is listed as leaving.
  std::map<std::string, TimePoint> revokedAt, leavingAt;
  /// The plans of draining proxies, on the world's clock.
  std::map<std::string, DrainPlan> drains;
  /// The highest log index that any fresh core or proxy has been seen to serve.
  std::uint64_t shownMost{0};
  /// A log entry as it was first applied, and the core that applied it. Every other core must apply the same.
  struct Canon {
    LogEntry entry;
    std::string who;
  };
  std::map<std::uint64_t, Canon> canon;
  std::map<std::string, std::uint64_t> canonByChange;
  std::map<std::string, int> runsByIntent;
  /// Times and proxies of the requests admitted within the last 10 s and of the retries within the last 5 s.
  std::deque<std::pair<TimePoint, std::string>> admittedLately, retriedLately;
  Defences defences;
  /// The prompt of the last request of kind plan, which some later ones extend.
  Strings lastPlan;
  std::map<std::string, double> burstRates;
  void sendBursts();
  std::set<std::string> restored;
  int obeyShare{0}, ignoreShare{0}, moveShare{0};
  /// By worker: the term and holder of the last command that it accepted.
  std::map<std::string, std::pair<std::uint64_t, std::string>> commandBy;
  /// By transfer: how many blocks it may bring.
  std::map<std::string, std::int64_t> moveSizes;
  std::map<std::string, bool> isolated;
  VersionCheck versions;
  std::uint64_t orderCount{0}, askCount{0}, changeCount{0};
  double loadScale{1};
  int hangUpShare{0};
  std::string modelName{"rooster-llm"};
  std::int64_t retries{0}, admitted{0};
  std::map<std::string, std::int64_t> counts;
  /// By core: how often its address was changed. By phase: how many workers are still to crash (see crashAt).
  std::map<std::string, int> addressMoves, crashes;
  /// Whether the sender of this message is to crash now instead of sending it; counts the crash.
  bool crashesHere(const Message& message);

  void later(Duration span, std::function<void()> action);
  /// Creates the node logic of a process that starts.
  void make(const std::string& name);
  void scheduleTick(const std::string& name, std::uint64_t life);
  /// Calls a process's logic and carries out the effects.
  void drive(Actor& actor, const std::function<void(Effects&)>& action);
  /// Sends messages, except requests whose send deadline has passed; their proxy is told that they were not sent.
  void release(Actor& actor, std::vector<std::pair<std::string, Message>> sends);
  /// Whether a request's send deadline has passed on its proxy's clock. The real proxy checks this just before it
  /// writes the request to the connection.
  bool leftTooLate(const Actor& actor, const WorkerOrder& order) const;
  void endUnsent(const Actor& actor, const WorkerOrder& order);
  /// Sends one message: to a client, to an operator, or over the simulated network.
  void post(Actor& from, const std::string& to, Message message);
  void arrive(const std::string& from, const std::string& toName, std::uint64_t life, Message message);
  /// Lets a process handle a message; a suspended one handles it when it resumes.
  void give(Actor& actor, const std::string& from, const Message& message);
  void startSync(Actor& actor);
  void finishSync(const std::string& name, std::uint64_t life);
  /// Sends a change to a core, and again to the next one until it is acknowledged.
  void askCore(const OperatorRequest& ask, std::size_t at, int number);
  /// Sends one attempt of an operator's request and records it in the operators' history.
  void sendAttempt(const OperatorRequest& ask, const std::string& client, const std::string& coreName);
  /// Handles the first acknowledgement of a change.
  void acknowledged(std::size_t at);
  struct OperatorClient;
  struct OperatorCrew;
  /// Random choices of operators. They have a random source of their own, so that they do not alter other choices.
  std::string someCore();
  int rollOperators(int below);
  /// A random pause from half to one and a half times the mean.
  Duration operatorPause(Duration mean);
  void nextOperation(OperatorClient& client);
  void beginChange(OperatorClient& client);
  void beginNaming(OperatorClient& client);
  void beginRequest(OperatorClient& client);
  /// Sends a client's request to a random core, and again until it has a definite response or 40 s have passed.
  void sendTry(OperatorClient& client);
  void clientAnswered(OperatorClient& client, const OperatorResponse& reply);
  /// Sends an acknowledged request once more, or eight times: at once or up to 8 s later.
  void sendAgainLate(const OperatorClient& client);
  void readNowAndThen();
  /// Reads the configuration from every core.
  void readEverywhere();
  /// Reads the configuration from one core for the operators' history; `done` gets the revision read.
  void readThrough(const std::string& coreName, std::function<void(std::uint64_t revision)> done);
  void readAnswered(const Actor& actor, const ReadResponse& response);
  /// The digest of a core's configuration. Large ones are digested only now and then, as that is slow.
  std::optional<std::uint64_t> digestAt(const std::string& coreName, const Configuration& configuration);
  void checkOperators();
  bool linked(const std::string& one, const std::string& other) const;
  /// Handles and checks what a client receives.
  void toCaller(const Message& message);
  /// Sends requests of a kind at random intervals, from 4 s after the start on.
  void sendLoad(const std::string& kind, double rate);
  void sendOrder(const std::string& kind, std::string tenant = {});
  void placeOrder(CallerOrder order, const std::string& kind, const std::string& proxy, const std::string& intent,
                  int attempt);
  /// Schedules a client's retry of a request that did not run, according to the clients' habits.
  void comeBack(const CallerOrder& order, const std::string& requestId, int retryAfterMs);
  /// Checks periodically what fresh readers show, and lookups that stay open.
  void watchReads();
  /// Checks that a reader that counts itself as fresh has applied what it must have applied.
  void readShown(const std::string& who, std::uint64_t index);
  /// Checks that an applied entry is the same at every core, and that no change is applied twice.
  void watchEntry(const std::string& name, std::uint64_t index);
  /// Checks the share of retries within the last 1 s and 5 s, at one proxy and in the whole fleet.
  void watchRetries(const std::string& proxy);
  /// Checks that each configuration is what the entries applied add up to, and that acknowledged changes are among
  /// them.
  void checkConfigurations();
  /// Counts a journal event and checks the invariants that it may show as violated.
  void watch(const std::string& name, const Event& event);
  void watchNaming(const LogEntry& entry);
  void weightsAcknowledged(const AckRow& ack);
  void checkWorkersWeights(std::uint64_t index, const std::string& named);
  void watchBegin(const std::string& worker, const Event& event);
  void watchRun(const std::string& worker, const std::string& requestId);
  void violate(const std::string& invariant, const std::string& text);
  void leaveFurther(const std::string& name, std::uint64_t life);
  void checkGivenUp(const std::string& proxy);
  void checkGivenUp(const CallerVerdict& verdict, const OrderRow& order);
  std::string addressOf(const std::string& name) const;
  std::string zoneOf(const std::string& name) const;
  void operatorAnswer(const OperatorResponse& reply);
  std::string firstConfiguration() const;
  std::map<std::string, std::function<void()>> ackActions, noteActions;
  void watchHolders();
  /// Waits until all proxies that run have applied a change, for at most 10 s.
  void watchReach(std::size_t ack);
  std::mt19937_64 operatorRandom;
  OperatorHistory operations;
  HistoryCheckResult verdict;
  std::map<std::string, std::size_t> operationByAttempt;
  std::uint64_t attemptCount{0}, readCount{0};
  /// Counts configurations that were too large to digest each time.
  std::uint64_t digestCount{0};
  struct OpenRead {
    TimePoint began;
    std::function<void(std::uint64_t revision)> done;
  };
  std::map<std::string, OpenRead> readsOpen;
  std::vector<std::shared_ptr<OperatorCrew>> crews;
  std::map<std::string, OperatorClient*> clientByAsk;
  /// The last digest of a core's configuration, with the log index and the run of the core that it belongs to.
  struct DigestRow {
    std::uint64_t index{0}, life{0}, digest{0};
  };
  std::map<std::string, DigestRow> digests;
  std::function<void()> nextAckAction;
};

/// The names of all safety invariants.
const std::vector<std::string>& invariantNames();

}  // namespace tt
