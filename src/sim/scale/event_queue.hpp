#pragma once
#include "messages.hpp"

namespace tt {

enum class EventKind { frame, message, tick, sync };

/// An event that one process handles at a given time: a tick, the end of a disk sync, or the arrival of an encoded
/// frame or of an already decoded message.
struct ScheduledEvent {
  TimePoint at;
  EventKind kind{EventKind::tick};
  /// Index of the process that handles the event.
  std::size_t to{0};
  /// Sender address, and the encoded message of a `frame` event.
  std::string from, frame;
  /// Set for a `message` event only.
  std::shared_ptr<Message> message;
  /// Set by the queue; orders events of the same time.
  std::uint64_t sequence{0};
};

/// A priority queue of events by time. Events of the same time come out in the order in which they were pushed.
class EventQueue {
 public:
  void push(ScheduledEvent event);
  /// Removes and returns the earliest event, unless it is due later than `until`.
  std::optional<ScheduledEvent> popDue(TimePoint until);

 private:
  std::vector<ScheduledEvent> heap;
  std::uint64_t lastSequence{0};
};

}  // namespace tt
