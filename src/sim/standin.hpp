#pragma once
#include <list>

#include "defences.hpp"
#include "effects.hpp"

namespace tt {

/// Settings of a stand-in. `kind`: `language`, `app` or `store`. `slots`: requests that it runs at a time. `blockMs`,
/// `tokenMs`, `linkMs`, `loadMs`: milliseconds to compute a block, to generate a token, to fetch a block from another
/// worker or store, and to load weights. `maxCachedBlocks`: capacity of its block cache. `storeAddress`: the block
/// store that it writes computed blocks to; empty for none.
struct StandInSettings {
  std::string name, address, kind{"language"}, model, weights, storeAddress;
  int slots{8};
  double blockMs{4}, tokenMs{20}, linkMs{0.2};
  std::size_t maxCachedBlocks{4000};
  int loadMs{1500};
  Defences defences;
};

/// Faults that can be injected into a stand-in.
struct StandInFaults {
  /// Reports leave out the cache events of the last so many milliseconds.
  int lagMs{0};
  /// Percentage of cache events that are missing from reports and leave a gap in the sequence numbers.
  int loseEvents{0};
  /// Percentage of cache events that get no sequence number, so that nothing shows that they are missing.
  int forgetEvents{0};
  /// Makes no progress with requests.
  bool stalled{false};
  /// Never finishes loading weights.
  bool loadFails{false};
  /// Runs requests that are meant for other weights.
  bool anyWeights{false};
  /// Does not respond to report requests.
  bool silentReports{false};
  /// Milliseconds to fetch a block; 0 uses the setting.
  double linkMs{0};
  /// Milliseconds to load weights; 0 uses the setting.
  int loadMs{0};
  /// Milliseconds that a request waits at the worker before it starts.
  int queueMs{0};
};

/// A record of one request, from which tests tell what was run, and how often. `move`: it is a transfer, which brings
/// the blocks of a prompt to the worker. `local`, `fetched`, `computed`: numbers of its blocks that were cached,
/// fetched and computed. `source`: the worker or store to fetch blocks from.
struct RunRecord {
  std::string requestId, weights, tenant, source;
  bool move{false};
  int local{0}, fetched{0}, computed{0}, tokens{0};
  std::string outcome{"running"};
};

/// A stand-in for a language worker, an application worker or a block store, for the simulator and for tests with real
/// processes. It serves the protocol of these back ends but computes nothing: work takes the configured time, and each
/// token is a made-up text.
class StandInBackend : public Node {
 public:
  StandInBackend(StandInSettings initialSettings, std::string ownIncarnation);
  void handle(Effects& effects, const std::string& from, const Message& message) override;
  void tick(Effects& effects) override;
  StandInFaults faults;
  const std::deque<RunRecord>& runs() const { return records; }
  const StandInSettings& settings() const { return config; }
  const std::string& weights() const { return currentWeights; }
  bool draining() const { return isDraining; }
  std::size_t cachedBlockCount() const { return cachedBlocks.size(); }
  bool hasBlock(const BlockHash& hash) const { return cachedBlocks.count(hash) > 0; }
  /// Empties the block cache. `announce`: appends a cache event for it.
  void clearCache(Effects& effects, bool announce);
  void evict(Effects& effects, const Hashes& hashes) { removeBlocks(effects, hashes); }
  /// Number of cached blocks that were used with other weights than those that computed them. Any is an error.
  std::int64_t crossWeights{0};
  /// Number of cached blocks that one tenant computed and another used, by "OWNER>USER".
  std::map<std::string, std::int64_t> crossTenants;
  /// Number of blocks fetched from other workers and stores.
  std::int64_t fetchedBlockCount{0};

 private:
  /// A cached block. `origin`: the weights and tenant that it was computed for, as WEIGHTS/TENANT. `place`: its place
  /// in the list of blocks by last use.
  struct CachedBlock {
    std::string origin;
    std::list<BlockHash>::iterator place;
  };
  /// A request in progress.
  struct Run {
    WorkerOrder request;
    std::string from;
    /// Number of its RunRecord, counted from the start of the process.
    std::size_t record;
    /// `queued`: waits to start. `fetching`: has requested blocks. `transferring`: blocks are on their way.
    /// `computing`: computes the remaining blocks of the prompt. `sendingTokens`: sends tokens.
    enum class Phase { queued, fetching, transferring, computing, sendingTokens } phase{Phase::computing};
    /// When the phase ends, or when the next token is sent.
    TimePoint due{};
    Hashes fetchedBlocks;
    Strings origins;
    /// Number of tokens sent.
    int tokensSent{0};
    /// Whether the start of the computation was noted in the journal.
    bool startNoted{false};
  };
  StandInSettings config;
  std::string incarnation, currentWeights, loadingWeights, loadingModel;
  bool isDraining{false};
  /// When the weights that are being loaded will be loaded; unset if none are.
  TimePoint loadDue{};
  std::unordered_map<BlockHash, CachedBlock, BlockHashHasher> cachedBlocks;
  /// The cached blocks, least recently used first.
  std::list<BlockHash> blocksByUse;
  /// A cache event for reports; a lost one is left out of them.
  struct PendingEvent {
    CacheEvent event;
    TimePoint at;
    bool lost{false};
  };
  /// The newest cache events.
  std::deque<PendingEvent> events;
  /// `highestTerm`: the highest term of a command. `recordBase`: number of the oldest record that is retained.
  std::uint64_t sequence{0}, highestTerm{0}, recordBase{0};
  std::map<std::string, Run> running;
  std::deque<RunRecord> records;
  std::string lastHolder;

  /// Appends a cache event for the next report, unless an injected fault suppresses it.
  void addCacheEvent(Effects& effects, CacheEventKind kind, const Hashes& hashes);
  /// Caches blocks and evicts the least recently used ones beyond the capacity.
  void cacheBlocks(Effects& effects, const Hashes& hashes, const Strings& origins);
  /// Removes blocks from the cache.
  void removeBlocks(Effects& effects, const Hashes& hashes);
  /// Requests the missing blocks if the request names a source for them; otherwise starts the computation.
  void leaveQueue(Effects& effects, Run& run);
  /// Starts to compute the blocks that are not cached. Counts cached blocks of other weights and tenants.
  void startComputing(Effects& effects, Run& run);
  /// Ends a request and sends the outcome. `outcomeText`: the outcome in its record.
  void finish(Effects& effects, const std::string& requestId, AttemptOutcome outcome, Code code,
              const char* outcomeText);
  void onOrder(Effects& effects, const std::string& from, const WorkerOrder& request);
  void onReport(Effects& effects, const std::string& from, const ReportAsk& request);
  void onControl(Effects& effects, const std::string& from, const ControlAsk& request);
  /// The record of a request; null if it is no longer retained.
  RunRecord* recordOf(const Run& run);
};

/// A stand-in for the platform's API: lists the machines, and which of them the platform will take away.
class StandInPlatform : public Node {
 public:
  void handle(Effects& effects, const std::string& from, const Message& message) override;
  void tick(Effects&) override {}
  void set(const Machine& machine);
  void mark(const std::string& name, bool leaving);
  void remove(const std::string& name);
  const std::map<std::string, Machine>& machines() const { return machinesByName; }

 private:
  std::map<std::string, Machine> machinesByName;
};

}  // namespace tt
