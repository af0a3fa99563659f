#pragma once
#include "choice.hpp"
#include "defences.hpp"

namespace tt::model {

/// What a run starts from and how much trouble it may hold.
struct Setup {
  /// Replicas that form the fleet, and empty ones beside them that may join.
  int voters{3}, spares{0};
  /// Changes that clients may send.
  int changes{5};
  /// Bytes of records that a replica may hold; a small room makes it take snapshots after a few entries.
  std::size_t maxRecordBytes{1 << 20};
  /// Disks that may be lost at once, and how long a new disk counts as lost after its return.
  int faultBudget{1};
  Duration catchUp{4s};
  /// How long a voter must be silent to be taken out, and how many voters must stay.
  Duration memberRemovalTimeout{6s};
  std::size_t minVoters{3};
  /// Whether a starting process syncs what it finds written before it counts it.
  bool syncsOnStart{true};
  /// Messages under way at most; beyond, the oldest are lost.
  std::size_t maxPacketsInFlight{64};
  /// Names of the defences taken out.
  std::set<std::string> disabledDefences;
  /// Rules whose breaking is known and is passed over, for hunts by hand.
  std::set<std::string> ignoredRules;

  std::string text() const;
  static Result<Setup> parse(const std::string& line);
  Result<Defences> defences() const;
  int machines() const { return voters + spares; }
  /// Sets the settings that are one for a whole process; call it before the first model of this setup is made.
  void applyTiming() const;
};

/// A run that can be played again: what it starts from and what happens.
struct Run {
  Setup setup;
  std::vector<Choice> choices;
  std::string text() const;
  static Result<Run> parse(const std::string& text);
};

}  // namespace tt::model
