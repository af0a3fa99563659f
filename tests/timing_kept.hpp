#pragma once
#include "election.hpp"

namespace tt {

/// Puts the process's spans back at the end of a test that sets them.
struct TimingGuard {
  Timing old = timing;
  ~TimingGuard() { timing = old; }
};

}  // namespace tt
