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
  SimDisk() : fileBytes(4, std::string(512 * 1024, '\0')) {}
  Result<std::string> readAll(int file) override { return fileBytes[static_cast<std::size_t>(file)]; }
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override;
  Result<void> sync(int) override { return boost::outcome_v2::success(); }
  int count() const override { return static_cast<int>(fileBytes.size()); }
  std::size_t size() const override { return fileBytes[0].size(); }
  /// The bytes of each file.
  std::vector<std::string> fileBytes;
  /// Where the last write went.
  std::size_t lastFile{0}, lastOffset{0}, lastSize{0};
  /// The least time that a sync takes; up to 2 ms are added at random.
  Duration minSyncTime{2ms};
  /// Injected faults: `stalled`: syncs do not end. `discardsWrites`: writes succeed but store nothing. `full`: writes
  /// fail.
  bool stalled{false}, discardsWrites{false}, full{false};
};

/// The size, load and timing of a simulated fleet.
struct FleetShape {
  /// `spareCores`: additional core machines that are not started with the fleet. `edges`: machines with an agent and a
  /// proxy. Every second tenant is isolated.
  int cores{4}, spareCores{0}, edges{4}, workers{8}, tenants{4};
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
  void drainProxy(const std::string& name, Duration grace);
  void start(const std::string& name);
  /// Suspends a process. With `atNextSend` it is suspended when it next sends a command or a request to a worker,
  /// before the message leaves; the message is sent when the process resumes.
  void freeze(const std::string& name, Duration span, bool atNextSend = false);
  /// Kills a core and replaces its disk by an empty one.
  void wipeDisk(const std::string& name);
  /// Moves a core to a new address.
  void changeAddress(const std::string& name);
  SimDisk* disk(const std::string& name);
  /// The stand-in for a worker, the store or the application worker; nullptr for other processes.
  StandInBackend* backend(const std::string& name);
  StandInPlatform& platform();
  /// Cuts the link between two processes, or only its direction from the first to the second.
  void cutLink(const std::string& one, const std::string& other, bool bothWays = true);
  /// Drops a share of the messages from the first process to the second.
  void setLossRate(const std::string& one, const std::string& other, int percent);
  /// Ends all cuts and losses of links.
  void healLinks();
  /// Sends a configuration change through a core, and again through the next core every 1.5 s until it is acknowledged
  /// or 40 s have passed. `complete`: the body replaces the configuration; otherwise it is merged into it. A negative
  /// `ifRevision` allows any present revision. With `loseResponse` the first definite response is lost on the way to
  /// the operator.
  void submitChange(const std::string& body, bool complete, const std::string& changeId, std::int64_t ifRevision,
                    int coreNumber, bool loseResponse = false);
  /// Announces new weights for the fleet's model by a configuration change.
  void announceWeights(const std::string& weights);
  /// Starts operators' clients that change the configuration concurrently, as their plan says.
  void runOperators(const OperatorPlan& plan);
  const History& operatorHistory() const { return recordedOperations.recorded(); }
  const HistoryCheckResult& historyCheckResult() const { return historyResult; }
  /// Runs an action once, when the next change is acknowledged.
  void onNextAck(std::function<void()> action) { nextAckAction = std::move(action); }
  /// Runs an action once, when any process next appends an event of this kind to its journal.
  void onNextEvent(const std::string& kind, std::function<void()> action) { eventActions[kind] = std::move(action); }
  /// Runs an action once, when the change with this id is acknowledged.
  void onAck(const std::string& changeId, std::function<void()> action) { ackActions[changeId] = std::move(action); }
  /// Revokes a tenant's key by a configuration change.
  void revokeKey(const std::string& tenant);
  /// Adds a tenant's revoked key again.
  void restoreKey(const std::string& tenant);
  /// Sets whether a tenant is isolated, and declares it if it was removed; it then needs restoreKey to send requests.
  void setIsolation(const std::string& tenant, bool isolated);
  /// Removes a tenant and its key from the configuration.
  void removeTenant(const std::string& tenant);
  /// Adds a machine to the platform's list.
  void listMachine(const std::string& name);
  /// Sets whether the platform lists a machine as leaving.
  void markLeaving(const std::string& worker, bool leaving);
  /// Crashes a worker instead of letting it send the first chunk of a response (phase "start"), the third chunk
  /// ("middle") or the end message ("end"), for the next `times` responses that come so far. It restarts after 500 ms.
  void crashWorkersAt(const std::string& phase, int times) { pendingCrashes[phase] = times; }
  /// Scales the rates of all kinds of client requests.
  void setLoadScale(double scale) { loadScale = scale; }
  /// Lets a tenant send this many additional requests of kind swap per second.
  void setBurstRate(const std::string& tenant, double rate) { burstRates[tenant] = rate; }
  /// The percentage of clients that disconnect within 600 ms.
  void setHangUpPercent(int percent) { hangUpPercent = percent; }
  /// Disables a defence in every process that starts from now on.
  void disable(Defence defence) { defences.disable(defence); }
  /// Sets the percentages of clients that retry a request that was rejected or met a stopped proxy, or a repeatable one
  /// that they gave up: after the time that the response names, after 20 ms, or after 20 ms at another proxy. The
  /// others do not retry. A request is sent six times at most.
  void setRetryHabits(int obeying, int ignoring, int moving) {
    obeyPercent = obeying;
    ignorePercent = ignoring;
    movePercent = moving;
  }
  /// Advances a machine's steady clock, as a pause of the whole machine does.
  void advanceClock(const std::string& name, Duration span);
  std::set<std::string> names() const;
  /// The process that has, or last had, this address; empty if there is none.
  std::string nameAt(const std::string& address) const;
  /// The processes in a zone, without the platform.
  std::set<std::string> zoneMembers(const std::string& zone) const;

