#pragma once
#include "base.hpp"

namespace tt {

/// Trials of a single component, without a fleet.

/// One result of a trial. The name includes the unit.
struct Metric {
  std::string name;
  double value{0};
};
/// Measures the index of cached blocks in a cell: memory per block, and time per cache event, lookup and tick.
std::vector<Metric> measureIndex(std::int64_t blocks, std::uint64_t seed);
/// Measures how long a proxy takes to select one of `workers` workers and to forward each chunk of a response.
std::vector<Metric> measureWorkerSelection(int workers, std::uint64_t seed);
/// Measures configuration changes with `tenants` tenants: time to prepare and apply them, and the bytes of a log entry
/// and of a snapshot.
std::vector<Metric> measureConfiguration(int tenants, std::uint64_t seed);

}  // namespace tt
