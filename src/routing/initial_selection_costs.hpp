#pragma once

/// Costs for the first selection of a worker, before any cell has been asked, in milliseconds of a worker's time.
namespace tt {

/// For each request that runs at a worker.
constexpr double runningRequestMs = 0.7;
/// For any worker but the preferred one of the prompt's prefix, which most likely has it cached.
constexpr double nonPreferredWorkerMs = 25;
/// Weight of the time to prefill the shared tokens again at a worker other than the preferred one.
constexpr double prefillAgainFactor = 3;

}  // namespace tt
