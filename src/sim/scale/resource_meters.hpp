#pragma once
#include <cstdint>

namespace tt {

/// The counter to which this thread's allocated bytes are added, and from which freed ones are subtracted; null counts
/// none. The counting is done by the allocator of trouttally-scale; programs without it count nothing.
extern thread_local std::int64_t* heapByteCounter;

/// Makes `counter` this thread's heap counter until the end of the scope.
class HeapCountingScope {
 public:
  explicit HeapCountingScope(std::int64_t* counter) : previous(heapByteCounter) { heapByteCounter = counter; }
  ~HeapCountingScope() { heapByteCounter = previous; }
  HeapCountingScope(const HeapCountingScope&) = delete;
  HeapCountingScope& operator=(const HeapCountingScope&) = delete;

 private:
  std::int64_t* previous;
};

/// Processor time of this thread so far, in nanoseconds.
std::int64_t threadCpuNs();
/// The median difference between two successive `threadCpuNs()` calls, to be subtracted from each measurement.
std::int64_t clockReadCostNs();

}  // namespace tt
