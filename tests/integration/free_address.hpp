#pragma once

#include <string>

namespace egrettrestle::testing {

/// Returns an unused loopback address with a port. Addresses differ between calls (until a block of 1,000 ports is used
/// up) and between test programs that run concurrently. Throws std::runtime_error if all blocks of ports are taken.
std::string freeAddress();

} // namespace egrettrestle::testing
