#include <egrettrestle/decision/slot_share.hpp>

#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

std::size_t ownedSlots(const UpstreamId& upstream, std::size_t slots, const std::vector<VmId>& members, const VmId& self)
{
    if (members.empty())
        return 0;
    // Dealing the slots out in turn by one ranking for each upstream keeps every member within one slot of an even share.
    const std::vector<VmId> ranked = rankedMembers(members, rendezvousWeight(upstream, 0));
    std::size_t owned = 0;
    for (std::size_t slot = 0; slot < slots; ++slot) {
        if (ranked[slot % ranked.size()] == self)
            ++owned;
    }
    return owned;
}

} // namespace egrettrestle
