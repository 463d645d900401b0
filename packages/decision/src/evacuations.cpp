#include <egrettrestle/decision/evacuations.hpp>

#include <algorithm>
#include <iterator>

namespace egrettrestle {

EvacuationChanges mergeEvacuations(Evacuations& known, const Evacuations& other)
{
    EvacuationChanges changes;
    if (other.revision <= known.revision)
        return changes;
    std::set_difference(other.dataCentres.begin(), other.dataCentres.end(), known.dataCentres.begin(), known.dataCentres.end(), std::back_inserter(changes.begun));
    std::set_difference(known.dataCentres.begin(), known.dataCentres.end(), other.dataCentres.begin(), other.dataCentres.end(), std::back_inserter(changes.ended));
    known = other;
    return changes;
}

} // namespace egrettrestle
