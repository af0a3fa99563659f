#pragma once
#include <deque>

#include "agent.hpp"
#include "drain_plan.hpp"
#include "placement_cost.hpp"
#include "plain_placement.hpp"

namespace tt {

struct ProxyRouterSettings {
  std::string name, address, zone, agentAddress;
  bool fetching{true};
  std::size_t maxPending{64};
  Duration pendingTimeout{1500ms};
  Duration firstByteTimeout{10s};
  Duration chunkTimeout{5s};
  double blockMs{4};
  double retryBudgetRatio{0.1};
  Duration lookupTimeout{200ms};
  /// A source rides on the caller's own order; moves are no orders of their own.
  bool fetchWithinRequest{false};
  /// Orders under way go on when their key is revoked or this proxy is cut off; only new ones are denied.
  bool letOpenRequestsFinish{false};
  /// The policy of routes that name none.
  std::string routePolicy;
  /// Prompt tokens that a worker reads in a millisecond, about.
  double tokensPerMs{100};
  /// How much of the orders is denied at most when workers are too late for the aims of all.
  double maxShedRatio{0};
  /// Repeat tries that one proxy may always have within the retry span.
  double minRetriesPerWindow{1};
  Duration retryBudgetWindow{5s}, retryBurstWindow{1s};
  Defences defences;
};

/// What a proxy means to do with an order, as data, before any of it is done.
struct Plan {
  std::string worker, address, zone, model, weights, salt;
  Hashes hashes;
  std::size_t localHits{0};
  struct Candidate {
    std::string name, address, zone;
    bool store{false};
    std::size_t guessedHits{0};
    double busyness{0}, speed{0};
    /// Its place among the workers that may be drawn for the prompt.
    int rank{0};
    std::string service{};
  };
  std::vector<Candidate> candidates;
  std::optional<Candidate> source;
  /// Tokens of each of a prompt's parts; how many the worker is known to keep, and where it should save them.
  std::vector<int> tokens;
  std::string sinkAddress;
  int unread{0};
  /// What a move would bring, and what of it the exact index has confirmed; the same but in control runs.
  std::size_t wantedHits{0}, confirmedHits{0};
};

/// The logic of a proxy: admits, plans and carries out orders. It speaks to callers as "caller", to its agent and to
/// workers by address.
class ProxyRouter : public Node {
 public:
  explicit ProxyRouter(ProxyRouterSettings edgeSettings);
  void handle(Effects& effects, const std::string& from, const Message& message) override;
  void tick(Effects& effects) override;
  std::string condition(TimePoint now) const;
  bool fresh(TimePoint now) const;
  /// Whether orders can be taken: fresh, something declared, some worker known to live.
  bool ready(TimePoint now) const;
  const Configuration& configuration() const { return view; }
  std::size_t openOrders() const { return orders.size(); }
  /// Told to stop: takes only the orders that the plan allows, and ends what is left when the plan says so.
  void drain(const DrainPlan& plan) { drainPlan = plan; }

