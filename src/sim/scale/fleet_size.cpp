#include "fleet_size.hpp"

namespace tt {
namespace {

constexpr std::int64_t bytesPerTenant = 3000, bytesPerWorker = 600, configurationBaseBytes = 1000000;
constexpr std::int64_t bytesPerCore = 40 << 20, bytesPerDaemonInCore = 2000, bytesPerZone = 4000;
constexpr std::int64_t bytesPerIndexedBlock = 90, inFlightBytesPerConnection = 8000;
/// Copies of the configuration in memory.
constexpr std::int64_t configurationsPerDaemon = 2, configurationsPerCore = 3;

}  // namespace

std::int64_t estimatedBytes(const FleetSize& size) {
  std::int64_t daemons = size.daemons, cores = size.cores;
  std::int64_t configurationBytes =
      bytesPerTenant * size.tenants + bytesPerWorker * size.workers + configurationBaseBytes;
  std::int64_t coreBytes = configurationBytes * configurationsPerCore + bytesPerCore + daemons * bytesPerDaemonInCore +
                           size.zones * bytesPerZone;
  return daemons * configurationsPerDaemon * configurationBytes + cores * coreBytes +
         size.blocks * bytesPerIndexedBlock + daemons * cores * inFlightBytesPerConnection;
}

}  // namespace tt
