#pragma once
#include "replicated_log.hpp"

namespace tt {

/// A state as bytes, with what stands in it in no order of its own as parts beside them.
struct StateBytes {
  std::string text;
  /// Rows that belong together and whose order does not matter.
  std::vector<std::vector<std::string>> groups;

  void number(std::uint64_t value);
  void word(const std::string& value);
  void entry(const LogEntry& entry);
};

/// Reads all that a replica's log and election hold, private or not, so that two states can be told apart.
class StateDump {
 public:
  /// All that does not depend on the time.
  static StateBytes bytes(const ReplicatedLog& log);
  /// A moment that matters later, and how long after it nothing changes any more for being later still. Marks of
  /// another member bear its id and come in no order of their own.
  struct Mark {
    TimePoint at;
    Duration matters;
    std::string member;
  };
  static std::vector<Mark> marks(const ReplicatedLog& log);
  /// What a replica's log rests on.
  static const Snapshot& base(const ReplicatedLog& log) { return log.lastSnapshot; }
};

}  // namespace tt
