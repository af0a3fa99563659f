#pragma once
#include "configuration.hpp"
#include "election.hpp"
#include "prefill_ledger.hpp"
#include "rollout_plan.hpp"
#include "version_timeline.hpp"

namespace tt {

/// A small sketch of a set of block hashes: may say yes wrongly, never no.
class BloomFilter {
 public:
  static std::string make(const std::unordered_set<BlockHash, BlockHashHasher>& kept);
  static bool mayContain(const std::string& bits, const BlockHash& hash);
};

/// One keeper's row in the exact index: a worker or the store.
struct CacheNode {
  Machine machine;
  Report last;
  TimePoint heardAt{}, askedAt{}, sweptAt{}, conditionAt{}, conditionAskedAt{};
  bool known{false}, confirmed{false}, askPending{false};
  std::uint64_t applied{0};
  std::unordered_set<BlockHash, BlockHashHasher> kept;
  std::string summary;
  bool summaryStale{true};
  /// A store's prefixes that gave way of late; of lookups lately, those it had and those that it had let go; and the
  /// share of prefixes, in thousandths, that it is to be given so that what it has is still there when it is wanted.
  std::unordered_map<BlockHash, TimePoint, BlockHashHasher> dropped;
  int found{0}, regretted{0}, savedPermille{1000};
  TimePoint weighedAt{};
};

/// How a cell deals with the workers it has, where it is not as with the project's own.
struct CellSettings {
  /// Reports on kept blocks and on condition are asked apart; machines' own rows tell the weights at first.
  bool separateStatus{false};
  /// One command lets runs finish, loads the weights and admits again.
  bool singleLoadCommand{false};
  /// Only the seeds form a fleet; other cores join it.
  bool onlySeedsBootstrap{false};
  /// Whether news carry summaries of what each keeper has.
  bool publishSummaries{true};
  /// How often a serving worker's condition is asked; 0 asks it only when it is not known or is about to change.
  Duration statusInterval{0};
  Duration reportInterval{50ms}, fullReportInterval{1s}, reportTimeout{1s}, workerTimeout{1500ms},
      publishInterval{60ms}, markTimeout{1s};
  /// How many workers of a model in this locality may be taken to other weights at once: one in so many.
  int rolloutParts{3};
  /// How long a roll-out waits for further namings before it starts its first worker.
  Duration rolloutSettleDelay{0};
  /// Over how long a locality's workers are started on other weights, one after the other; 0 starts all that there is
  /// room for.
  Duration rolloutSpan{0};
};

/// A locality's cell: its workers, its exact block index, and the commands to its workers. Every core has one for
/// each locality; only the holder of the cell's duty asks, commands and answers.
class Cell {
 public:
  Cell(std::string zone, const Member& self, bool local, Defences defencesGiven = {}, CellSettings cellSettings = {});
  Election election;
  void setMachines(const std::vector<Machine>& machines);
  void tick(Effects& effects, const Configuration& configuration);
  void handle(Effects& effects, const std::string& from, const Message& message);
  /// What an agent is known to have applied of this cell's news.
  void recordAgentMark(const std::string& agent, const CellVersion& mark, TimePoint now);
  /// Where fresh news go: the other cores and the agents that follow this core.
  std::function<void(Effects&, const CellNews&)> publish;
  /// All cells' newest news, so that small cells can take turns.
  const std::map<std::string, CellNews>* allNews{nullptr};
  /// When weights were named, as this core knows it.
  const VersionTimeline* versions{nullptr};
  const std::string& zone() const { return place; }
  const std::map<std::string, CacheNode>& cacheNodes() const { return rows; }
  /// Whether a command may still leave: asked again in the instant before it is written to its worker.
  bool mayCommand(const ControlAsk& command, TimePoint now) const;
  std::string rolloutState(const std::string& worker) const;
  std::int64_t unconfirmedCount() const;

