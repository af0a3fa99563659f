#pragma once

namespace tt {

/// What placing an order costs, in milliseconds of a worker's time; used where a worker is drawn and where a source is.
/// One order more that runs at a worker.
constexpr double runningMs = 0.7;
/// To leave a prompt's first keeper for the second, or for any other.
constexpr double secondMs = 12, otherMs = 25;
/// A fetch from another worker or the store, beside its tokens.
constexpr double moveMs = 10;
/// How much dearer than its time it is to read shared tokens anew.
constexpr double readAgainX = 3;

}  // namespace tt
