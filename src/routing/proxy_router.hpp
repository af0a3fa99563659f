#pragma once
#include <deque>

#include "agent.hpp"
#include "drain_plan.hpp"
#include "placement_cost.hpp"
#include "plain_placement.hpp"

/// The request router of a proxy: it admits client requests, selects a worker for each, decides whether a cached
/// prefix is fetched, and follows every request to its final status.
namespace tt {

struct ProxyRouterSettings {
  std::string name, address, zone, agentAddress;
  /// Whether cached prefixes may be fetched from other workers and stores at all.
  bool fetching{true};
  /// How many requests may wait for a worker.
  std::size_t maxPending{64};
  /// How long a request may wait for a worker.
  Duration pendingTimeout{1500ms};
  /// How long a worker may take to its first chunk, and then between two chunks. Requests on path routes have a
  /// deadline instead.
  Duration firstByteTimeout{10s};
  Duration chunkTimeout{5s};
  /// The approximate time, in milliseconds, that a worker takes to compute one block that it has not cached.
  double blockMs{4};
  /// The number of retries allowed per admitted request within the retry windows.
  double retryBudgetRatio{0.1};
  /// How long a cell may take to answer a lookup; a later reply is a miss.
  Duration lookupTimeout{200ms};
  /// Whether the worker fetches a prefix itself, from the source named in the request. Otherwise a separate transfer
  /// command copies the blocks before the request is sent.
  bool fetchWithinRequest{false};
  /// Whether open requests continue when their key is revoked or this proxy becomes stale, so that only new ones are
  /// denied.
  bool letOpenRequestsFinish{false};
  /// The fetch policy of path routes that name none.
  std::string routePolicy;
  /// The approximate number of prompt tokens that a worker prefills per millisecond.
  double tokensPerMs{100};
  /// The largest share of requests that is shed while responses start later than the target latency; 0 sheds none.
  double maxShedRatio{0};
  /// The number of retries that a proxy may always make within a retry window, however few requests it has admitted.
  double minRetriesPerWindow{1};
  /// The retry budget must hold within each of these two windows; the shorter one limits bursts.
  Duration retryBudgetWindow{5s}, retryBurstWindow{1s};
  Defences defences;
};

/// The routing decision for one attempt of a request: the worker, and the source from which a cached prefix is fetched.
struct RoutingPlan {
  /// `cacheDomain`: the name of the domain that the salt was made of; empty if the worker caches no blocks.
  std::string worker, address, zone, model, weights, salt, cacheDomain;
  /// One hash for each block of the prompt; on path routes a block is a part of the prompt, and the last part, which no
  /// other request shares, has no hash once a lookup is planned.
  Hashes hashes;
  /// The number of leading blocks that the worker has, according to its Bloom filter.
  std::size_t localHits{0};
  /// A worker or store whose cell is asked what it has of the prompt.
  struct Candidate {
    std::string name, address, zone;
    bool store{false};
    /// The number of leading blocks that it has, according to its Bloom filter.
    std::size_t estimatedHits{0};
    /// `busyness`: requests per slot there. `blocksPerSecond`: the measured speed of the link to the target.
    double busyness{0}, blocksPerSecond{0};
    /// Its position among the workers that may be selected for the prompt; 0 is the preferred one.
    int rank{0};
    std::string service{};
  };
  std::vector<Candidate> candidates;
  std::optional<Candidate> source;
  /// Tokens of each part of the prompt.
  std::vector<int> tokens;
  /// The store to which the worker should save the prefix; empty if none.
  std::string sinkAddress;
  /// Prompt tokens that the worker has neither cached nor fetches.
  int tokensToPrefill{0};
  /// `plannedHits`: leading blocks that a transfer would bring. `confirmedHits`: how many of them the exact index has
  /// confirmed. They differ only if a test turns off the defence `hitsConfirmed`.
  std::size_t plannedHits{0}, confirmedHits{0};
};

/// The routing logic of a proxy. It addresses clients as "caller", and its agent and the workers by their addresses.
class ProxyRouter : public Node {
 public:
  explicit ProxyRouter(ProxyRouterSettings routerSettings);
  void handle(Effects& effects, const std::string& from, const Message& message) override;
  void tick(Effects& effects) override;
  /// The state of this proxy as JSON, for operators.
  std::string condition(TimePoint now) const;
  /// Whether the configuration is known to be complete up to a time within the staleness bound.
  bool fresh(TimePoint now) const;
  /// Whether requests can be served: the configuration is fresh and not empty, and a worker is alive. If there are
  /// engine workers, at least one of them must be alive.
  bool ready(TimePoint now) const;
  const Configuration& configuration() const { return config; }
  std::size_t openRequests() const { return requests.size(); }
  /// Starts a drain: from now on only requests that the plan accepts are admitted, and requests still open at
  /// `plan.endsAt` are ended.
  void drain(const DrainPlan& plan) { drainPlan = plan; }

