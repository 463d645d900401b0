#include <egrettrestle/decision/ownership.hpp>

namespace egrettrestle {

namespace {

    std::uint64_t weightOf(const VmId& vm, const UpstreamId& upstream)
    {
        return rendezvousWeight(vm, rendezvousWeight(upstream, 0));
    }

}

std::optional<VmId> ownerOf(const View& view, const UpstreamInfo& upstream)
{
    const Member* best = nullptr;
    bool bestIsNear = false;
    std::uint64_t bestWeight = 0;
    for (const Member& member : view.members) {
        const bool near = member.dataCentre == upstream.dataCentre;
        const std::uint64_t weight = weightOf(member.id, upstream.id);
        const bool better = !best || (near && !bestIsNear) || (near == bestIsNear && weight > bestWeight);
        if (!better)
            continue;
        best = &member;
        bestIsNear = near;
        bestWeight = weight;
    }
    if (!best)
        return std::nullopt;
    return best->id;
}

} // namespace egrettrestle
