#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include <egrettrestle/base/ids.hpp>

namespace egrettrestle {

/// The data centres that are being evacuated: nothing new is started on their upstreams. The set as it was in the store at
/// one revision.
struct Evacuations {
    /// Revision of the store at which the set was read. 0 before the first one.
    std::uint64_t revision = 0;
    std::set<DataCentreId> dataCentres;

    friend bool operator==(const Evacuations& left, const Evacuations& right) { return left.revision == right.revision && left.dataCentres == right.dataCentres; }
};

/// What a later set has changed.
struct EvacuationChanges {
    std::vector<DataCentreId> begun;
    std::vector<DataCentreId> ended;

    bool any() const { return !begun.empty() || !ended.empty(); }
};

/// Replaces a set by another one if that was read at a higher revision, and does nothing otherwise. All VMs therefore end
/// with the same set, whatever the order in which they receive it from the store and from each other.
EvacuationChanges mergeEvacuations(Evacuations& known, const Evacuations& other);

/// Where a VM has learned a set from.
enum class EvacuationSource {
    Store,
    Peer,
};

/// A change of the evacuations, or of the runs left under one, reported for the log.
struct EvacuationEvent {
    enum class Kind {
        Begun,
        Ended,
        /// No run is left at this VM's upstreams in the data centre.
        Empty,
    };

    Kind kind = Kind::Begun;
    DataCentreId dataCentre;
    /// Revision of the set.
    std::uint64_t revision = 0;
    EvacuationSource source = EvacuationSource::Store;
    /// Upstreams that discovery lists in the data centre; 0 may mean that its name is misspelt.
    std::size_t upstreams = 0;
    /// This VM's upstreams there, and the runs at them.
    std::size_t ownUpstreams = 0;
    std::size_t ownRuns = 0;
};

} // namespace egrettrestle
