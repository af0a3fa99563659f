#include "old_weights_timeout.hpp"

#include <criterion/criterion.h>

#include "timing_guard.hpp"

using namespace tt;

Test(version_span, the_default_setting_gives_the_default_timeouts) {
  TimingGuard restoreTiming;
  timing = Timing{};
  cr_assert(bool(setOldWeightsTimeout(defaultVersionMs)));
  cr_assert(timing.oldWeightsTimeout == Timing{}.oldWeightsTimeout);
  cr_assert(timing.oldWeightsSendTimeout == Timing{}.oldWeightsSendTimeout);
  cr_assert(timing.unstartedRequestTimeout == Timing{}.unstartedRequestTimeout);
}

Test(version_span, every_allowed_setting_keeps_the_timeouts_in_order) {
  TimingGuard restoreTiming;
  for (double versionMs = minVersionMs; versionMs <= maxVersionMs; versionMs += 37) {
    timing = Timing{};
    cr_assert(bool(setOldWeightsTimeout(versionMs)), "%f ms", versionMs);
    cr_assert(timing.rolloutStartTimeout() < timing.oldWeightsSendTimeout &&
              timing.oldWeightsSendTimeout < timing.unstartedRequestTimeout &&
              timing.unstartedRequestTimeout < timing.oldWeightsTimeout);
  }
}

Test(version_span, the_error_for_a_too_short_setting_names_the_inequality) {
  TimingGuard restoreTiming;
  timing = Timing{};
  auto done = setOldWeightsTimeout(0);
  cr_assert(!done);
  cr_assert_neq(
      done.error().text.find("rolloutStartTimeout < oldWeightsSendTimeout < unstartedRequestTimeout < VersionMs"),
      std::string::npos);
}
