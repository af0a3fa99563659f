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

/// The sim's disk: what was synced outlives a crash; what was under way may be whole, torn or gone.
class SimDisk : public RingFiles {
 public:
  SimDisk() : rows(4, std::string(512 * 1024, '\0')) {}
  Result<std::string> readAll(int file) override { return rows[static_cast<std::size_t>(file)]; }
  Result<void> write(int file, std::size_t offset, std::string_view bytes) override;
  Result<void> sync(int) override { return boost::outcome_v2::success(); }
  int count() const override { return static_cast<int>(rows.size()); }
  std::size_t size() const override { return rows[0].size(); }
  std::vector<std::string> rows;
  std::size_t lastFile{0}, lastOffset{0}, lastSize{0};
  Duration syncSpan{2ms};
  bool stalled{false}, lying{false}, full{false};
};

/// What a fleet in the sim is made of.
struct FleetShape {
  int cores{4}, spares{0}, edges{4}, workers{8}, tenants{4};
  std::vector<std::string> zones{"ghent-1", "ghent-2", "antwerp-1", "bruges-1"};
  double planRate{3}, swapRate{8}, reminderRate{12}, appRate{1};
  int loadMs{1500};
  std::size_t maxCachedBlocks{600};
  bool fetching{true};
  int slots{8};
  double tokenMs{20};
  /// Over how long a cell starts its workers on other weights, one after the other.
  Duration rolloutSpread{0};
  /// How many of a cell's workers may be on their way to other weights at once: one in so many.
  int rolloutParts{3};
};

/// One line that must never come true, broken.
struct Violation {
  std::string invariant, text;
  TimePoint at;
};

/// A fleet on simulated time: the same logic as the real processes, with its network, disks and clocks made up.
class World {
 public:
  World(FleetShape fleetShape, std::uint64_t seed);
  ~World();
  void runUntil(TimePoint until);
  TimePoint now() const { return clock; }
  /// What the machine's own steady clock shows.
  TimePoint localNow(const std::string& name) const;
  std::mt19937_64& randomSource() { return random; }

  /// What scenarios do. A name is core-1, agent-2, proxy-2, worker-3, app, store, platform.
  void kill(const std::string& name);
  /// Tells a proxy to stop, as the platform does, and kills it after the grace if it has not ended by then.
  void leave(const std::string& name, Duration grace);
  void start(const std::string& name);
  void freeze(const std::string& name, Duration span, bool atSending = false);
  void wipeDisk(const std::string& name);
  void moveAddress(const std::string& name);
  SimDisk* disk(const std::string& name);
  StandInBackend* keeper(const std::string& name);
  StandInPlatform& platform();
  void cut(const std::string& one, const std::string& other, bool bothWays = true);
  void lose(const std::string& one, const std::string& other, int perCent);
  void heal();
  void change(const std::string& body, bool whole, const std::string& changeId, std::int64_t ifRevision, int coreNumber,
              bool loseAnswer = false);
  void nameWeights(const std::string& weights);
  /// Lets operators' clients change the configuration together, as fast and as carelessly as their plan says.
  void runOperators(const OperatorPlan& plan);
  const History& operatorHistory() const { return operations.recorded(); }
  const HistoryCheckResult& historyCheckResult() const { return verdict; }
  /// Does something once, the moment any change is acknowledged.
  void onNextAck(std::function<void()> action) { nextAckAction = std::move(action); }
  /// Does something once, the moment anyone notes an event of this kind.
  void onNote(const std::string& kind, std::function<void()> action) { noteActions[kind] = std::move(action); }
  /// Does something once, the moment a change is acknowledged.
  void onAck(const std::string& changeId, std::function<void()> action) { ackActions[changeId] = std::move(action); }
  void revoke(const std::string& tenant);
  /// Gives a revoked tenant its old key back.
  void restore(const std::string& tenant);
  /// Puts a machine on the platform's list.
  void list(const std::string& name);
  void mark(const std::string& worker, bool leaving);
  /// The next few orders that come to a phase (start, middle, end) take their worker down with them.
  void crashAt(const std::string& phase, int times) { crashes[phase] = times; }
  void setLoad(double scale) { loadScale = scale; }
  /// One tenant sends this many more reminders a second.
  void burst(const std::string& tenant, double rate) { burstRates[tenant] = rate; }
  void callerHangUps(int perCent) { hangUpShare = perCent; }
  /// Takes a defence out of the logic of every process started from here on.
  void disable(Defence defence) { defences.disable(defence); }
  /// How callers behave who are told that their order did not run: per cent that come back as told, at once, elsewhere.
  void callerHabits(int obeying, int ignoring, int moving) {
    obeyShare = obeying;
    ignoreShare = ignoring;
    moveShare = moving;
  }
  /// A machine's steady clock leaps ahead, as after a pause of the whole machine.
  void leap(const std::string& name, Duration span);
  std::set<std::string> names() const;
  std::string nameAt(const std::string& address) const;
  std::set<std::string> zoneMembers(const std::string& zone) const;

