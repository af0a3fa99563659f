#pragma once
#include "election.hpp"

namespace tt {

/// Puts the process's spans back at the end of a test that sets them.
struct TimingKept {
  Timing old = timing;
  ~TimingKept() { timing = old; }
};

}  // namespace tt
