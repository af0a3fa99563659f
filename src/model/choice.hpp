#pragma once
#include "messages.hpp"

namespace tt::model {

/// What may happen next in the model: the moves of the network, the disks, the clock, the machines and the clients.
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

enum class ChoiceKind : int {
#define TT_CHOICE(name) name,
  TT_CHOICES(TT_CHOICE)
#undef TT_CHOICE
};

/// One event of a run. Messages are named by their ends, their kind and their place among those alike, so that a run
/// can be replayed after other events were taken out of it.
struct Choice {
  ChoiceKind kind{ChoiceKind::wait};
  /// The replica that it happens to; the sender of a message.
  int replica{0};
  /// The receiver of a message; the replica that a join is sent to.
  int other{0};
  /// Index of the message's type in the variant of all messages.
  int messageType{0};
  /// Place among messages alike; milliseconds of a wait; unsynced batches kept by a crash; the number of a change.
  int number{0};
  /// Seed of what the replicas draw by chance in this event.
  std::uint32_t luck{0};

  std::string text() const;
  static Result<Choice> parse(const std::string& line);
};

/// A run as text, one event a line; lines that begin with # are remarks.
std::string printChoices(const std::vector<Choice>& choices);
Result<std::vector<Choice>> parseChoices(const std::string& text);
/// The name of a message type by its index in the variant.
const char* typeName(int messageType);

}  // namespace tt::model
