#include <egrettrestle/decision/ownership.hpp>

#include <algorithm>
#include <cmath>

namespace egrettrestle {

namespace {

    /// Weighted rendezvous hashing: a member has the highest score for a share of the upstreams in proportion to its
    /// weight.
    double scoreOf(const Member& member, std::uint64_t upstreamHash)
    {
        const std::uint64_t hash = rendezvousWeight(member.id, upstreamHash);
        constexpr double range = 18'446'744'073'709'551'616.0;
        // Strictly between 0 and 1, so that the logarithm is finite and not 0.
        const double position = (static_cast<double>(hash >> 11) + 0.5) / (range / 2'048);
        return -member.weight / std::log(position);
    }

}

std::optional<VmId> ownerOf(const View& view, const UpstreamInfo& upstream)
{
    const bool hasLocalMember = std::any_of(view.members.begin(), view.members.end(), [&upstream](const Member& member) { return member.dataCentre == upstream.dataCentre; });
    const std::uint64_t upstreamHash = rendezvousWeight(upstream.id, 0);
    const Member* best = nullptr;
    double bestScore = 0;
    for (const Member& member : view.members) {
        // Scores are costly, and every VM computes those of all upstreams at each change of the view.
        if (hasLocalMember && member.dataCentre != upstream.dataCentre)
            continue;
        const double score = scoreOf(member, upstreamHash);
        if (best && score <= bestScore)
            continue;
        best = &member;
        bestScore = score;
    }
    if (!best)
        return std::nullopt;
    return best->id;
}

} // namespace egrettrestle
