#pragma once
#include <list>

#include "defences.hpp"
#include "effects.hpp"

namespace tt {

struct StandInSettings {
  std::string name, address, kind{"language"}, model, weights, storeAddress;
  int slots{8};
  double blockMs{4}, tokenMs{20}, linkMs{0.2};
  std::size_t maxCachedBlocks{4000};
  int loadMs{1500};
  Defences defences;
};

/// What a stand-in can be told to do wrong.
struct StandInFaults {
  int lagMs{0};
  /// Per cent of events that leave a gap.
  int loseEvents{0};
  /// Per cent of events that leave no trace at all.
  int forgetEvents{0};
  bool stalled{false};
  bool loadFails{false};
  /// Runs orders meant for other weights.
  bool anyWeights{false};
  bool silentReports{false};
  double linkMs{0};
  /// How long loading weights takes; 0 leaves it as set.
  int loadMs{0};
  /// How long an order waits at the worker before it begins.
  int queueMs{0};
};

/// One order as a stand-in ran it, kept so that tests can prove what ran how often.
struct RunRecord {
  std::string requestId, weights, tenant, source;
  bool move{false};
  int local{0}, fetched{0}, computed{0}, tokens{0};
  std::string outcome{"running"};
};

/// Stands in for a language worker, the application worker or the store, as docs/backends.md describes them.
class StandInBackend : public Node {
 public:
  StandInBackend(StandInSettings keeperSettings, std::string incarnationMark);
  void handle(Effects& effects, const std::string& from, const Message& message) override;
  void tick(Effects& effects) override;
  StandInFaults faults;
  const std::deque<RunRecord>& runs() const { return records; }
  const StandInSettings& settings() const { return given; }
  const std::string& weights() const { return currentWeights; }
  bool draining() const { return drains; }
  std::size_t cachedBlockCount() const { return cachedBlocks.size(); }
  bool hasBlock(const BlockHash& hash) const { return cachedBlocks.count(hash) > 0; }
  /// Forgets every block, with or without saying so.
  void clearCache(Effects& effects, bool saying);
  void evict(Effects& effects, const Hashes& hashes) { drop(effects, hashes); }
  std::int64_t crossWeights{0};
  std::map<std::string, std::int64_t> crossTenants;
  /// Blocks pulled that were beyond the prompt that a move named.
  std::int64_t pulledBlocks{0};

 private:
  struct Kept {
    std::string origin;
    std::list<BlockHash>::iterator place;
  };
  struct Run {
    WorkerOrder ask;
    std::string from;
    std::size_t record;
    enum class Phase { queued, pulling, waiting, computing, talking } phase{Phase::computing};
    TimePoint due{};
    Hashes pulled;
    Strings origins;
    int said{0};
    /// Whether the worker has begun to compute.
    bool began{false};
  };
  StandInSettings given;
  std::string incarnation, currentWeights, loadingWeights, loadingModel;
  bool drains{false};
  TimePoint loadDue{};
  std::unordered_map<BlockHash, Kept, BlockHashHasher> cachedBlocks;
  std::list<BlockHash> byUse;
  struct Told {
    CacheEvent event;
    TimePoint at;
    bool lost{false};
  };
  std::deque<Told> events;
  std::uint64_t sequence{0}, highestTerm{0}, recordBase{0};
  std::map<std::string, Run> running;
  std::deque<RunRecord> records;
  std::string lastHolder;

  void tell(Effects& effects, CacheEventKind kind, const Hashes& hashes);
  void keep(Effects& effects, const Hashes& hashes, const Strings& origins);
  void drop(Effects& effects, const Hashes& hashes);
  /// Fetches what a move brings, or begins at once.
  void leaveQueue(Effects& effects, Run& run);
  void begin(Effects& effects, Run& run);
  void end(Effects& effects, const std::string& requestId, AttemptOutcome outcome, Code code, const char* word);
  void onOrder(Effects& effects, const std::string& from, const WorkerOrder& ask);
  void onReport(Effects& effects, const std::string& from, const ReportAsk& ask);
  void onControl(Effects& effects, const std::string& from, const ControlAsk& ask);
  RunRecord* recordOf(const Run& run);
};

/// Stands in for the platform: lists machines and marks those that leave.
class StandInPlatform : public Node {
 public:
  void handle(Effects& effects, const std::string& from, const Message& message) override;
  void tick(Effects&) override {}
  void set(const Machine& machine);
  void mark(const std::string& name, bool leaving);
  void remove(const std::string& name);
  const std::map<std::string, Machine>& machines() const { return rows; }

 private:
  std::map<std::string, Machine> rows;
};

}  // namespace tt
