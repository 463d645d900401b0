#pragma once

#include <string>

namespace egrettrestle::testing {

/// An address on loopback that nobody uses and that no earlier call of this process gave. Test programs side by side are
/// never given the same.
std::string freeAddress();

} // namespace egrettrestle::testing
