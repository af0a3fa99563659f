#include "timing_check.hpp"

namespace tt {
namespace {
/// How long a core remembers a reader that sends no more requests (agentRetention in core.cpp).
constexpr Duration readerRetention = 10s;
/// How long an agent waits for an update that it knows to exist before it requests it from a core (see Agent::tick()).
constexpr Duration updateRequestDelay = 150ms;

/// A condition, and the text that names it in the error. In the texts, capitalized names are settings; the others are
/// limits in Timing and the two constants above.
struct Inequality {
  const char* text;
  bool holds;
};
}  // namespace

Result<void> checkTiming(const Timing& durations, const TimingBounds& bounds) {
  /// The longest time from the commit of a change until a reachable reader has applied it.
  Duration maxUpdateDelay = durations.logEndPollInterval + updateRequestDelay + durations.feedPollInterval;
  bool revokes = bounds.revoke.has_value();
  const Inequality inequalities[] = {
      {"heartbeatInterval > 0 and 3 heartbeatInterval < lease",
       durations.heartbeatInterval > Duration(0) && 3 * durations.heartbeatInterval < durations.lease},
      {"lease < minElectionTimeout", durations.lease < durations.minElectionTimeout},
      {"voteTimeout < minElectionTimeout", durations.voteTimeout < durations.minElectionTimeout},
      {"2 logEndPollInterval + 2 feedPollInterval <= maxStaleness",
       2 * durations.logEndPollInterval + 2 * durations.feedPollInterval <= durations.maxStaleness},
      {"logEndPollInterval < readerAckTimeout", durations.logEndPollInterval < durations.readerAckTimeout},
      {"feedPollInterval < readerAckTimeout", durations.feedPollInterval < durations.readerAckTimeout},
      {"readerAckTimeout < readerRetention", durations.readerAckTimeout < readerRetention},
      {"2 readerAckTimeout <= AckMs", 2 * durations.readerAckTimeout <= bounds.acknowledge},
      {"logEndPollInterval + updateRequestDelay + feedPollInterval < ConfigApplyMs",
       maxUpdateDelay < bounds.configApply},
      {"maxStaleness < RevokeMs", !revokes || durations.maxStaleness < *bounds.revoke},
      {"listPollInterval <= maxListAge and maxListAge + listPollInterval < DrainMs",
       durations.listPollInterval <= durations.maxListAge &&
           durations.maxListAge + durations.listPollInterval < bounds.drain},
      {"commandHoldoff >= LeaseMs", durations.commandHoldoff >= bounds.commandLease},
      {"memberRemovalTimeout = 0 or memberRemovalTimeout > minElectionTimeout",
       durations.memberRemovalTimeout == Duration(0) || durations.memberRemovalTimeout > durations.minElectionTimeout},
      {"rolloutStartTimeout < oldWeightsSendTimeout < unstartedRequestTimeout < VersionMs",
       durations.rolloutStartTimeout() < durations.oldWeightsSendTimeout &&
           durations.oldWeightsSendTimeout < durations.unstartedRequestTimeout &&
           durations.unstartedRequestTimeout < durations.oldWeightsTimeout},
      {"minVoters >= 1", durations.minVoters >= 1},
  };
  for (const auto& inequality : inequalities)
    if (!inequality.holds) return makeError(Code::badProps, "Bounds", std::string("does not hold: ") + inequality.text);
  return boost::outcome_v2::success();
}

}  // namespace tt
