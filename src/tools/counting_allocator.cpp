#include <malloc.h>

#include <cstdlib>
#include <new>

#include "resource_meters.hpp"

/// Replaces the global allocation functions to add the size of each allocation to the thread's current heapByteCounter,
/// and to subtract it when the memory is freed. Memory still comes from malloc.

namespace {
/// Bytes that glibc's malloc stores in front of each block.
constexpr std::int64_t blockHeaderBytes = 8;

std::int64_t allocatedSize(void* block) {
  return static_cast<std::int64_t>(::malloc_usable_size(block)) + blockHeaderBytes;
}

void* allocate(std::size_t bytes) {
  void* block = std::malloc(bytes ? bytes : 1);
  if (!block) std::abort();
  if (tt::heapByteCounter) *tt::heapByteCounter += allocatedSize(block);
  return block;
}

void release(void* block) {
  if (!block) return;
  if (tt::heapByteCounter) *tt::heapByteCounter -= allocatedSize(block);
  std::free(block);
}
}  // namespace

void* operator new(std::size_t bytes) { return allocate(bytes); }
void* operator new[](std::size_t bytes) { return allocate(bytes); }
void* operator new(std::size_t bytes, const std::nothrow_t&) noexcept { return allocate(bytes); }
void* operator new[](std::size_t bytes, const std::nothrow_t&) noexcept { return allocate(bytes); }
void operator delete(void* block) noexcept { release(block); }
void operator delete[](void* block) noexcept { release(block); }
void operator delete(void* block, std::size_t) noexcept { release(block); }
void operator delete[](void* block, std::size_t) noexcept { release(block); }
