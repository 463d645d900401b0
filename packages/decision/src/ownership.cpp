#include <egrettrestle/decision/ownership.hpp>

#include <cmath>

namespace egrettrestle {

namespace {

    /// Weighted rendezvous: a member is first for a share of the upstreams in proportion to its weight.
    double scoreOf(const Member& member, const UpstreamId& upstream)
    {
        const std::uint64_t hash = rendezvousWeight(member.id, rendezvousWeight(upstream, 0));
        constexpr double range = 18'446'744'073'709'551'616.0;
        // Strictly between 0 and 1.
        const double position = (static_cast<double>(hash >> 11) + 0.5) / (range / 2'048);
        return -member.weight / std::log(position);
    }

}

std::optional<VmId> ownerOf(const View& view, const UpstreamInfo& upstream)
{
    const Member* best = nullptr;
    bool bestIsNear = false;
    double bestScore = 0;
    for (const Member& member : view.members) {
        const bool near = member.dataCentre == upstream.dataCentre;
        const double score = scoreOf(member, upstream.id);
        const bool better = !best || (near && !bestIsNear) || (near == bestIsNear && score > bestScore);
        if (!better)
            continue;
        best = &member;
        bestIsNear = near;
        bestScore = score;
    }
    if (!best)
        return std::nullopt;
    return best->id;
}

} // namespace egrettrestle
