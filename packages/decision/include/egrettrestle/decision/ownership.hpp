#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// The VM that owns an upstream, selected by weighted rendezvous hashing among the members in the upstream's data
/// centre, or among all members if none is there. Empty for a view without members.
std::optional<VmId> ownerOf(const View& view, const UpstreamInfo& upstream);

/// The owners of a set of upstreams in the latest view, as ownerOf() selects them. A change of the view costs scores of the
/// changed members only, for the upstreams that they may own: the members of a large fleet join one after another, and each
/// VM follows every change.
class OwnershipTable {
public:
    /// Adds an upstream, or moves it to another data centre. Returns its owner; null for a view without members.
    const VmId* setUpstream(const UpstreamInfo& upstream);
    void removeUpstream(const UpstreamId& upstream);

    /// Adopts a view and returns the upstreams whose owner is another one now.
    std::set<UpstreamId> setView(const View& view);

    /// The owner of an upstream of the table; null for a view without members.
    const VmId* owner(const UpstreamId& upstream) const;

    /// Number of scores that were computed, each for one upstream and one member.
    std::uint64_t scoresComputed() const { return m_scoresComputed; }

private:
    struct Candidate {
        VmId id;
        double weight = 1;

        friend bool operator==(const Candidate& left, const Candidate& right) { return left.id == right.id && left.weight == right.weight; }
    };

    struct Upstream {
        std::uint64_t hash = 0;
        DataCentreId dataCentre;
        /// Empty for a view without members.
        VmId owner;
        double score = 0;
    };

    /// Members ordered by id.
    using Candidates = std::vector<Candidate>;

    /// What a change of the view does to the candidates of a data centre's upstreams.
    struct Change {
        const Candidates* candidates = nullptr;
        /// All scores have to be computed anew.
        bool replaced = false;
        Candidates added;
        std::set<VmId> removed;

        bool any() const { return replaced || !added.empty() || !removed.empty(); }
    };

    /// The members that may own the upstreams of a data centre: its own, or all if it has none.
    const Candidates& candidatesFor(const DataCentreId& dataCentre) const;
    Change changeOf(const DataCentreId& dataCentre, const std::map<DataCentreId, Candidates>& localBefore, const Candidates& allBefore) const;
    void selectOwner(Upstream& upstream, const Candidates& candidates, bool anew);

    std::map<UpstreamId, Upstream> m_upstreams;
    std::map<DataCentreId, std::set<UpstreamId>> m_upstreamsIn;
    std::map<DataCentreId, Candidates> m_local;
    Candidates m_all;
    std::uint64_t m_scoresComputed = 0;
};

} // namespace egrettrestle