 private:
  using RolloutWalk = StateMachine<Cell, Effects&, const std::string&>;
  struct Rollout {
    std::string weights, model;
    TimePoint since{}, sentAt{}, readyAt{};
    std::uint64_t markSequence{0};
    /// The number of the last command, which its answer brings back.
    Uint64 commandNumber{0};
    /// When the worker last said that it has taken the command.
    TimePoint takenAt{};
    bool failed{false};
    std::unique_ptr<RolloutWalk> walk;
  };
  struct Watch {
    WatchMsg ask;
    TimePoint startedAt{}, deadline{};
    std::unique_ptr<StateMachine<Cell, Effects&, Watch&>> walk;
  };
  struct AgentMark {
    CellVersion mark;
    TimePoint at{};
  };
  std::string place, selfId, selfAddress;
  Defences defences;
  CellSettings settings;
  TimePoint wonAt{};
  const Configuration* lastConfiguration{nullptr};
  std::map<std::string, CacheNode> rows;
  std::map<std::string, Rollout> rollouts;
  std::map<std::string, Watch> watches;
  std::map<std::string, AgentMark> agentMarks;
  PrefillLedger prefills;
  struct Speed {
    double blocksPerSecond{0};
    TimePoint at{};
  };
  std::map<std::pair<std::string, std::string>, Speed> speeds;
  std::uint64_t sequence{0};
  Uint64 lastCommand{0};
  /// What the last news said, so that the next need only say what has changed.
  std::map<std::string, WorkerView> said;
  TimePoint publishedAt{}, summariesAt{}, sweptAt{};
  std::string sweptLast;
  bool newsDue{true};
  using RolloutActions = RolloutWalk::Actions;
  using WatchActions = StateMachine<Cell, Effects&, Watch&>::Actions;
  static const RolloutActions& rolloutActions();
  static const WatchActions& watchActions();
  void hold(Effects& effects, const std::string& worker);
  void sendDrain(Effects& effects, const std::string& worker);
  void sendLoad(Effects& effects, const std::string& worker);
  void sendAdmit(Effects& effects, const std::string& worker);
  void release(Effects& effects, const std::string& worker);
  void giveUp(Effects& effects, const std::string& worker);
  void tellDone(Effects& effects, Watch& watch);
  void tellFailed(Effects& effects, Watch& watch);
  void command(Effects& effects, const std::string& worker, const std::string& action);
  void onReport(Effects& effects, const Report& report);
  void onLookup(Effects& effects, const LookupMsg& ask);
  void weighStore(CacheNode& keeper, const BlockHash& prefix, TimePoint now);
  /// Whether a worker tells of itself; a plain one behind an interface with reports of their own has none, and counts
  /// as alive for as long as it is listed.
  bool reports(const CacheNode& keeper) const;
  void askReports(Effects& effects);
  void askCondition(Effects& effects, CacheNode& keeper);
  void onCondition(Effects& effects, CacheNode& keeper, const Report& report);
  void moveRollouts(Effects& effects, const Configuration& configuration);
  Rollout& rolloutOf(const std::string& worker);
  void advance(Effects& effects, const std::string& worker, Rollout& rollout, const char* event);
  /// Whether a worker was heard lately, so that it counts among those to be taken to other weights.
  bool takesPart(const CacheNode& keeper, TimePoint now) const;
  TimePoint supersededAt(const Report& report, const std::string& wanted) const;
  RolloutStep stepOf(const std::string& worker, bool right) const;
  std::set<std::string> workersDue(TimePoint now, const Configuration& configuration) const;
  /// Whether a worker of another cell has the newest weights, so that they can be loaded.
  bool loadedElsewhere(const std::string& model) const;
  /// Whether a cell with a single worker of a model leaves the turn to cells before it, so that not all of a model's
  /// workers change at once.
  bool waitsItsTurn(const std::string& model, TimePoint superseded, TimePoint now) const;
  void startRollout(Effects& effects, const CacheNode& keeper, Rollout& rollout, const std::string& wanted, bool due);
  /// Goes on with a change that has begun. A load that a worker has taken is finished also where newer weights were
  /// named meanwhile: it takes no other order before, and would never serve if it were always sent on to the next.
  void moveRollout(Effects& effects, const CacheNode& keeper, Rollout& rollout, const std::string& wanted);
  void moveWatches(Effects& effects);
  void publishNews(Effects& effects);
  void tellChanges(CellNews& news);
  void whenHolds(Effects& effects, bool won);
  bool agentsHave(std::uint64_t markSequence, TimePoint now) const;
  void doubt(Effects& effects, CacheNode& keeper, const char* why);
};

}  // namespace tt
