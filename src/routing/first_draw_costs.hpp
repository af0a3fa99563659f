#pragma once

namespace tt {

/// What a first draw weighs before any cell was asked, in milliseconds of a worker's time.
/// One order more that runs at a worker.
constexpr double runningMs = 0.7;
/// To leave a prompt's first keeper for any other.
constexpr double otherMs = 25;
/// How much dearer than its time it is to read shared tokens anew.
constexpr double readAgainX = 3;

}  // namespace tt
