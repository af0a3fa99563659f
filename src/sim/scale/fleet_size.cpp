#include "fleet_size.hpp"

namespace tt {
namespace {
constexpr std::int64_t bytesPerTenant = 3000, bytesPerWorker = 600, bytesPerView = 1000000;
constexpr std::int64_t bytesPerCore = 40 << 20, bytesPerCoreAndDaemon = 2000, bytesPerZone = 4000;
constexpr std::int64_t bytesPerBlock = 90, bytesUnderWay = 8000;
}  // namespace

std::int64_t estimatedBytes(const FleetSize& size) {
  std::int64_t daemons = size.daemons, cores = size.cores;
  std::int64_t viewBytes = bytesPerTenant * size.tenants + bytesPerWorker * size.workers + bytesPerView;
  std::int64_t coreBytes = viewBytes * 3 + bytesPerCore + daemons * bytesPerCoreAndDaemon + size.zones * bytesPerZone;
  return daemons * 2 * viewBytes + cores * coreBytes + size.blocks * bytesPerBlock + daemons * cores * bytesUnderWay;
}

}  // namespace tt
