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
  Duration newsLate = spans.roundEvery + newsWait + spans.feedEvery;
  bool revokes = bounds.revoke.has_value();
  const Inequality inequalities[] = {
      {"holdEvery > 0 and 3 holdEvery < lease", spans.holdEvery > Duration(0) && 3 * spans.holdEvery < spans.lease},
      {"lease < promise", spans.lease < spans.promise},
      {"voteWait < promise", spans.voteWait < spans.promise},
      {"2 roundEvery + 2 feedEvery <= freshFor", 2 * spans.roundEvery + 2 * spans.feedEvery <= spans.freshFor},
      {"roundEvery < readersWait", spans.roundEvery < spans.readersWait},
      {"feedEvery < readersWait", spans.feedEvery < spans.readersWait},
      {"readersWait < time for which readers are remembered", spans.readersWait < readerKept},
      {"2 readersWait <= AckMs", 2 * spans.readersWait <= bounds.acknowledge},
      {"roundEvery + wait for news + feedEvery < ConfigApplyMs", newsLate < bounds.configApply},
      {"freshFor < RevokeMs", !revokes || spans.freshFor < *bounds.revoke},
      {"listEvery <= listOld and listOld + listEvery < DrainMs",
       spans.listEvery <= spans.listOld && spans.listOld + spans.listEvery < bounds.drain},
      {"commandRest >= LeaseMs", spans.commandRest >= bounds.commandLease},
      {"memberGone > promise", spans.memberGone == Duration(0) || spans.memberGone > spans.promise},
      {"last start of a roll-out < last use of old weights < unbegun orders dropped < VersionMs",
       spans.rolloutLatest() < spans.rolloutMost && spans.rolloutMost < spans.unbegunMost &&
           spans.unbegunMost < spans.versionMost},
      {"votersLeast >= 1", spans.votersLeast >= 1},
  };
  for (const auto& inequality : inequalities)
    if (!inequality.holds) return fault(Code::badProps, "Bounds", std::string("does not hold: ") + inequality.text);
  return boost::outcome_v2::success();
}

}  // namespace tt
