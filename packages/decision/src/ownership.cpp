#include <egrettrestle/decision/ownership.hpp>

#include <algorithm>
#include <cmath>

namespace egrettrestle {

namespace {

    /// Weighted rendezvous hashing: a member has the highest score for a share of the upstreams in proportion to its
    /// weight.
    double scoreOf(const VmId& member, double weight, std::uint64_t upstreamHash)
    {
        const std::uint64_t hash = rendezvousWeight(member, upstreamHash);
        constexpr double range = 18'446'744'073'709'551'616.0;
        // Strictly between 0 and 1, so that the logarithm is finite and not 0.
        const double position = (static_cast<double>(hash >> 11) + 0.5) / (range / 2'048);
        return -weight / std::log(position);
    }

    std::uint64_t hashOf(const UpstreamId& upstream) { return rendezvousWeight(upstream, 0); }

}

std::optional<VmId> ownerOf(const View& view, const UpstreamInfo& upstream)
{
    const bool hasLocalMember = std::any_of(view.members.begin(), view.members.end(), [&upstream](const Member& member) { return member.dataCentre == upstream.dataCentre; });
    const std::uint64_t upstreamHash = hashOf(upstream.id);
    const Member* best = nullptr;
    double bestScore = 0;
    for (const Member& member : view.members) {
        if (hasLocalMember && member.dataCentre != upstream.dataCentre)
            continue;
        const double score = scoreOf(member.id, member.weight, upstreamHash);
        if (best && score <= bestScore)
            continue;
        best = &member;
        bestScore = score;
    }
    if (!best)
        return std::nullopt;
    return best->id;
}

const VmId* OwnershipTable::setUpstream(const UpstreamInfo& upstream)
{
    const bool isNew = m_upstreams.count(upstream.id) == 0;
    Upstream& entry = m_upstreams[upstream.id];
    if (isNew || entry.dataCentre != upstream.dataCentre) {
        if (!isNew)
            m_upstreamsIn[entry.dataCentre].erase(upstream.id);
        m_upstreamsIn[upstream.dataCentre].insert(upstream.id);
        entry.hash = hashOf(upstream.id);
        entry.dataCentre = upstream.dataCentre;
        selectOwner(entry, candidatesFor(entry.dataCentre), true);
    }
    return entry.owner.empty() ? nullptr : &entry.owner;
}

void OwnershipTable::removeUpstream(const UpstreamId& upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    m_upstreamsIn[found->second.dataCentre].erase(upstream);
    m_upstreams.erase(found);
}

const VmId* OwnershipTable::owner(const UpstreamId& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() || found->second.owner.empty() ? nullptr : &found->second.owner;
}

const OwnershipTable::Candidates& OwnershipTable::candidatesFor(const DataCentreId& dataCentre) const
{
    const auto local = m_local.find(dataCentre);
    return local == m_local.end() ? m_all : local->second;
}

/// Compares the candidates with the owner selected so far; with `anew`, there is none.
void OwnershipTable::selectOwner(Upstream& upstream, const Candidates& candidates, bool anew)
{
    if (anew) {
        upstream.owner.clear();
        upstream.score = 0;
    }
    for (const Candidate& candidate : candidates) {
        const double score = scoreOf(candidate.id, candidate.weight, upstream.hash);
        ++m_scoresComputed;
        // Of equal scores, that of the lowest id counts.
        if (!upstream.owner.empty() && (score < upstream.score || (score == upstream.score && upstream.owner < candidate.id)))
            continue;
        upstream.owner = candidate.id;
        upstream.score = score;
    }
}

OwnershipTable::Change OwnershipTable::changeOf(const DataCentreId& dataCentre, const std::map<DataCentreId, Candidates>& localBefore, const Candidates& allBefore) const
{
    Change change;
    change.candidates = &candidatesFor(dataCentre);
    const auto before = localBefore.find(dataCentre);
    change.replaced = (before != localBefore.end()) != (m_local.count(dataCentre) > 0);
    if (change.replaced)
        return change;
    const Candidates& previous = before == localBefore.end() ? allBefore : before->second;
    const auto isIn = [](const Candidates& candidates, const Candidate& candidate) {
        const auto found = std::lower_bound(candidates.begin(), candidates.end(), candidate, [](const Candidate& left, const Candidate& right) { return left.id < right.id; });
        return found != candidates.end() && *found == candidate;
    };
    for (const Candidate& candidate : *change.candidates) {
        if (!isIn(previous, candidate))
            change.added.push_back(candidate);
    }
    for (const Candidate& candidate : previous) {
        if (!isIn(*change.candidates, candidate))
            change.removed.insert(candidate.id);
    }
    return change;
}

std::set<UpstreamId> OwnershipTable::setView(const View& view)
{
    std::map<DataCentreId, Candidates> localBefore;
    localBefore.swap(m_local);
    Candidates allBefore;
    allBefore.swap(m_all);
    for (const Member& member : view.members) {
        m_all.push_back({ member.id, member.weight });
        m_local[member.dataCentre].push_back({ member.id, member.weight });
    }
    std::set<UpstreamId> changed;
    for (const auto& dataCentre : m_upstreamsIn) {
        const Change change = changeOf(dataCentre.first, localBefore, allBefore);
        if (!change.any())
            continue;
        for (const UpstreamId& id : dataCentre.second) {
            Upstream& upstream = m_upstreams.at(id);
            const VmId before = upstream.owner;
            const bool anew = change.replaced || change.removed.count(before) > 0;
            selectOwner(upstream, anew ? *change.candidates : change.added, anew);
            if (upstream.owner != before)
                changed.insert(id);
        }
    }
    return changed;
}

} // namespace egrettrestle
