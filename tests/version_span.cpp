#include "version_span.hpp"

#include <criterion/criterion.h>

#include "timing_guard.hpp"

using namespace tt;

Test(version_span, the_usual_span_is_what_the_programs_have_anyway) {
  TimingGuard kept;
  timing = Timing{};
  cr_assert(bool(setVersionSpan(versionMsUsual)));
  cr_assert(timing.oldWeightsTimeout == Timing{}.oldWeightsTimeout);
  cr_assert(timing.oldWeightsSendTimeout == Timing{}.oldWeightsSendTimeout);
  cr_assert(timing.unstartedRequestTimeout == Timing{}.unstartedRequestTimeout);
}

Test(version_span, every_span_that_a_program_takes_keeps_the_inequalities) {
  TimingGuard kept;
  for (double versionMs = versionMsLeast; versionMs <= versionMsMost; versionMs += 37) {
    timing = Timing{};
    cr_assert(bool(setVersionSpan(versionMs)), "%f ms", versionMs);
    cr_assert(timing.rolloutStartTimeout() < timing.oldWeightsSendTimeout &&
              timing.oldWeightsSendTimeout < timing.unstartedRequestTimeout &&
              timing.unstartedRequestTimeout < timing.oldWeightsTimeout);
  }
}

Test(version_span, one_that_leaves_no_room_is_refused_by_its_inequality) {
  TimingGuard kept;
  timing = Timing{};
  auto done = setVersionSpan(0);
  cr_assert(!done);
  cr_assert_neq(done.error().text.find("last use of old weights"), std::string::npos);
}
