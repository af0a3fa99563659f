#pragma once
#include "replicated_log.hpp"

namespace tt {

/// A serialized state. Unordered parts of it are stored separately, so that they can be compared without their order.
struct StateBytes {
  std::string text;
  /// Sets of rows; the order of the rows in a set does not matter.
  std::vector<std::vector<std::string>> groups;

  /// Appends a number, a text, or an entry of the log.
  void addNumber(std::uint64_t value);
  void addText(const std::string& value);
  void addEntry(const LogEntry& entry);
};

/// Reads the complete state of a replica's log and election, including private members, so that the model checker can
/// tell whether two states are equal.
class StateDump {
 public:
  /// The state except for times.
  static StateBytes bytes(const ReplicatedLog& log);
  /// A time point in the state, and the age from which on a higher age makes no difference. `member`: the id of the
  /// member that it concerns; time points of members are unordered.
  struct Timestamp {
    TimePoint at;
    Duration maxAge;
    std::string member;
  };
  static std::vector<Timestamp> timestamps(const ReplicatedLog& log);
  /// The last snapshot.
  static const Snapshot& base(const ReplicatedLog& log) { return log.lastSnapshot; }
};

}  // namespace tt
