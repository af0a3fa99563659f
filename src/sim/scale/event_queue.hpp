#pragma once
#include "messages.hpp"

namespace tt {

enum class EventKind { frame, message, tick, sync };

/// Something that will happen to one process: a tick, a finished sync, or the arrival of a frame or of a message.
struct ScheduledEvent {
  TimePoint at;
  EventKind kind{EventKind::tick};
  std::size_t to{0};
  std::string from, frame;
  std::shared_ptr<Message> message;
  std::uint64_t sequence{0};
};

/// Events in the order of their times; those of one time in the order in which they were scheduled.
class EventQueue {
 public:
  void push(ScheduledEvent event);
  /// The next event, if it happens until then.
  std::optional<ScheduledEvent> popDue(TimePoint until);

 private:
  std::vector<ScheduledEvent> heap;
  std::uint64_t lastSequence{0};
};

}  // namespace tt
