#include <cstdlib>
#include <new>

#include "fuzz.hpp"

namespace {
thread_local std::size_t allocated = 0;
}  // namespace

std::size_t tt::allocatedBytes() { return allocated; }

/// Replaces the global allocation functions to count the bytes that each thread allocates. Memory still comes from
/// malloc.
void* operator new(std::size_t size) {
  allocated += size;
  if (void* block = std::malloc(size ? size : 1)) return block;
  throw std::bad_alloc();
}
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
#endif
void operator delete(void* block) noexcept { std::free(block); }
void operator delete(void* block, std::size_t) noexcept { std::free(block); }
