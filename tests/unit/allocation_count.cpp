#include "allocation_count.hpp"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> allocations { 0 };

}

std::size_t allocationCount() { return allocations; }

void* operator new(std::size_t size)
{
    ++allocations;
    if (void* memory = std::malloc(size > 0 ? size : 1))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); }

void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