 private:
  /// A client's request from its admission to its final status.
  struct Request {
    CallerOrder submitted;
    std::string keyHash, tenant;
    RouteView route;
    Policy policy;
    RoutingPlan plan;
    std::string attemptId, transferId;
    /// Workers that are not selected again for this request.
    std::set<std::string> triedWorkers;
    /// `attempts`: the number of attempts so far. `transferredBlocks`: blocks that a separate transfer has copied to
    /// the worker.
    int attempts{0}, transferredBlocks{0};
    /// `mayHaveRun`: a worker may have run the request. `countedOpen`: it counts as open at its worker.
    /// `retryRequested`: the last action of the state chart decided on a retry.
    bool mayHaveRun{false}, countedOpen{false}, retryRequested{false};
    TimePoint pendingSince{}, lastActivityAt{}, lookupStartedAt{}, deadline{};
    /// `service`: the one drawn from the route's traffic split. `lastEventId`: the last event that the client received,
    /// after which another worker can resume the stream.
    std::string service, lastEventId;
    /// `unsentAttempts`: the number of attempts whose connection broke before the request was sent.
    int priority{5}, urgency{5}, unsentAttempts{0};
    /// `prefillCounted`: its tokens count as not yet prefilled at its worker. `responseStarted`: the client has
    /// received a chunk.
    bool prefillCounted{false}, responseStarted{false};
    TimePoint sentAt{};
    /// Replies to the open lookups, by the name of the worker or store.
    std::map<std::string, LookupReply> replies;
    /// The reason why the request has not been served yet: the code that the client gets if the request ends now.
    Code lastCode{Code::noWorker};
    WorkerEnd attemptEnd;
    std::string chunk;
    std::unique_ptr<StateMachine<ProxyRouter, Effects&, Request&>> stateMachine;
  };
  /// Blocks that are being copied to a worker, and the requests that wait for them.
  struct Transfer {
    std::string target, commandId;
    std::set<std::string> requestIds;
    TimePoint deadline{};
  };
  /// What this proxy knows about a worker from its own traffic and from reported load.
  struct WorkerStats {
    /// `open`: requests that this proxy has open there. `sentSinceUpdate`: those sent since the cell's last update.
    int open{0};
    int sentSinceUpdate{0};
    /// The worker is not selected before this time.
    TimePoint ejectedUntil{};
    /// `tokensToPrefill`: prompt tokens sent by this proxy and not yet prefilled. `running`, `waiting`: requests there,
    /// according to the worker's last report.
    int tokensToPrefill{0}, running{0}, waiting{0};
    TimePoint loadReportedAt{};
    /// Used only for workers of plain services: a worker that fails repeatedly is ejected for longer each time.
    OutlierRecord outliers;
  };
  ProxyRouterSettings settings;
  Configuration config;
  /// The newest state of each cell and when it was updated, by zone.
  std::map<std::string, CellNews> cells;
  std::map<std::string, TimePoint> cellUpdateAt;
  Uint64 machineListDigest{0};
  TimePoint machineListAt{};
  /// Workers that the platform lists and does not mark as leaving. Only these are selected.
  std::set<std::string> schedulable;
  std::map<std::string, std::unique_ptr<Request>> requests;
  /// Ids of the requests that wait for a worker.
  std::deque<std::string> pending;
  std::map<std::string, std::string> requestIdByAttempt, requestIdByLookup;
  std::map<std::string, Transfer> transfers;
  std::map<std::string, std::string> transferIdByCommand;
  std::map<std::string, WorkerStats> workerStats;
  /// `requiredIndex`: the configuration index that this proxy must have applied to be fresh. `lastId`: the counter for
  /// generated ids.
  std::uint64_t requiredIndex{0}, lastId{0};
  TimePoint freshUntil{}, lastFeedPollAt{}, lastFeedReplyAt{};
  /// When requests were admitted and retried within the longer window of the retry budget.
  std::deque<TimePoint> admissionTimes, retryTimes;
  /// When requests were completed within that window. The retry delay for denied clients is estimated from their rate.
  std::deque<TimePoint> completionTimes;
  std::map<std::string, int> openByTenant;
  /// The priorities of all requests so far.
  std::set<int> knownPriorities;
  /// The shortest target latency of any prompt so far; 0 before the first.
  double minLatencyTargetMs{0};
  /// When each weights version was announced; this determines until when requests may start on older versions.
  VersionTimeline weightsTimeline;
  Policy routePolicy;
  /// Zones whose cell did not answer a lookup, and the time before which they are not asked again.
  std::map<std::string, TimePoint> lookupHoldoffUntil;
  /// When a worker was last told to save a prefix to a store. The prefix is not saved again before the store's index
  /// can show it.
  std::unordered_map<BlockHash, TimePoint, BlockHashHasher> prefixSavedAt;
  /// Moving averages: the time from sending a request to its first chunk, less its own prefill time; and the number of
  /// tokens to prefill per request.
  double queueingDelayMs{0}, meanTokensToPrefill{0};
  TimePoint queueingDelayAt{};
  bool wasFresh{false};
  std::optional<DrainPlan> drainPlan;

