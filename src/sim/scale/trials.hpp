#pragma once
#include "base.hpp"

namespace tt {

/// Trials of one piece of the logic that need no fleet.

/// One figure of a trial.
struct Metric {
  std::string name;
  double value{0};
};
/// An index of kept blocks in a real cell: memory for each block, time for each event and lookup.
std::vector<Metric> measureIndex(std::int64_t blocks, std::uint64_t seed);
/// A proxy's draw among so many workers, and its time for each piece of an answer.
std::vector<Metric> measureWorkerSelection(int workers, std::uint64_t seed);
/// A change in a configuration of so many tenants: time to prepare and apply, and bytes in the log and in a snapshot.
std::vector<Metric> measureConfiguration(int tenants, std::uint64_t seed);

}  // namespace tt
