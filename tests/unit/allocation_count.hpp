#pragma once

#include <cstddef>

/// Number of allocations of memory by the test program so far, on all threads.
std::size_t allocationCount();
