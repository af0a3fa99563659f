#pragma once
#include "fleet_cost.hpp"
#include "fleet_size.hpp"

namespace tt {

/// Runs a fleet in simulated time and measures the processor time of the real logic and of message encoding. The error
/// names the part of the fleet that did not form, or the change that was refused.
Result<FleetCost> measureFleet(const FleetSize& size, std::uint64_t seed);

}  // namespace tt