  /// The actions of the state chart "order", each under the name that the chart has for it.
  using Actions = StateMachine<ProxyRouter, Effects&, Request&>::Actions;
  static const Actions& actions();
  void sendOrder(Effects& effects, Request& request);
  void sendLookup(Effects& effects, Request& request);
  /// Starts a transfer of the confirmed prefix to the selected worker, or waits for one that is already running.
  void sendMove(Effects& effects, Request& request);
  void dropMove(Effects& effects, Request& request);
  void freeWorker(Effects& effects, Request& request);
  void passChunk(Effects& effects, Request& request);
  void endDone(Effects& effects, Request& request);
  void endFailed(Effects& effects, Request& request);
  void endBroken(Effects& effects, Request& request);
  void endSilent(Effects& effects, Request& request);
  void endRevoked(Effects& effects, Request& request);
  void denyLate(Effects& effects, Request& request);
  void denyKey(Effects& effects, Request& request);
  void dropOrder(Effects& effects, Request& request);
  /// Decides on a retry after an attempt that did not run: the worker denied it, or it was never sent.
  void weighUnsent(Effects& effects, Request& request);
  /// Decides on a retry after an attempt that may have run: it was sent and ended without a response.
  void weighBroken(Effects& effects, Request& request);
  /// Decides whether a stream that broke is resumed at another worker.
  void weighResume(Effects& effects, Request& request);
  /// Queues a request for a retry and restarts its pending timeout.
  void redraw(Effects& effects, Request& request);
  /// Queues a request whose plan is no longer valid; its pending timeout continues.
  void drawAgain(Effects& effects, Request& request);

  void handleFromAgent(Effects& effects, const Message& message);
  void onWorkerChunk(Effects& effects, const WorkerChunk& chunk);
  void onWorkerEnd(Effects& effects, const WorkerEnd& end);
  void onWorkerLoad(const WorkerLoad& load, TimePoint now);
  void onFeedReply(const FeedReply& feed, TimePoint now);
  void onConfigurationUpdate(Effects& effects, const NewsMsg& update);
  void onCellUpdate(Effects& effects, const CellNews& update);
  void onMachineList(const MarksMsg& list, TimePoint now);
  void onLookupReply(Effects& effects, const LookupReply& reply);
  /// The request whose current attempt has this id; null if the request has ended or has been sent in another attempt
  /// since.
  Request* requestOfAttempt(const std::string& attemptId);
  /// The event of the chart "order" that stands for the end of an attempt.
  const char* chartEventFor(const Request& request, AttemptOutcome outcome) const;

