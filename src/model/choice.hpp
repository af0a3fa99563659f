#pragma once
#include "messages.hpp"

namespace tt::model {

/// The kinds of events. Their names are written to files of runs.
/// `deliver`, `drop`, `duplicate`: what happens to a message. `sync`: a disk completes a sync. `tick`: a replica runs
/// its timers. `wait`: time passes, and nothing runs. `run`: time passes in which all running replicas work without
/// faults. `settle`: the same, but stopped processes are started and frozen ones woken first. `kill`: a process
/// crashes. `power`: a machine loses power. `start`: a process starts. `wipe`: a machine gets an empty disk. `freeze`,
/// `wake`: a process stops working for a time. `change`: a client sends a change to a replica. `join`: a replica sends
/// a join request. `leave`: a process shuts down cleanly. `live`: liveness is checked.
#define TT_CHOICES(X) \
  X(deliver)          \
  X(drop)             \
  X(duplicate)        \
  X(sync)             \
  X(tick)             \
  X(wait)             \
  X(run)              \
  X(kill)             \
  X(power)            \
  X(start)            \
  X(wipe)             \
  X(freeze)           \
  X(wake)             \
  X(change)           \
  X(join)             \
  X(leave)            \
  X(settle)           \
  X(live)

/// The kind of an event. The names are part of the text of an event.
enum class ChoiceKind : int {
#define TT_CHOICE(name) name,
  TT_CHOICES(TT_CHOICE)
#undef TT_CHOICE
};

/// One event of a run. A message is identified by its sender, receiver, type and position among the messages that have
/// these in common, so that a run can be replayed after other events were removed from it. Replicas and changes are
/// numbered from 0; in the text of an event, replicas are numbered from 1.
struct Choice {
  ChoiceKind kind{ChoiceKind::wait};
  /// The replica that the event happens to, or the sender of a message.
  int replica{0};
  /// The receiver of a message or join request.
  int receiver{0};
  /// Index of the message's type in the variant of all messages.
  int messageType{0};
  /// Depends on the kind: the position of a message, counted among those with the same sender, receiver and type; the
  /// milliseconds that pass; how many unsynced batches survive a crash; or the number of a change.
  int number{0};
  /// Seed of the random numbers that the replicas use during this event; `luck` in the text.
  std::uint32_t randomSeed{0};

  /// The event as a line of a file of runs.
  std::string text() const;
  static Result<Choice> parse(const std::string& line);
};

/// Writes and reads events as text, one per line. Lines that begin with # are comments.
std::string writeChoices(const std::vector<Choice>& choices);
Result<std::vector<Choice>> parseChoices(const std::string& text);
/// The name of a message type by its index in the variant of all messages.
const char* messageTypeName(int messageType);

}  // namespace tt::model
