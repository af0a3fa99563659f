#pragma once
#include "election.hpp"

namespace tt {

/// Restores the global `timing` at the end of a test that changes it.
struct TimingGuard {
  Timing original = timing;
  ~TimingGuard() { timing = original; }
};

}  // namespace tt
