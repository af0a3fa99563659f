#pragma once
#include <bitset>
#include <optional>
#include <string_view>

namespace tt {

/// What keeps each line of "what must never happen", one row each, so that the sim can take one out and show what it is
/// for.
#define TT_DEFENCES(X)                                                                         \
  X(syncBeforeCount, "an entry counts for the log only once it is synced")                     \
  X(syncBeforeVote, "a vote is told only once it is synced")                                   \
  X(commitByThree, "an entry is agreed by more than half of the voters")                       \
  X(jointMembers, "a change of members is agreed among the old members and the new ones")      \
  X(leaseLimits, "a holder acts only while its lease is good")                                 \
  X(promiseBinds, "a voter grants no other ballot while it has promised")                      \
  X(termFence, "a worker denies commands of an old term")                                      \
  X(incarnationFence, "a worker denies commands meant for an earlier run of it")               \
  X(changeIdOnce, "a change sent again under its id is not taken again")                       \
  X(ackWaits, "an acknowledgement waits for all readers that may still be fresh")              \
  X(freshnessWeighed, "a reader believes itself fresh only after hearing enough cores")        \
  X(staleEndsStreams, "a proxy that is cut off ends its streams")                              \
  X(revokeEndsStreams, "news of a revoked key ends its open orders")                           \
  X(marksAtDraw, "only workers that the platform lists as staying are drawn")                  \
  X(drawnAgain, "a worker is looked at again just before its order is sent")                   \
  X(saltWeights, "block hashes are seeded by the weights")                                     \
  X(saltTenant, "block hashes are seeded by the tenant's domain")                              \
  X(hitsConfirmed, "hits count only as the exact index confirmed them")                        \
  X(moveCut, "a move's prompt ends at the last confirmed block")                               \
  X(lookupExpires, "a lookup unanswered in time is a miss")                                    \
  X(retryBudget, "repeat tries have a budget")                                                 \
  X(retryOnlyRepeatable, "what may have run is tried again only if it is repeatable")          \
  X(unknownOnceSent, "what was sent and not denied is never called not run")                   \
  X(retryBeforeBytes, "nothing is tried again once the caller has a piece of an answer")       \
  X(brokenSaysSo, "an answer that broke off is never called done")                             \
  X(commandAgain, "a command to a worker is sent again until its report shows it done")        \
  X(oldWeightsEnd, "workers with old weights are drawn only while a roll-out may last")        \
  X(endFromFirstNewer, "an old version's use ends a span after the first newer one was named") \
  X(unbegunDropped, "an order that has not begun when its version's use ends is taken back")   \
  X(leaveByKept, "an order is not written to its worker after its time, whatever held it up")  \
  X(failedNotCounted, "a worker that cannot load does not hold up the others")                 \
  X(listOrder, "lists of machines are ordered by when the platform was asked for them")        \
  X(drainRefuses, "a proxy that leaves takes only what is sure to be over before its end")     \
  X(drainAnswers, "a proxy that ends answers whatever it leaves unfinished")

enum class Defence : int {
#define TT_DEFENCE(name, text) name,
  TT_DEFENCES(TT_DEFENCE)
#undef TT_DEFENCE
      count
};

/// Which defences stand. All do, but in the sim's control runs; no program offers to take one out.
class Defences {
 public:
  bool isEnabled(Defence defence) const { return !out.test(static_cast<std::size_t>(defence)); }
  void disable(Defence defence) { out.set(static_cast<std::size_t>(defence)); }
  static std::optional<Defence> named(std::string_view text) {
#define TT_DEFENCE(name, about) \
  if (text == #name) return Defence::name;
    TT_DEFENCES(TT_DEFENCE)
#undef TT_DEFENCE
    return std::nullopt;
  }

 private:
  std::bitset<static_cast<std::size_t>(Defence::count)> out;
};

}  // namespace tt
