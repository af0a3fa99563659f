#pragma once
#include "cell.hpp"
#include "fleet_size.hpp"
#include "proxy_router.hpp"

namespace tt {

/// Input data of a measured fleet: names, configuration, machines, settings and requests. All of it is derived from
/// numbers without randomness, so that the same size always gives the same fleet.

constexpr int slotsPerWorker = 4;
/// Host numbers used in one IPv4 network before the next one is begun.
constexpr int addressesPerNetwork = 250;

/// Hashes a number to a uniformly distributed one, by SplitMix64.
std::uint64_t mixBits(std::uint64_t value);
/// The hash of the block with this number among those of one worker.
BlockHash makeBlockHash(std::uint64_t worker, std::uint64_t number);
/// Zones are assigned to regions in turn.
std::string zoneName(const FleetSize& size, int zone);
/// The platform's description of a worker. Workers are assigned to zones and models in turn.
Machine makeMachine(const FleetSize& size, int worker);

/// The initial configuration as JSON: tenants, a route for each tenant, and a service for each model.
std::string initialSections(int tenants, int models);
/// A change that adds the models, each with the first version of its weights, as JSON.
std::string modelSections(int models);
/// A change of one tenant's item, as JSON. `changeNumber` makes each change different.
std::string tenantChange(int tenant, int changeNumber);
/// A client's request for the path route of a tenant that is derived from the number.
CallerOrder makeRequest(const FleetSize& size, std::uint64_t number);

/// Settings of the cells and proxies, as the processes on the platform have them.
CellSettings platformCellSettings();
ProxyRouterSettings platformProxySettings(const std::string& name, const std::string& address, const std::string& zone,
                                          const std::string& agentAddress);
/// Sets the global `timing` as on the platform, once per process.
void setPlatformTiming();

}  // namespace tt