  /// Observations.

  /// The first ten violations of each invariant.
  std::vector<Violation> violations;
  /// One request of a client, as the client saw it. A retry is a request of its own.
  struct RequestRecord {
    TimePoint sentAt, endedAt;
    /// `status`: the final status: "done", "failed", "unknown" or "not run" as the proxy reported it, or "connection
    /// lost", "no connection" or "hung up". `worker`: the worker that sent the first chunk. `firstAttemptId`: the id of
    /// the first attempt, which all retries share.
    std::string kind, status, tenant, worker, firstAttemptId;
    /// `clientGone`: the client has disconnected.
    bool repeatable{false}, ended{false}, firstChunkSeen{false}, clientGone{false};
    int attempt{1};
    /// `runs`: how often a worker started it.
    int maxTokens{0}, chunksReceived{0}, runs{0}, code{0};
    /// Milliseconds to the first chunk.
    double firstChunkMs{0};
    /// Blocks that the worker had cached, fetched and computed.
    int local{0}, fetched{0}, computed{0};
  };
  const std::map<std::string, RequestRecord>& requests() const { return requestRecords; }
  /// How many events of a kind all processes have appended to their journals.
  std::int64_t count(const std::string& kind) const;
  /// The same for one process, since it was last started.
  std::int64_t countAt(const std::string& name, const std::string& kind) const;
  /// One configuration change. `acked`: a definite response has arrived, with `code`. `index`: its log entry.
  /// `reachedAll`: all running proxies have applied it.
  struct ChangeRecord {
    std::string changeId;
    int code{0};
    std::uint64_t index{0}, revision{0};
    TimePoint sentAt, ackedAt, reachedAllAt;
    bool acked{false}, reachedAll{false};
  };
  const std::vector<ChangeRecord>& changes() const { return changeRecords; }
  /// The core that holds a duty by its own account: "accord" (leadership of the log) or "cell/ZONE". Empty if there is
  /// none.
  std::string holderOf(const std::string& duty) const;
  /// How many cores hold the duty by their own account.
  int holdersOf(const std::string& duty) const;
  /// The logic of a process; nullptr if it is of another kind, or for a core that is down.
  Core* core(const std::string& name);
  ProxyRouter* proxyRouter(const std::string& name);
  Agent* agent(const std::string& name);
  /// Checks the invariants that only the end of a run can show: no acknowledged change is lost, the operators' history
  /// is linearizable, and retries are few.
  void checkFinalState();
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
  struct ScheduledAction {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const ScheduledAction& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  /// The connection over which a worker streams one response.
  struct Stream {
    std::string proxy, worker;
    /// Set once a message could not be delivered; nothing is delivered after it.
    bool broken{false};
  };
  FleetShape shape;
  std::mt19937_64 random;
  TimePoint clock;
  /// Numbers the scheduled actions: those of the same time run in the order in which they were scheduled.
  std::uint64_t scheduledCount{0};
  std::priority_queue<ScheduledAction> scheduledActions;
  std::map<std::string, std::unique_ptr<Actor>> actors;
  std::map<std::string, std::string> nameByAddress;
  /// The last arrival on each link, so that messages do not overtake each other.
  std::map<std::pair<std::string, std::string>, TimePoint> lastArrival;
  std::set<std::pair<std::string, std::string>> cuts;
  /// The percentage of messages that each link drops.
  std::map<std::pair<std::string, std::string>, int> losses;
  std::map<std::string, Stream> streams;
  std::map<std::string, RequestRecord> requestRecords;
  /// Requests without a final response, for their retries.
  std::map<std::string, CallerOrder> requestsInFlight;
  std::vector<ChangeRecord> changeRecords;
  std::map<std::string, std::size_t> changeByRequestId;
  /// Operators' requests whose next definite response is to be lost.
  std::set<std::string> responsesToLose;
  std::map<std::string, TimePoint> openLookups;
  /// By tenant: when the revocation was acknowledged. By worker: since when it is listed as leaving.
  std::map<std::string, TimePoint> revokedAt, leavingSince;
  /// The plans of draining proxies, on the world's clock.
  std::map<std::string, DrainPlan> drainPlans;
  /// The highest log index that any fresh core or proxy has been seen to serve.
  std::uint64_t newestShownIndex{0};
  /// A log entry as it was first applied, and the core that applied it. Every other core must apply the same.
  struct AppliedEntry {
    LogEntry entry;
    std::string appliedBy;
  };
  std::map<std::uint64_t, AppliedEntry> appliedEntries;
  std::map<std::string, std::uint64_t> indexByChange;
  std::map<std::string, int> runsByFirstAttempt;
  /// Times and proxies of the requests admitted within the last 10 s and of the retries within the last 5 s.
  std::deque<std::pair<TimePoint, std::string>> recentAdmissions, recentRetries;
  Defences defences;
  /// The prompt of the last request of kind plan, which some later ones extend.
  Strings lastPlanParts;
  std::map<std::string, double> burstRates;
  /// Sends the additional requests of setBurstRate every 50 ms.
  void sendBursts();
  std::set<std::string> restoredTenants;
  int obeyPercent{0}, ignorePercent{0}, movePercent{0};
  /// By worker: the term and holder of the last command that it accepted.
  std::map<std::string, std::pair<std::uint64_t, std::string>> lastCommandTo;
  /// By transfer: how many blocks it may bring.
  std::map<std::string, std::int64_t> transferSizes;
  /// By tenant: when its isolation was acknowledged; and the id of the last change of its isolation.
  std::map<std::string, TimePoint> isolatedSince;
  std::map<std::string, std::string> lastIsolationId;
  VersionCheck versions;
  std::uint64_t requestCount{0}, operatorRequestCount{0}, changeCount{0};
  double loadScale{1};
  int hangUpPercent{0};
  std::string modelName{"rooster-llm"};
  std::int64_t retryCount{0}, admittedCount{0};
  std::map<std::string, std::int64_t> eventCounts;
  /// By core: how often its address was changed. By phase: how many workers are still to crash (see crashWorkersAt).
  std::map<std::string, int> addressMoves, pendingCrashes;
  /// Whether the sender of this message is to crash now instead of sending it; counts the crash.
  bool takeCrash(const Message& message);

