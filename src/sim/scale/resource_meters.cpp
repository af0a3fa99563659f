#include "resource_meters.hpp"

#include <ctime>
#include <vector>

#include "statistics.hpp"

namespace tt {

thread_local std::int64_t* heapByteCounter = nullptr;

std::int64_t threadCpuNs() {
  constexpr std::int64_t nsPerSecond = 1000000000;
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<std::int64_t>(time.tv_sec) * nsPerSecond + time.tv_nsec;
}

std::int64_t clockReadCostNs() {
  static const std::int64_t cost = [] {
    constexpr int readings = 2001;
    std::vector<double> costs;
    for (int reading = 0; reading < readings; ++reading) {
      std::int64_t start = threadCpuNs();
      costs.push_back(static_cast<double>(threadCpuNs() - start));
    }
    return static_cast<std::int64_t>(spreadOf(costs).median);
  }();
  return cost;
}

}  // namespace tt
