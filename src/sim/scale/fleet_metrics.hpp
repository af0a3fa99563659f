#pragma once
#include "fleet_cost.hpp"

namespace tt {

/// One metric of a measured fleet.
struct FleetMetric {
  /// `subject`: a role, or "fleet" for the entire fleet.
  std::string subject, name;
  double value{0};
};
/// Converts costs to metrics: for each role the mean and maximum over its processes and the cost by message type; for
/// the fleet its counts and the latencies of configuration changes.
std::vector<FleetMetric> fleetMetrics(const FleetCost& cost);

}  // namespace tt