  /// Denies a new request or accepts it.
  void admit(Effects& effects, const CallerOrder& submitted);
  void accept(Effects& effects, std::unique_ptr<Request> request);
  /// Dispatches an event to a request's state machine, and removes the request if that ended it.
  void dispatch(Effects& effects, const std::string& requestId, const std::string& event);
  /// Selects a worker and makes a plan for the request. Returns false if no worker can take it now; `lastCode` then
  /// holds the reason.
  bool selectWorker(Effects& effects, Request& request);
  /// Fills in the plan's candidates, whose cells are then asked which blocks of the prompt they have.
  void selectSources(Request& request, TimePoint now);
  /// selectWorker for engine workers on a path route: the preferred worker for the prompt's prefix, unless its load
  /// makes another one cheaper.
  bool selectByPrefix(Effects& effects, Request& request);
  /// Whether this is a plain service, whose workers cache no blocks and have no weights.
  bool isPlainService(const std::string& service) const;
  /// Whether the platform lists the worker and does not mark it as leaving.
  bool isSchedulable(const WorkerView& worker) const;
  bool selectPlainWorker(Effects& effects, Request& request);
  PlainCandidate plainCandidate(const WorkerView& worker, TimePoint now) const;
  /// Ejects a worker temporarily if the outcome of an attempt there is a failure.
  void eject(const Request& request, AttemptOutcome outcome, TimePoint now);
  /// selectSources on a path route: adds one store to the candidates and removes those whose cell does not answer.
  void selectFetchCandidates(Request& request, TimePoint now);
  /// Completes the plan for a request on a path route by the replies to its lookups: worker, source, store to save to,
  /// and urgency. Returns whether a prefix is fetched. If the request is shed, sets `lastCode` to pendingFull.
  bool finishFetchLookup(Effects& effects, Request& request);
  /// Tokens of the leading parts of a prompt.
  static int countTokens(const RoutingPlan& plan, std::size_t parts);
  /// The number of leading tokens that a candidate has according to its cell's reply; cachedOrPendingTokens() also
  /// counts those being prefilled there.
  static int cachedTokens(const Request& request, const RoutingPlan::Candidate& candidate);
  static int cachedOrPendingTokens(const Request& request, const RoutingPlan::Candidate& candidate);
  double transferMsBetween(const Request& request, const RoutingPlan::Candidate& source,
                           const RoutingPlan::Candidate& target, int tokens) const;
  /// The candidate from which the target would fetch a prefix, and the number of confirmed tokens that it has.
  /// `candidate` is null if none has sufficiently more tokens than the target.
  struct Source {
    const RoutingPlan::Candidate* candidate{nullptr};
    int tokens{0};
  };
  Source bestSourceFor(const Request& request, const RoutingPlan::Candidate& target, int targetTokens,
                       TimePoint now) const;
  /// A possible placement of a request: a worker, a source for its prefix, and the inputs of the cost.
  struct Placement {
    const RoutingPlan::Candidate* target{nullptr};
    Source source;
    PlacementInputs inputs;
  };
  Placement evaluatePlacement(const Request& request, const RoutingPlan::Candidate& target, int bestCachedTokens,
                              TimePoint now) const;
  /// No value if there is no worker among the candidates.
  std::optional<Placement> cheapestPlacement(const Request& request, TimePoint now) const;
  void applyPlacement(Effects& effects, Request& request, const Placement& placement);
  /// Estimates how many milliseconds a new request would wait at a worker, from this proxy's own traffic and the
  /// reported load.
  double estimateLoadMs(const std::string& worker, TimePoint now) const;
  /// The name of the domain within which the request may share cached blocks.
  std::string cacheDomainNameFor(const Request& request) const;
  void countAsOpen(Request& request);
  /// Whether a prefix is within the share of prefixes to be saved in the store and has not been sent there recently.
  bool shouldSaveTo(const std::string& store, const BlockHash& prefix, TimePoint now);
  void recordQueueingDelay(const Request& request, TimePoint now);
  bool shouldShed(Effects& effects, const Request& request);
  /// Only requests on path routes have a deadline.
  static bool isPastDeadline(const Request& request, TimePoint now) {
    return request.route.matchesPath() && now >= request.deadline;
  }
  /// Whether a request is ended because of the state of this proxy and not because of its key.
  static bool endedByProxy(const Request& request) {
    return request.lastCode == Code::staleEdge || request.lastCode == Code::stopping;
  }
  /// Stops counting a request's tokens as not yet prefilled. `completed` is false if the worker will not prefill them.
  void finishPrefill(Effects& effects, Request& request, bool completed);
  int maxAttemptsFor(const Request& request) const;
  Duration pendingTimeoutFor(const Request& request) const;
  /// Decides by the replies received so far, and sends the request or starts a transfer.
  void finishLookup(Effects& effects, Request& request);
  /// Continues all requests that wait for a transfer, with or without the blocks.
  void finishTransfer(Effects& effects, const std::string& transferId, bool success);
  /// Selects workers for the pending requests, those of the tenant with the fewest open requests first.
  void servePending(Effects& effects);
  void sendFinalStatus(Effects& effects, Request& request, const std::string& outcome, Code code,
                       const std::string& subject = {});
  /// Sends the final status "unknown" if a worker may have run the request, "not run" otherwise.
  void endNotRunOrUnknown(Effects& effects, Request& request, Code code, const std::string& subject = {});
  /// Ends the open requests whose key has been revoked, unless open requests may finish.
  void revokeOpenRequests(Effects& effects);
  void onConfigurationChanged(Effects& effects);
  /// Null if no cell knows the worker.
  const WorkerView* findWorker(const std::string& name) const;
  /// Estimates the number of requests at a worker: its cell's count plus those sent since, or this proxy's own count if
  /// the cell's last update is too old.
  int estimateRunning(const WorkerView& worker, TimePoint now) const;
  bool retryBudgetAllows(TimePoint now) const;
  /// When the use of a weights version ends, given that it may last for `period` after a newer one was announced.
  TimePoint weightsUseEndsAt(const std::string& model, const std::string& weights, Duration period) const;
  /// Whether a request may still be sent to a worker with this weights version.
  bool mayStartOn(const std::string& model, const std::string& weights, TimePoint now) const;
  /// Whether a request was sent and has no response yet although the use of its worker's weights has ended. Such a
  /// request must not start there any more.
  bool isUnstartedPastWeightsEnd(const Request& request, TimePoint now) const;
  void recordCurrentWeights();
  /// The retry delay for a denied client, in milliseconds. Part of it is random, so that clients that were denied
  /// together do not retry together.
  int retryDelayMs(Effects& effects, Code code) const;
  /// Frees a place in a full queue for a tenant that has less than an equal share of it, by ending the newest pending
  /// request of the tenant that has the most. Returns false if there is no such request.
  bool displacePending(Effects& effects, const std::string& tenant);
  /// Whether the planned worker can still take the request, with the planned salt.
  bool isPlanValid(const Request& request, TimePoint now) const;
  /// Whether this proxy has been stale for so long that it ends its open requests.
  bool isCutOff(TimePoint now) const;
  /// Whether this process may stop before the deadline of a request.
  bool mayStopBefore(TimePoint deadline, TimePoint now) const;
  /// Why all open requests have to end now; no value if they may continue.
  std::optional<Code> endReasonForAll(TimePoint now) const;
  /// Dispatches the event, which sends the request or starts a transfer, if the plan is still valid; otherwise queues
  /// the request again.
  void sendOrReselect(Effects& effects, const std::string& requestId, const std::string& event);
  /// Measured blocks per second of a link.
  double linkSpeed(const std::string& source, const std::string& target) const;
};

/// Checks that the transfer modes of a request are known and may be combined.
Result<void> checkTransferModes(const Strings& modes);
/// The number of leading hits in the reply to a lookup.
std::size_t prefixHits(const std::vector<int>& hits);

}  // namespace tt
