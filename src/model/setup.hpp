#pragma once
#include "choice.hpp"
#include "defences.hpp"

namespace tt::model {

/// The initial state of the model and its limits.
struct Setup {
  /// Number of initial voters, and of empty replicas that may join them.
  int voters{3}, spares{0};
  /// Number of changes that clients may send.
  int changes{5};
  /// Capacity of a replica's log in bytes. With a small one it takes a snapshot after a few entries.
  std::size_t maxRecordBytes{1 << 20};
  /// Number of disks that may be lost at the same time, and how long a replaced disk counts as lost while all machines
  /// run.
  int faultBudget{1};
  Duration catchUp{4s};
  /// How long a voter must be silent before it is removed, and how many voters must remain.
  Duration memberRemovalTimeout{6s};
  std::size_t minVoters{3};
  /// Whether a process syncs the unsynced records that it finds on its disk when it starts.
  bool syncsOnStart{true};
  /// Maximum number of messages in the network. When it is exceeded, the oldest message is lost.
  std::size_t maxPacketsInFlight{64};
  /// Names of the disabled defences.
  std::set<std::string> disabledDefences;
  /// Rules whose violations are ignored: by negative controls, and in searches for further faults behind a known one.
  std::set<std::string> ignoredRules;

  /// The setup as the first line of a file of runs.
  std::string text() const;
  static Result<Setup> parse(const std::string& line);
  Result<Defences> defences() const;
  int machines() const { return voters + spares; }
  /// Sets the time limits that are shared by the whole process. Must be called before a model with this setup is
  /// created.
  void applyTiming() const;
};

/// A run that can be replayed: its initial state and its events.
struct Run {
  Setup setup;
  std::vector<Choice> choices;
  std::string text() const;
  static Result<Run> parse(const std::string& text);
};

}  // namespace tt::model
