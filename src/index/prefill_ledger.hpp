#pragma once
/// The queues of prompts that wait for their prefill at the workers of a zone.
#include <map>

#include "messages.hpp"

namespace tt {

/// The prompts that wait for prefill at a worker, as far as proxies have reported them.
struct PrefillLoad {
  /// Prompt tokens that were sent to the worker and are not yet prefilled.
  double tokens{0};
  /// Prompt tokens that the worker prefills per millisecond; 0 until a rate has been observed.
  double tokensPerMs{0};
};

/// The prompts that proxies have placed at the workers of one zone and that are not yet prefilled. Proxies report each
/// placement and each first token. From these the ledger computes how long a worker's queue is, how fast the worker
/// prefills, and which blocks will soon be cached there. It is kept in memory only: a new lease holder starts with an
/// empty ledger, and a prompt whose end is not reported in time is dropped.
class PrefillLedger {
 public:
  /// Adds a prompt that was sent to a worker. One that was already reported under this `sendId` is not added again.
  void start(const PrefillStarted& prompt, TimePoint now);
  /// Removes a prompt. One that was prefilled counts towards the worker's rate; one that was given up does not. Unknown
  /// prompts are ignored.
  void end(const PrefillEnded& prompt, TimePoint now);
  /// The worker's queue and rate. If the worker's own rate is unknown, the mean rate of all workers is used.
  PrefillLoad loadOf(const std::string& worker, TimePoint now) const;
  /// How many of a prompt's leading blocks the worker is prefilling, or has prefilled too recently for its cache events
  /// to report them.
  int pendingHits(const std::string& worker, const Hashes& hashes, TimePoint now) const;
  /// Drops the records of all other workers.
  void keepOnly(const std::set<std::string>& workers);
  void clear() { recordsByWorker.clear(); }

 private:
  struct Prompt {
    int tokens{0};
    TimePoint startedAt{};
  };
  struct WorkerRecord {
    /// The prompts that are not yet prefilled, by `sendId`.
    std::map<std::string, Prompt> prompts;
    double tokensPerMs{0};
    /// The tokens prefilled since the last estimate of the rate, and how long the worker had a queue in that time.
    double prefilledTokens{0}, busyMs{0};
    TimePoint busyCountedAt{};
    /// The time until which each block counts as about to be cached.
    std::unordered_map<BlockHash, TimePoint, BlockHashHasher> pendingUntil;
  };
  std::map<std::string, WorkerRecord> recordsByWorker;
  /// The mean rate of all workers, used for workers whose rate has not been observed yet.
  double meanTokensPerMs{0};

  void removeExpired(WorkerRecord& record, TimePoint now);
  /// Counts the time since the last event as busy if the worker had a queue.
  static void addBusyTime(WorkerRecord& record, TimePoint now);
  /// Updates the estimated rate once enough tokens have been observed.
  void updateRate(WorkerRecord& record);
};

}  // namespace tt
