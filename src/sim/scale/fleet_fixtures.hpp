#pragma once
#include "cell.hpp"
#include "fleet_size.hpp"
#include "proxy_router.hpp"

namespace tt {

/// What a measured fleet is told and asked: names, configuration, machines, settings and requests, each made from
/// numbers alone, so that the same size gives the same fleet.

/// A well-spread number of another.
std::uint64_t mixBits(std::uint64_t value);
BlockHash blockOf(std::uint64_t worker, std::uint64_t number);
std::string zoneName(const FleetSize& size, int zone);
Machine machineOf(const FleetSize& size, int worker);

/// The first configuration: tenants, a route for each, and a service for each model.
std::string firstSections(int tenants, int models);
/// Models and the first version of each one's weights.
std::string modelSections(int models);
/// A change of one tenant's item.
std::string tenantChange(int tenant, int turn);
CallerOrder requestOf(const FleetSize& size, std::uint64_t number);

/// Settings and timing as the platform's roles have them.
CellSettings platformCell();
ProxyRouterSettings platformEdge(const std::string& name, const std::string& address, const std::string& zone,
                                 const std::string& agentAddress);
void setPlatformTiming();

}  // namespace tt
