#pragma once

#include <cstddef>
#include <set>

#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// Bounds the number of VMs that a VM exchanges messages with regularly, whatever the number of members.
struct ContactLimits {
    /// In a view with at most this many members, all VMs are in contact with each other.
    std::size_t meshMembers = 40;
    /// Neighbours on each side, in the ring of the ids of the VM's own data centre.
    std::size_t localNeighbours = 8;
    /// VMs chosen in each other data centre. As contact is mutual, a VM may have a few more.
    std::size_t remoteContacts = 2;
};

/// The members that a VM keeps in regular contact with: they monitor each other and know each other's free capacity.
/// Contact is mutual. Every VM has contacts in its own data centre and in every other one. A VM that is not a member, since
/// it has left, keeps those of its `previous` contacts that are.
std::set<VmId> regularContacts(const View& view, const VmId& self, const ContactLimits& limits, const std::set<VmId>& previous = {});

} // namespace egrettrestle
