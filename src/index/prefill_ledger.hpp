#pragma once
#include <map>

#include "messages.hpp"

namespace tt {

/// What a worker has before it, as far as proxies told.
struct PrefillLoad {
  /// Prompt tokens that were sent to it and are not read yet.
  double tokens{0};
  /// Prompt tokens that it reads in a millisecond; 0 as long as nothing was observed.
  double tokensPerMs{0};
};

/// Prompts that proxies have placed at the workers of one locality and that are not read yet. Proxies tell of each
/// placement and of each first token; the ledger answers how long a worker's queue is, how fast the worker reads, and
/// which blocks are about to be kept there. It is kept in memory only: a new holder starts without any knowledge, and
/// what is not told of in time is forgotten.
class PrefillLedger {
 public:
  void start(const PrefillStarted& prompt, TimePoint now);
  /// A prompt that was read teaches how fast its worker reads; one that was given up is only taken off.
  void end(const PrefillEnded& prompt, TimePoint now);
  PrefillLoad loadOf(const std::string& worker, TimePoint now) const;
  /// How many of a prompt's leading blocks the worker is reading, or has read too lately for its events to tell.
  int pendingHits(const std::string& worker, const Hashes& hashes, TimePoint now) const;
  /// Forgets workers that are not listed any more.
  void keepOnly(const std::set<std::string>& workers);
  void clear() { rows.clear(); }

 private:
  struct Prompt {
    int tokens{0};
    TimePoint startedAt{};
  };
  struct Row {
    std::map<std::string, Prompt> prompts;
    double tokensPerMs{0};
    /// What was read since the last estimate, and for how long there was something to read meanwhile.
    double readTokens{0}, busyMs{0};
    TimePoint countedAt{};
    std::unordered_map<BlockHash, TimePoint, BlockHashHasher> pendingUntil;
  };
  std::map<std::string, Row> rows;
  /// The mean of all workers, for those of which nothing was observed yet.
  double meanTokensPerMs{0};

  void dropOverdue(Row& row, TimePoint now);
  /// Counts the time since the last event as busy if there was anything to read.
  static void countBusy(Row& row, TimePoint now);
  void learn(Row& row);
};

}  // namespace tt
