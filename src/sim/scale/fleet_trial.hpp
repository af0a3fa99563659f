#pragma once
#include "fleet_cost.hpp"
#include "fleet_size.hpp"

namespace tt {

/// Runs a fleet on simulated time and takes the processor time that its real logic and wire form cost. A fault says
/// which part of the fleet did not form, or which change was refused.
Result<FleetCost> measureFleet(const FleetSize& size, std::uint64_t seed);

}  // namespace tt
