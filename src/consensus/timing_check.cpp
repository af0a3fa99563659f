#include "timing_check.hpp"

namespace tt {
namespace {
/// How long a core remembers a reader that it no longer hears (see Core::tick).
constexpr Duration readerKept = 10s;
/// How long an agent waits for news that it knows to exist before it asks a core for them (see Agent::tick).
constexpr Duration newsWait = 150ms;

struct Inequality {
  const char* text;
  bool holds;
};
}  // namespace

Result<void> checkTiming(const Timing& spans, const TimingBounds& bounds) {
  Duration newsLate = spans.logEndPollInterval + newsWait + spans.feedPollInterval;
  bool revokes = bounds.revoke.has_value();
  const Inequality inequalities[] = {
      {"holdEvery > 0 and 3 holdEvery < lease",
       spans.heartbeatInterval > Duration(0) && 3 * spans.heartbeatInterval < spans.lease},
      {"lease < promise", spans.lease < spans.minElectionTimeout},
      {"voteWait < promise", spans.voteTimeout < spans.minElectionTimeout},
      {"2 roundEvery + 2 feedEvery <= freshFor",
       2 * spans.logEndPollInterval + 2 * spans.feedPollInterval <= spans.maxStaleness},
      {"roundEvery < readersWait", spans.logEndPollInterval < spans.readerAckTimeout},
      {"feedEvery < readersWait", spans.feedPollInterval < spans.readerAckTimeout},
      {"readersWait < time for which readers are remembered", spans.readerAckTimeout < readerKept},
      {"2 readersWait <= AckMs", 2 * spans.readerAckTimeout <= bounds.acknowledge},
      {"roundEvery + wait for news + feedEvery < ConfigApplyMs", newsLate < bounds.configApply},
      {"freshFor < RevokeMs", !revokes || spans.maxStaleness < *bounds.revoke},
      {"listEvery <= listOld and listOld + listEvery < DrainMs",
       spans.listPollInterval <= spans.maxListAge && spans.maxListAge + spans.listPollInterval < bounds.drain},
      {"commandRest >= LeaseMs", spans.commandHoldoff >= bounds.commandLease},
      {"memberGone > promise",
       spans.memberRemovalTimeout == Duration(0) || spans.memberRemovalTimeout > spans.minElectionTimeout},
      {"last start of a roll-out < last use of old weights < unbegun orders dropped < VersionMs",
       spans.rolloutStartTimeout() < spans.oldWeightsOrderTimeout &&
           spans.oldWeightsOrderTimeout < spans.unstartedOrderTimeout &&
           spans.unstartedOrderTimeout < spans.oldWeightsTimeout},
      {"votersLeast >= 1", spans.minVoters >= 1},
  };
  for (const auto& inequality : inequalities)
    if (!inequality.holds) return fault(Code::badProps, "Bounds", std::string("does not hold: ") + inequality.text);
  return boost::outcome_v2::success();
}

}  // namespace tt
