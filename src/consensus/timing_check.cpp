#include "timing_check.hpp"

namespace tt {
namespace {
/// How long a core remembers a reader that it no longer hears (see Core::tick).
constexpr Duration readerRetention = 10s;
/// How long an agent waits for an update that it knows to exist before it requests it from a core (see Agent::tick).
constexpr Duration updateRequestDelay = 150ms;

/// A condition, and the text that names it in the error. Capitalized names in the texts are settings. The others are
/// limits in Timing: holdEvery is heartbeatInterval, promise is minElectionTimeout, voteWait is voteTimeout, roundEvery
/// is logEndPollInterval, feedEvery is feedPollInterval, freshFor is maxStaleness, readersWait is readerAckTimeout,
/// listEvery is listPollInterval, listOld is maxListAge, commandRest is commandHoldoff, memberGone is
/// memberRemovalTimeout, and votersLeast is minVoters.
struct Inequality {
  const char* text;
  bool holds;
};
}  // namespace

Result<void> checkTiming(const Timing& durations, const TimingBounds& bounds) {
  /// The longest time from the commit of a change until a reader that is reachable has it.
  Duration maxUpdateDelay = durations.logEndPollInterval + updateRequestDelay + durations.feedPollInterval;
  bool revokes = bounds.revoke.has_value();
  const Inequality inequalities[] = {
      {"holdEvery > 0 and 3 holdEvery < lease",
       durations.heartbeatInterval > Duration(0) && 3 * durations.heartbeatInterval < durations.lease},
      {"lease < promise", durations.lease < durations.minElectionTimeout},
      {"voteWait < promise", durations.voteTimeout < durations.minElectionTimeout},
      {"2 roundEvery + 2 feedEvery <= freshFor",
       2 * durations.logEndPollInterval + 2 * durations.feedPollInterval <= durations.maxStaleness},
      {"roundEvery < readersWait", durations.logEndPollInterval < durations.readerAckTimeout},
      {"feedEvery < readersWait", durations.feedPollInterval < durations.readerAckTimeout},
      {"readersWait < time for which readers are remembered", durations.readerAckTimeout < readerRetention},
      {"2 readersWait <= AckMs", 2 * durations.readerAckTimeout <= bounds.acknowledge},
      {"roundEvery + wait for news + feedEvery < ConfigApplyMs", maxUpdateDelay < bounds.configApply},
      {"freshFor < RevokeMs", !revokes || durations.maxStaleness < *bounds.revoke},
      {"listEvery <= listOld and listOld + listEvery < DrainMs",
       durations.listPollInterval <= durations.maxListAge &&
           durations.maxListAge + durations.listPollInterval < bounds.drain},
      {"commandRest >= LeaseMs", durations.commandHoldoff >= bounds.commandLease},
      {"memberGone > promise",
       durations.memberRemovalTimeout == Duration(0) || durations.memberRemovalTimeout > durations.minElectionTimeout},
      {"last start of a roll-out < last use of old weights < unbegun orders dropped < VersionMs",
       durations.rolloutStartTimeout() < durations.oldWeightsSendTimeout &&
           durations.oldWeightsSendTimeout < durations.unstartedRequestTimeout &&
           durations.unstartedRequestTimeout < durations.oldWeightsTimeout},
      {"votersLeast >= 1", durations.minVoters >= 1},
  };
  for (const auto& inequality : inequalities)
    if (!inequality.holds) return makeError(Code::badProps, "Bounds", std::string("does not hold: ") + inequality.text);
  return boost::outcome_v2::success();
}

}  // namespace tt