 private:
  struct Order {
    CallerOrder ask;
    std::string keyHash, tenant;
    RouteView route;
    Policy policy;
    Plan plan;
    std::string sendId, moveId;
    std::set<std::string> tried;
    int tries{0}, movedBlocks{0};
    bool mayHaveRun{false}, counted{false}, retryAsked{false};
    TimePoint takenAt{}, heardAt{}, lookupAt{}, deadline{};
    std::string service, lastPiece;
    int priority{5}, urgency{5}, unsent{0};
    bool unreadCounted{false}, began{false};
    TimePoint sentAt{};
    std::map<std::string, LookupReply> replies;
    Code lastCode{Code::noWorker};
    WorkerEnd end;
    std::string chunk;
    std::unique_ptr<StateMachine<ProxyRouter, Effects&, Order&>> walk;
  };
  struct Move {
    std::string target, sendId;
    std::set<std::string> orderIds;
    TimePoint deadline{};
  };
  struct WorkerLocal {
    int open{0};
    int sentSinceNews{0};
    TimePoint shunUntil{};
    /// Prompt tokens sent from here and not yet read there, and the load it last told of.
    int unread{0}, running{0}, waiting{0};
    TimePoint loadAt{};
    /// For workers of plain services, where one that fails is left out for longer each time.
    OutlierRecord outliers;
  };
  ProxyRouterSettings settings;
  Configuration view;
  std::map<std::string, CellNews> cells;
  std::map<std::string, TimePoint> newsAt;
  Uint64 machineListDigest{0};
  TimePoint machineListAt{};
  /// Listed by the platform and not marked as leaving: only these are drawn.
  std::set<std::string> staying;
  std::map<std::string, std::unique_ptr<Order>> orders;
  std::deque<std::string> pending;
  std::map<std::string, std::string> orderBySend, orderByLookup;
  std::map<std::string, Move> moves;
  std::map<std::string, std::string> moveBySend;
  std::map<std::string, WorkerLocal> locals;
  std::uint64_t needed{0}, idCount{0};
  TimePoint freshUntil{}, feedAt{}, agentHeard{};
  /// When orders were admitted and tried again within the longer span that the budget looks at.
  std::deque<TimePoint> admittedAt, retriedAt;
  /// Orders that ended well lately: the timing that a caller sent away may count on.
  std::deque<TimePoint> doneAt;
  std::map<std::string, int> openByTenant;
  /// The priorities that orders had so far.
  std::set<int> priorities;
  /// The shortest aim of any prompt so far; 0 before the first.
  double tightestAimMs{0};
  /// When each model's weights were named, so until when work may begin on older ones.
  VersionTimeline versions;
  Policy routePolicy;
  /// Localities whose index has not answered of late: not asked again before this moment.
  std::map<std::string, TimePoint> indexSilent;
  /// Prompts' prefixes that were saved to a store from here, not to be saved again before its index can show them.
  std::unordered_map<BlockHash, TimePoint, BlockHashHasher> savedAt;
  /// How much later than their own reading first pieces come, lately, and the prompt tokens of an order in the mean.
  double delayMs{0}, meanUnread{0};
  TimePoint delayAt{};
  bool wasFresh{false};
  std::optional<DrainPlan> drainPlan;

  using Actions = StateMachine<ProxyRouter, Effects&, Order&>::Actions;
  static const Actions& actions();
  void sendOrder(Effects& effects, Order& order);
  void sendLookup(Effects& effects, Order& order);
  void sendMove(Effects& effects, Order& order);
  void dropMove(Effects& effects, Order& order);
  void freeWorker(Effects& effects, Order& order);
  void passChunk(Effects& effects, Order& order);
  void endDone(Effects& effects, Order& order);
  void endFailed(Effects& effects, Order& order);
  void endBroken(Effects& effects, Order& order);
  void endSilent(Effects& effects, Order& order);
  void endRevoked(Effects& effects, Order& order);
  void denyLate(Effects& effects, Order& order);
  void denyKey(Effects& effects, Order& order);
  void dropOrder(Effects& effects, Order& order);
  void weighUnsent(Effects& effects, Order& order);
  void weighBroken(Effects& effects, Order& order);
  void weighResume(Effects& effects, Order& order);
  void redraw(Effects& effects, Order& order);
  void drawAgain(Effects& effects, Order& order);

  void takeFromAgent(Effects& effects, const Message& message);
  void onWorkerChunk(Effects& effects, const WorkerChunk& chunk);
  void onWorkerEnd(Effects& effects, const WorkerEnd& end);
  void onWorkerLoad(const WorkerLoad& load, TimePoint now);
  void onFeed(const FeedReply& feed, TimePoint now);
  void onNews(Effects& effects, const NewsMsg& news);
  void onCellNews(Effects& effects, const CellNews& news);
  void onMarks(const MarksMsg& marks, TimePoint now);
  void onLookupReply(Effects& effects, const LookupReply& reply);
  /// The order that was sent to a worker under this id; null if it is over or was sent again since.
  Order* orderSentAs(const std::string& sendId);
  /// The event of the order chart that a worker's end of an order is.
  const char* eventOf(const Order& order, OrderOutcome outcome) const;

