#include <egrettrestle/decision/ownership.hpp>

#include <cmath>

namespace egrettrestle {

namespace {

    /// Weighted rendezvous hashing: a member has the highest score for a share of the upstreams in proportion to its
    /// weight.
    double scoreOf(const Member& member, const UpstreamId& upstream)
    {
        const std::uint64_t hash = rendezvousWeight(member.id, rendezvousWeight(upstream, 0));
        constexpr double range = 18'446'744'073'709'551'616.0;
        // Strictly between 0 and 1, so that the logarithm is finite and not 0.
        const double position = (static_cast<double>(hash >> 11) + 0.5) / (range / 2'048);
        return -member.weight / std::log(position);
    }

}

std::optional<VmId> ownerOf(const View& view, const UpstreamInfo& upstream)
{
    const Member* best = nullptr;
    bool bestInSameDataCentre = false;
    double bestScore = 0;
    for (const Member& member : view.members) {
        const bool sameDataCentre = member.dataCentre == upstream.dataCentre;
        const double score = scoreOf(member, upstream.id);
        const bool better = !best || (sameDataCentre && !bestInSameDataCentre) || (sameDataCentre == bestInSameDataCentre && score > bestScore);
        if (!better)
            continue;
        best = &member;
        bestInSameDataCentre = sameDataCentre;
        bestScore = score;
    }
    if (!best)
        return std::nullopt;
    return best->id;
}

} // namespace egrettrestle
