#pragma once
#include <bitset>
#include <optional>
#include <string_view>

namespace tt {

/// The mechanisms that uphold the safety invariants. A negative control of the simulator or the model checker disables
/// one of them and must then find a violated invariant, which shows that the mechanism is needed and that the checks
/// work.
#define TT_DEFENCES(X)                                                                                       \
  X(syncBeforeCount, "an entry counts towards a commit only after it is synced to disk")                     \
  X(syncBeforeVote, "a vote is sent only after it is synced to disk")                                        \
  X(commitByThree, "an entry is committed by more than half of the voters")                                  \
  X(jointMembers, "a membership change needs a majority of the old members and a majority of the new ones")  \
  X(leaseLimits, "a lease holder acts only while its lease is valid")                                        \
  X(promiseBinds, "a voter grants no other vote while the lease that it granted may be valid")               \
  X(termFence, "a worker rejects commands of an older term")                                                 \
  X(incarnationFence, "a worker rejects commands that are meant for an earlier run of it")                   \
  X(changeIdOnce, "a change that is sent again under the same id is not applied again")                      \
  X(ackWaits, "a change is acknowledged only after all readers that may still be fresh have it")             \
  X(freshnessWeighed, "a reader counts itself as fresh only after enough cores have responded")              \
  X(staleEndsStreams, "a proxy that is no longer fresh ends its streams")                                    \
  X(revokeEndsStreams, "the update that revokes a key ends the open requests of that key")                   \
  X(marksAtDraw, "only workers that the platform does not list as leaving are selected")                     \
  X(drawnAgain, "a selected worker is checked again just before the request is sent to it")                  \
  X(saltWeights, "block hashes are salted with the weights")                                                 \
  X(saltTenant, "block hashes are salted with the tenant's domain")                                          \
  X(domainsEnd, "a shared cache domain ends when a tenant that has used it becomes isolated")                \
  X(hitsConfirmed, "only hits that the exact index confirmed are used")                                      \
  X(moveCut, "the prompt of a transfer ends at the last confirmed block")                                    \
  X(lookupExpires, "a lookup without a response in time counts as a miss")                                   \
  X(retryBudget, "retries are limited by a budget")                                                          \
  X(retryOnlyRepeatable, "a request that may have run is retried only if it is marked as repeatable")        \
  X(unknownOnceSent, "a request that was sent and not rejected is never reported as not run")                \
  X(retryBeforeBytes, "nothing is retried after the client has received a part of the response")             \
  X(brokenSaysSo, "a response that was interrupted is never reported as complete")                           \
  X(commandAgain, "a command is sent to a worker again until its report shows the effect")                   \
  X(oldWeightsEnd, "workers with old weights are selected only as long as a roll-out may take")              \
  X(endFromFirstNewer, "the use of old weights ends a fixed time after the first newer ones were announced") \
  X(unbegunDropped, "a request that has not started when the use of its weights ends is withdrawn")          \
  X(leaveByKept, "a request is not sent to its worker after its send deadline, whatever delayed it")         \
  X(failedNotCounted, "a worker that cannot load weights does not hold up the roll-out to others")           \
  X(listOrder, "machine lists are ordered by the time at which they were requested")                         \
  X(drainRefuses, "a draining proxy accepts only requests that are sure to end before it does")              \
  X(drainAnswers, "a draining proxy sends a final response to every request that it leaves unfinished")

enum class Defence : int {
#define TT_DEFENCE(name, text) name,
  TT_DEFENCES(TT_DEFENCE)
#undef TT_DEFENCE
      count
};

/// The set of enabled defences. All are enabled except in negative controls; the deployed programs have no option to
/// disable one.
class Defences {
 public:
  bool isEnabled(Defence defence) const { return !disabled.test(static_cast<std::size_t>(defence)); }
  void disable(Defence defence) { disabled.set(static_cast<std::size_t>(defence)); }
  /// Finds a defence by its identifier.
  static std::optional<Defence> named(std::string_view text) {
#define TT_DEFENCE(name, about) \
  if (text == #name) return Defence::name;
    TT_DEFENCES(TT_DEFENCE)
#undef TT_DEFENCE
    return std::nullopt;
  }

 private:
  std::bitset<static_cast<std::size_t>(Defence::count)> disabled;
};

}  // namespace tt