  void admit(Effects& effects, const CallerOrder& ask);
  void accept(Effects& effects, std::unique_ptr<Order> order);
  void dispatch(Effects& effects, const std::string& orderId, const std::string& event);
  bool drawWorker(Effects& effects, Order& order);
  void drawSources(Order& order, TimePoint now);
  bool drawByPrefix(Effects& effects, Order& order);
  /// Whether a service's workers keep no blocks and carry no weights.
  bool isPlain(const std::string& service) const;
  /// Whether the platform lists a worker as staying.
  bool mayBeDrawn(const WorkerView& worker) const;
  bool drawPlain(Effects& effects, Order& order);
  PlainCandidate plainCandidate(const WorkerView& worker, TimePoint now) const;
  /// Leaves a worker out for a while for how an order ended there.
  void eject(const Order& order, OrderOutcome outcome, TimePoint now);
  void drawRideSources(Order& order, TimePoint now);
  bool settleRide(Effects& effects, Order& order);
  /// Tokens of a prompt's leading parts.
  static int tokensOf(const Plan& plan, std::size_t parts);
  /// Tokens that a candidate's cell confirmed, and those that it keeps or is about to keep.
  static int keptTokens(const Order& order, const Plan::Candidate& candidate);
  static int soonKeptTokens(const Order& order, const Plan::Candidate& candidate);
  double transferMsBetween(const Order& order, const Plan::Candidate& source, const Plan::Candidate& target,
                           int tokens) const;
  /// The one that has most of a prompt beyond what the target has, and its confirmed tokens; nobody where that is not
  /// worth a fetch.
  struct Source {
    const Plan::Candidate* candidate{nullptr};
    int tokens{0};
  };
  Source sourceFor(const Order& order, const Plan::Candidate& target, int own, TimePoint now) const;
  /// A prompt at one of the workers that were asked, with what that costs.
  struct Placement {
    const Plan::Candidate* target{nullptr};
    Source source;
    PlacementFacts facts;
  };
  Placement placementAt(const Order& order, const Plan::Candidate& target, int heldAnywhere, TimePoint now) const;
  /// Nothing where no worker is among the candidates.
  std::optional<Placement> cheapestPlacement(const Order& order, TimePoint now) const;
  void placeAt(Effects& effects, Order& order, const Placement& placement);
  double loadOf(const std::string& worker, TimePoint now) const;
  void countOpen(Order& order);
  bool savesTo(const std::string& store, const BlockHash& prefix, TimePoint now);
  void noteDelay(const Order& order, TimePoint now);
  bool sheds(Effects& effects, const Order& order);
  static bool overdue(const Order& order, TimePoint now) { return order.route.matchesPath() && now >= order.deadline; }
  /// Whether an order is ended for its proxy's sake, not for its key's.
  static bool endsWithProxy(const Order& order) {
    return order.lastCode == Code::staleEdge || order.lastCode == Code::stopping;
  }
  /// The prompt was read, or will not be read there any more.
  void readDone(Effects& effects, Order& order, bool read);
  int mostTriesOf(const Order& order) const;
  Duration pendingMostOf(const Order& order) const;
  void settleLookup(Effects& effects, Order& order);
  void settleMove(Effects& effects, const std::string& moveId, bool success);
  void servePending(Effects& effects);
  void verdict(Effects& effects, Order& order, const std::string& word, Code code, const std::string& subject = {});
  void denyOrUnknown(Effects& effects, Order& order, Code code, const std::string& subject = {});
  void revokeOpen(Effects& effects);
  void setNews(Effects& effects);
  const WorkerView* workerView(const std::string& name) const;
  int busyOf(const WorkerView& worker, TimePoint now) const;
  bool mayRetry(TimePoint now) const;
  /// When a use of weights ends that may go on for `span` after newer ones were named.
  TimePoint endOfWeights(const std::string& model, const std::string& weights, Duration span) const;
  /// Whether an order may still be sent to a worker with these weights of this model.
  bool mayBegin(const std::string& model, const std::string& weights, TimePoint now) const;
  /// Whether an order waits at a worker whose weights' use is over, so that it must not begin there any more.
  bool beginsTooLate(const Order& order, TimePoint now) const;
  void noteVersions();
  int comeBackMs(Effects& effects, Code code) const;
  bool makeRoom(Effects& effects, const std::string& tenant);
  bool stillGood(const Order& order, TimePoint now) const;
  bool cutOff(TimePoint now) const;
  /// Whether this process may end before an order is over that is given up at its deadline.
  bool mayEndBefore(TimePoint deadline, TimePoint now) const;
  /// Why all open orders have to end now, if they have to.
  std::optional<Code> endOfAll(TimePoint now) const;
  void sendOrRedraw(Effects& effects, const std::string& orderId, const std::string& event);
  double linkSpeed(const std::string& source, const std::string& target) const;
};

/// Whether these transfer modes may stand together in one order.
Result<void> checkTransferModes(const Strings& modes);
std::size_t prefixHits(const std::vector<int>& hits);

}  // namespace tt
