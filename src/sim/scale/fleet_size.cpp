#include "fleet_size.hpp"

namespace tt {
namespace {
constexpr std::int64_t bytesPerTenant = 3000, bytesPerWorker = 600, bytesPerConfiguration = 1000000;
constexpr std::int64_t bytesPerCore = 40 << 20, bytesPerDaemonInCore = 2000, bytesPerZone = 4000;
constexpr std::int64_t bytesPerBlock = 90, inFlightBytesPerConnection = 8000;
}  // namespace

std::int64_t estimatedBytes(const FleetSize& size) {
  std::int64_t daemons = size.daemons, cores = size.cores;
  std::int64_t configurationBytes =
      bytesPerTenant * size.tenants + bytesPerWorker * size.workers + bytesPerConfiguration;
  std::int64_t coreBytes =
      configurationBytes * 3 + bytesPerCore + daemons * bytesPerDaemonInCore + size.zones * bytesPerZone;
  return daemons * 2 * configurationBytes + cores * coreBytes + size.blocks * bytesPerBlock +
         daemons * cores * inFlightBytesPerConnection;
}

}  // namespace tt
