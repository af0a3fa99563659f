#pragma once
#include "election.hpp"

namespace tt {

/// The shortest and the longest span, in milliseconds, that a program takes for the use of old weights, and the usual
/// one.
constexpr double versionMsLeast = 5000, versionMsMost = 600000, versionMsUsual = 20000;

/// Sets how long after newer weights were named requests may begin on older ones, and the spans that follow from it, in
/// the same proportions as the usual ones. A fault names the inequality that does not hold.
Result<void> setVersionSpan(double versionMs);

}  // namespace tt
