#pragma once
#include "configuration.hpp"
#include "defences.hpp"
#include "election.hpp"
#include "version_timeline.hpp"

namespace tt {

/// How one reader of the configuration (an agent, or a core that reads back to operators) is known to the cores.
struct ReaderSettings {
  std::string name, address, zone;
  Strings seeds;
  /// Whether other agents may follow it.
  bool relays{true};
  Defences defences;
};

/// What a reader knows of the cores: who they are, how far they have got, up to which moment its own view is complete,
/// and the newest list of machines. All is timed from before asking, on the reader's own steady clock.
class ClusterView {
 public:
  explicit ClusterView(ReaderSettings readerSettings);
  /// Asks every core known for its log's end.
  void ask(Effects& effects, Uint64 applied, const std::vector<CellVersion>& cells, const Configuration& view);
  void handle(Effects& effects, const std::string& from, const LogEndResponse& reply, const Configuration& view);
  /// Looks again at how complete the view is, after it has moved on.
  void updateCompleteness(TimePoint now, const Configuration& view);
  /// Takes a list of machines that was asked of the platform at this moment; an older or empty one is not taken.
  bool offerMarks(const std::vector<Machine>& machines, TimePoint askedAt);
  /// The moment up to which the view is known to be complete.
  TimePoint completeAsOf() const { return completeUntil; }
  /// The moment up to which the view is known to be complete by the word of more than half of the voters. Enough for
  /// completeness is half of an even number; reading back takes a majority.
  TimePoint majorityStamp() const { return majorityUntil; }
  bool fresh(TimePoint now) const { return completeUntil != TimePoint{} && now < completeUntil + timing.maxStaleness; }
  Strings coreAddresses(const Configuration& view) const;
  /// The core that has lately told of the highest commit beyond an index; empty if none has.
  std::string furthestCore(TimePoint now, Uint64 beyond) const;
  Uint64 knownCommit() const { return highestCommit; }
  const Strings& watch() const { return watchRows; }
  const std::vector<Machine>& machines() const { return machineRows; }
  bool machineListKnown() const { return marksAskedAt != TimePoint{}; }
  TimePoint machineListAt() const { return marksAskedAt; }
  Uint64 machineListDigest() const { return digest; }
  /// When weights were named. The view's own namings are noted at each weigh(); to be called besides after each entry,
  /// while the view is known to be complete up to just before it.
  void noteVersions(const Configuration& view);
  const VersionTimeline& versions() const { return timeline; }
  /// Learns when weights were named from a reader that remembers it.
  void learnVersions(const std::vector<WeightsAnnouncement>& namings, TimePoint now) {
    timeline.mergeFrom(namings, now);
  }
  /// Settles namings of unknown moment once this process has run for longer than any old version may be used.
  void settleVersions(TimePoint ownStart, TimePoint now) {
    timeline.resolveUnknownTimes(ownStart, now, timing.oldWeightsTimeout);
  }
  /// Learns of a commit by another way than an answer of its own.
  void observeCommit(Uint64 commit) { highestCommit = std::max(highestCommit, commit); }

 private:
  struct CoreRow {
    std::map<Uint64, TimePoint> asks;
    TimePoint askedAt{};
    LogEndResponse reply;
    bool heard{false};
  };
  ReaderSettings settings;
  std::map<std::string, CoreRow> cores;
  Strings toldAddresses, watchRows;
  std::vector<Machine> machineRows;
  Uint64 digest{0}, askCount{0}, highestCommit{0}, toldCommit{0};
  TimePoint marksAskedAt{}, completeUntil{}, majorityUntil{};
  bool outOfTouch{true};
  VersionTimeline timeline;
  /// Up to which index the view's namings are noted.
  Uint64 notedIndex{0};
  /// What was heard of the voters, newest first.
  std::vector<const CoreRow*> heardOf(const std::vector<Member>& members) const;
  /// Takes the moments of namings from a core, and tells it those that it has forgotten.
  void learnFrom(Effects& effects, const std::string& from, const LogEndResponse& reply, TimePoint askedAt);
  static bool forgot(const LogEndResponse& reply, const WeightsAnnouncement& newest);
  /// Up to which index a reader must have applied, by the word of some of the voters; none if these are too few.
  std::optional<Uint64> neededBy(const std::vector<const CoreRow*>& heard, std::size_t voters) const;
  /// When the oldest was asked of the newest words, at least so many, by which an index is complete.
  TimePoint completeBy(const std::vector<const CoreRow*>& heard, std::size_t least, std::size_t voters,
                       Uint64 applied) const;
};

}  // namespace tt
