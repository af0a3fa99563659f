#pragma once
#include "election.hpp"

namespace tt {

/// What a site promises in spans, as far as the fleet's own spans have to fit into it.
struct TimingBounds {
  /// How long after its acknowledgement a revocation holds everywhere, if the site promises that.
  std::optional<Duration> revoke;
  /// How long after its acknowledgement a change holds on all machines in touch.
  Duration configApply{2s};
  /// How long a proper change may take to be acknowledged.
  Duration acknowledge{4s};
  /// How long after the platform's list shows it a leaving worker may still get orders.
  Duration drain{3s};
  /// The least span between the last command of one holder and the first of the next.
  Duration commandLease{3s};
};

/// Checks that the spans fit together and into what the site promises; a fault names the first inequality that is
/// broken.
Result<void> checkTiming(const Timing& spans, const TimingBounds& bounds);

}  // namespace tt
