#pragma once
#include "fleet_cost.hpp"

namespace tt {

/// One figure of a measured fleet: of a role, or of the whole fleet.
struct FleetMetric {
  std::string subject, name;
  double value{0};
};
/// A fleet's costs as figures: for each role the mean and the most, and each message's share; for the fleet its counts
/// and how long changes took.
std::vector<FleetMetric> fleetMetrics(const FleetCost& cost);

}  // namespace tt
