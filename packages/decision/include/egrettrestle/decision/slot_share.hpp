#pragma once

#include <vector>

#include <egrettrestle/base/ids.hpp>

namespace egrettrestle {

/// How many of an upstream's slots belong to a VM. Each slot belongs to the member that rendezvous hashing gives it,
/// so VMs with the same view never meet at a slot. O(slots times members).
std::size_t ownedSlots(const UpstreamId& upstream, std::size_t slots, const std::vector<VmId>& members, const VmId& self);

} // namespace egrettrestle
