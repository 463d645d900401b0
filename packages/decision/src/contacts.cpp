#include <egrettrestle/decision/contacts.hpp>

#include <algorithm>
#include <map>

namespace egrettrestle {

namespace {

    /// The members of one data centre, ordered by id as in the view.
    using Ring = std::vector<VmId>;

    void addNeighbours(const Ring& ring, std::size_t position, std::size_t count, std::set<VmId>& contacts)
    {
        for (std::size_t step = 1; step <= count && step < ring.size(); ++step) {
            contacts.insert(ring[(position + step) % ring.size()]);
            contacts.insert(ring[(position + ring.size() - step) % ring.size()]);
        }
    }

    /// The members of another ring that the member at a position chooses: those at the corresponding relative position.
    std::set<VmId> chosenIn(const Ring& other, std::size_t position, std::size_t ringSize, std::size_t count)
    {
        std::set<VmId> chosen;
        const std::size_t first = position * other.size() / ringSize;
        for (std::size_t step = 0; step < count && step < other.size(); ++step)
            chosen.insert(other[(first + step) % other.size()]);
        return chosen;
    }

}

std::set<VmId> regularContacts(const View& view, const VmId& self, const ContactLimits& limits, const std::set<VmId>& previous)
{
    std::set<VmId> contacts;
    const Member* own = findMember(view, self);
    if (!own) {
        for (const VmId& contact : previous) {
            if (findMember(view, contact))
                contacts.insert(contact);
        }
        return contacts;
    }
    std::map<DataCentreId, Ring> rings;
    for (const Member& member : view.members)
        rings[member.dataCentre].push_back(member.id);
    const Ring& local = rings[own->dataCentre];
    const std::size_t position = static_cast<std::size_t>(std::find(local.begin(), local.end(), self) - local.begin());
    if (view.members.size() <= limits.meshMembers) {
        for (const Member& member : view.members)
            contacts.insert(member.id);
    } else {
        addNeighbours(local, position, limits.localNeighbours, contacts);
        for (const auto& entry : rings) {
            if (entry.first == own->dataCentre)
                continue;
            const Ring& other = entry.second;
            const std::set<VmId> chosen = chosenIn(other, position, local.size(), limits.remoteContacts);
            contacts.insert(chosen.begin(), chosen.end());
            for (std::size_t remote = 0; remote < other.size(); ++remote) {
                if (chosenIn(local, remote, other.size(), limits.remoteContacts).count(self) > 0)
                    contacts.insert(other[remote]);
            }
        }
    }
    contacts.erase(self);
    return contacts;
}

} // namespace egrettrestle
