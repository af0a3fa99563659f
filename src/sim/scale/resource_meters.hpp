#pragma once
#include <cstdint>

namespace tt {

/// Where this thread's allocations are counted at present; null counts nowhere. The program that measures brings an
/// allocator that counts; without it nothing is.
extern thread_local std::int64_t* heapAccount;

/// Counts this thread's allocations on one account until the scope ends.
class HeapCountingScope {
 public:
  explicit HeapCountingScope(std::int64_t* account) : before(heapAccount) { heapAccount = account; }
  ~HeapCountingScope() { heapAccount = before; }
  HeapCountingScope(const HeapCountingScope&) = delete;
  HeapCountingScope& operator=(const HeapCountingScope&) = delete;

 private:
  std::int64_t* before;
};

/// Processor time of this thread.
std::int64_t threadCpuNs();
/// What reading the thread's clock twice costs, to be taken off each measured span.
std::int64_t clockCostNs();

}  // namespace tt