  /// What came of it.
  std::vector<Violation> violations;
  struct OrderRow {
    TimePoint askedAt, endedAt;
    std::string kind, verdict, key, worker, intent;
    bool repeatable{false}, ended{false}, firstSeen{false}, gone{false};
    int attempt{1};
    int maxTokens{0}, said{0}, runs{0}, code{0};
    double firstMs{0};
    int local{0}, fetched{0}, computed{0};
  };
  const std::map<std::string, OrderRow>& orders() const { return orderRows; }
  std::int64_t count(const std::string& kind) const;
  std::int64_t countAt(const std::string& name, const std::string& kind) const;
  struct AckRow {
    std::string changeId;
    int code{0};
    std::uint64_t index{0}, revision{0};
    TimePoint askedAt, at, reachedAll;
    bool acked{false}, reached{false};
  };
  const std::vector<AckRow>& acks() const { return ackRows; }
  std::string holderOf(const std::string& duty) const;
  int holdersOf(const std::string& duty) const;
  Core* core(const std::string& name);
  ProxyRouter* edge(const std::string& name);
  Agent* agent(const std::string& name);
  /// Looks at what only shows at the end: nothing acknowledged may be lost, and repeat tries stay few.
  void checkEnd();
  std::uint64_t messagesSent{0}, bytesSent{0};
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> trafficByKind;
  std::map<std::string, std::uint64_t> bytesByNode;
  bool countBytes{false};
  std::string trace;

 private:
  struct Actor;
  struct Due {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Due& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
  };
  struct Stream {
    std::string proxy, worker;
    bool torn{false};
  };
  FleetShape shape;
  std::mt19937_64 random;
  TimePoint clock;
  std::uint64_t dueCount{0};
  std::priority_queue<Due> dues;
  std::map<std::string, std::unique_ptr<Actor>> actors;
  std::map<std::string, std::string> nameByAddress;
  std::map<std::pair<std::string, std::string>, TimePoint> lastArrival;
  std::set<std::pair<std::string, std::string>> cuts;
  std::map<std::pair<std::string, std::string>, int> losses;
  std::map<std::string, Stream> streams;
  std::map<std::string, OrderRow> orderRows;
  std::map<std::string, CallerOrder> asksOpen;
  std::vector<AckRow> ackRows;
  std::map<std::string, std::size_t> ackByAsk;
  std::set<std::string> lostAnswers;
  std::map<std::string, TimePoint> lookupsOpen;
  std::map<std::string, TimePoint> revokedAt, leavingAt;
  /// The plans of proxies that are leaving, on the world's clock.
  std::map<std::string, DrainPlan> drains;
  /// The newest state that any reader has shown, and each core's and proxy's entries as they applied them.
  std::uint64_t shownMost{0};
  struct Canon {
    LogEntry entry;
    std::string who;
  };
  std::map<std::uint64_t, Canon> canon;
  std::map<std::string, std::uint64_t> canonByChange;
  std::map<std::string, int> runsByIntent;
  std::deque<std::pair<TimePoint, std::string>> admittedLately, retriedLately;
  Defences defences;
  Strings lastPlan;
  std::map<std::string, double> burstRates;
  void sendBursts();
  std::set<std::string> restored;
  int obeyShare{0}, ignoreShare{0}, moveShare{0};
  std::map<std::string, std::pair<std::uint64_t, std::string>> commandBy;
  std::map<std::string, std::int64_t> moveSizes;
  std::map<std::string, bool> isolated;
  VersionCheck versions;
  std::uint64_t orderCount{0}, askCount{0}, changeCount{0};
  double loadScale{1};
  int hangUpShare{0};
  std::string modelName{"rooster-llm"};
  std::int64_t retries{0}, admitted{0};
  std::map<std::string, std::int64_t> counts;
  std::map<std::string, int> addressMoves, crashes;
  bool crashesHere(const Message& message);

