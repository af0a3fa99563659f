#pragma once

/// Costs by which a worker is first selected, before any cell was asked, in milliseconds of a worker's time.
namespace tt {

/// For each request that runs at a worker.
constexpr double runningRequestMs = 0.7;
/// For any worker but the preferred one of the prompt's prefix, which most likely has it cached.
constexpr double nonPreferredWorkerMs = 25;
/// Prefilling the shared tokens at another worker costs this many times the time that it takes.
constexpr double prefillAgainFactor = 3;

}  // namespace tt
