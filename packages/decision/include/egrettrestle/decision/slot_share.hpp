#pragma once

#include <vector>

#include <egrettrestle/base/ids.hpp>

namespace egrettrestle {

/// The number of an upstream's slots that are assigned to a VM. Slots are dealt out in turn to the members in rendezvous
/// order, so VMs with the same view never use the same slot, and shares differ by one slot at most. O(slots + n log n)
/// for n members.
std::size_t ownedSlots(const UpstreamId& upstream, std::size_t slots, const std::vector<VmId>& members, const VmId& self);

} // namespace egrettrestle