  void later(Duration span, std::function<void()> action);
  void make(const std::string& name);
  void scheduleTick(const std::string& name, std::uint64_t life);
  void drive(Actor& actor, const std::function<void(Effects&)>& action);
  void release(Actor& actor, std::vector<std::pair<std::string, Message>> sends);
  /// Whether the time is over by which an order was to be written to its worker, as the real calls look in that
  /// instant.
  bool leftTooLate(const Actor& actor, const WorkerOrder& order) const;
  void endUnsent(const Actor& actor, const WorkerOrder& order);
  void post(Actor& from, const std::string& to, Message message);
  void arrive(const std::string& from, const std::string& toName, std::uint64_t life, Message message);
  void give(Actor& actor, const std::string& from, const Message& message);
  void startSync(Actor& actor);
  void finishSync(const std::string& name, std::uint64_t life);
  void askCore(const OperatorRequest& ask, std::size_t at, int number);
  void sendAttempt(const OperatorRequest& ask, const std::string& client, const std::string& coreName);
  void acknowledged(std::size_t at);
  struct OperatorClient;
  struct OperatorCrew;
  std::string someCore();
  int rollOperators(int below);
  Duration operatorPause(Duration mean);
  void nextOperation(OperatorClient& client);
  void beginChange(OperatorClient& client);
  void beginNaming(OperatorClient& client);
  void beginRequest(OperatorClient& client);
  void sendTry(OperatorClient& client);
  void clientAnswered(OperatorClient& client, const OperatorResponse& reply);
  void sendAgainLate(const OperatorClient& client);
  void readNowAndThen();
  void readEverywhere();
  void readThrough(const std::string& coreName, std::function<void(std::uint64_t revision)> done);
  void readAnswered(const Actor& actor, const ReadResponse& response);
  std::optional<std::uint64_t> digestAt(const std::string& coreName, const Configuration& configuration);
  void checkOperators();
  bool linked(const std::string& one, const std::string& other) const;
  void toCaller(const Message& message);
  void sendLoad(const std::string& kind, double rate);
  void sendOrder(const std::string& kind, std::string tenant = {});
  void placeOrder(CallerOrder order, const std::string& kind, const std::string& proxy, const std::string& intent,
                  int attempt);
  void comeBack(const CallerOrder& order, const std::string& requestId, int retryAfterMs);
  void watchReads();
  void readShown(const std::string& who, std::uint64_t index);
  void watchEntry(const std::string& name, std::uint64_t index);
  void watchRetries(const std::string& proxy);
  void checkConfigurations();
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
  void watchReach(std::size_t ack);
  std::mt19937_64 operatorRandom;
  OperatorHistory operations;
  HistoryCheckResult verdict;
  std::map<std::string, std::size_t> operationByAttempt;
  std::uint64_t attemptCount{0}, readCount{0}, digestCount{0};
  struct OpenRead {
    TimePoint began;
    std::function<void(std::uint64_t revision)> done;
  };
  std::map<std::string, OpenRead> readsOpen;
  std::vector<std::shared_ptr<OperatorCrew>> crews;
  std::map<std::string, OperatorClient*> clientByAsk;
  struct DigestRow {
    std::uint64_t index{0}, life{0}, digest{0};
  };
  std::map<std::string, DigestRow> digests;
  std::function<void()> nextAckAction;
};

/// All invariants' names, in the order of the brief.
const std::vector<std::string>& invariantNames();

}  // namespace tt