  void schedule(Duration span, std::function<void()> action);
  /// Creates the node logic of a process that starts.
  void createNode(const std::string& name);
  void scheduleTick(const std::string& name, std::uint64_t incarnation);
  /// Calls a process's logic and carries out the effects.
  void callNode(Actor& actor, const std::function<void(Effects&)>& action);
  /// Sends messages, except requests whose send deadline has passed; their proxy is told that they were not sent.
  void sendAll(Actor& actor, std::vector<std::pair<std::string, Message>> sends);
  /// Whether a request's send deadline has passed on its proxy's clock. The real proxy checks this just before it
  /// writes the request to the connection.
  bool sendDeadlinePassed(const Actor& actor, const WorkerOrder& request) const;
  /// Tells a proxy that a request was not sent.
  void failUnsent(const Actor& actor, const WorkerOrder& request);
  /// Sends one message: to a client, to an operator, or over the simulated network.
  void sendMessage(Actor& from, const std::string& to, Message message);
  void deliver(const std::string& from, const std::string& toName, std::uint64_t incarnation, Message message);
  /// Lets a process handle a message; a suspended one handles it when it resumes.
  void dispatch(Actor& actor, const std::string& from, const Message& message);
  void startSync(Actor& actor);
  void finishSync(const std::string& name, std::uint64_t incarnation);
  /// Sends a change to a core, and again to the next one until it is acknowledged.
  void sendChange(const OperatorRequest& request, std::size_t recordIndex, int coreNumber);
  /// Sends one attempt of an operator's request and records it in the operators' history.
  void sendAttempt(const OperatorRequest& request, const std::string& client, const std::string& coreName);
  /// Handles the first acknowledgement of a change.
  void onChangeAcked(std::size_t recordIndex);
  struct OperatorClient;
  struct OperatorGroup;
  /// Random choices of operators. They have a random source of their own, so that they do not alter other choices.
  std::string randomCore();
  int operatorRandomBelow(int below);
  /// A random pause from half to one and a half times the mean.
  Duration randomOperatorPause(Duration mean);
  void startNextOperation(OperatorClient& client);
  void startChange(OperatorClient& client);
  void startAnnouncement(OperatorClient& client);
  void startRequest(OperatorClient& client);
  /// Sends a client's request to a random core, and again until it has a definite response or 40 s have passed.
  void sendToRandomCore(OperatorClient& client);
  void onClientResponse(OperatorClient& client, const OperatorResponse& response);
  /// Sends an acknowledged request once more, or eight times: at once or up to 8 s later.
  void resendAcknowledged(const OperatorClient& client);
  /// Reads the configuration from a random core every 100 ms.
  void readPeriodically();
  void readFromAllCores();
  /// Reads the configuration from one core for the operators' history; `done` gets the revision read.
  void readFrom(const std::string& coreName, std::function<void(std::uint64_t revision)> done);
  void onReadResponse(const Actor& actor, const ReadResponse& response);
  /// The digest of a core's configuration. Large ones are digested only now and then, as that is slow.
  std::optional<std::uint64_t> digestAt(const std::string& coreName, const Configuration& configuration);
  void checkOperatorHistory();
  bool linked(const std::string& one, const std::string& other) const;
  /// Handles and checks what a client receives. A worker sends its name and the chunk's number as text, so that chunks
  /// of different runs can be told apart.
  void onClientMessage(const Message& message);
  /// Sends requests of a kind at random intervals, from 4 s after the start on.
  void scheduleLoad(const std::string& kind, double rate);
  void sendRequest(const std::string& kind, std::string tenant = {});
  /// Sends one attempt of a client's request to a proxy; an empty `firstAttemptId` makes it the first.
  void submitRequest(CallerOrder request, const std::string& kind, const std::string& proxy,
                     const std::string& firstAttemptId, int attempt);
  /// Schedules a client's retry of a request that did not run, according to the clients' habits.
  void scheduleRetry(const CallerOrder& request, const std::string& requestId, int retryAfterMs);
  /// Checks periodically what fresh readers show, and lookups that stay open.
  void checkReaders();
  /// Checks that a fresh reader, which has applied the log up to `index`, has the changes acknowledged some time ago.
  void checkShownIndex(const std::string& reader, std::uint64_t index);
  /// Checks that an applied entry is the same at every core, and that no change is applied twice.
  void checkAppliedEntry(const std::string& name, std::uint64_t index);
  /// Checks the share of retries within the last 1 s and 5 s, at one proxy and in the whole fleet.
  void checkRetryRate(const std::string& proxy);
  /// Checks that each process's configuration is the result of the applied entries, and that these include all
  /// acknowledged changes.
  void checkConfigurations();
  /// Counts a journal event and checks the invariants that it may show as violated.
  void onEvent(const std::string& name, const Event& event);
  void recordAnnouncement(const LogEntry& entry);
  void onWeightsAcked(const ChangeRecord& record);
  /// Checks that these weights, announced by the entry at `index`, are in use.
  void checkWeightsInUse(std::uint64_t index, const std::string& weights);
  void checkStartedWeights(const std::string& worker, const Event& event);
  /// Checks that a request that uses blocks of another tenant may do so. `subject`: "OWNER>USER REQUEST".
  void checkTenants(const std::string& worker, const std::string& subject);
  void onIsolationAcked(const ChangeRecord& record);
  void checkRunWeights(const std::string& worker, const std::string& requestId);
  /// Records a violation unless the invariant already has ten.
  void reportViolation(const std::string& invariant, const std::string& text);
  void continueDrain(const std::string& name, std::uint64_t incarnation);
  void checkAllAnswered(const std::string& proxy);
  void checkStopResponse(const CallerVerdict& response, const RequestRecord& request);
  std::string addressOf(const std::string& name) const;
  std::string zoneOf(const std::string& name) const;
  void onOperatorResponse(const OperatorResponse& response);
  /// The configuration that every simulated fleet starts with.
  std::string firstConfiguration() const;
  /// The actions of onAck, by change id, and of onNextEvent, by kind.
  std::map<std::string, std::function<void()>> ackActions, eventActions;
  /// Checks every 20 ms that no duty has two holders.
  void checkHolders();
  /// Waits up to 10 s until all running proxies have applied a change, and records when that was.
  void trackReach(std::size_t recordIndex);
  std::mt19937_64 operatorRandom;
  OperatorHistory recordedOperations;
  HistoryCheckResult historyResult;
  std::map<std::string, std::size_t> operationByAttemptId;
  std::uint64_t attemptCount{0}, readCount{0};
  /// Counts configurations that were too large to digest each time.
  std::uint64_t digestCount{0};
  /// A read of the configuration that a core has not answered yet.
  struct OpenRead {
    TimePoint began;
    std::function<void(std::uint64_t revision)> done;
  };
  std::map<std::string, OpenRead> openReads;
  std::vector<std::shared_ptr<OperatorGroup>> operatorGroups;
  std::map<std::string, OperatorClient*> clientByRequestId;
  /// The last digest of a core's configuration, with the log index and the run of the core that it belongs to.
  struct CachedDigest {
    std::uint64_t index{0}, incarnation{0}, digest{0};
  };
  std::map<std::string, CachedDigest> digestByCore;
  std::function<void()> nextAckAction;
};

/// The names of all safety invariants. Each says what must never happen:
/// runs-twice: a request that is not repeatable is started twice.
/// not-run-but-ran: a request that a worker has started is reported as not run.
/// stitched: a client gets chunks of different runs, or an incomplete response as complete.
/// other-weights, other-tenant: a request uses cached blocks of other weights, or of another tenant if one is isolated.
/// fetch-beyond: a transfer brings more blocks than were confirmed.
/// lookup-late: a request waits too long for a lookup.
/// change-ignored: a fresh reader lacks a change some time after its acknowledgement.
/// change-back: a fresh reader lacks an acknowledged change that another has shown before.
/// revoked-works: a key works some time after its revocation was acknowledged.
/// leaving-used: a worker gets requests or transfers some time after it was listed as leaving.
/// weights-late: announced weights are not in use in time.
/// old-weights-began: a request begins on weights whose use has ended.
/// too-many-retries: proxies retry more than a fifth of the requests.
/// acked-lost: an acknowledged change is lost or applied twice, or cores apply different entries.
/// two-holders: two cores hold one duty, or a worker obeys two holders in one term or an older term.
/// operator-history: the operators' operations are not linearizable.
/// given-up: a proxy that drains leaves a request unanswered, or accepts one that it cannot finish.
const std::vector<std::string>& invariantNames();

}  // namespace tt
