#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

#include <egrettrestle/decision/contacts.hpp>
#include <egrettrestle/decision/ownership.hpp>

using namespace egrettrestle;

namespace {

/// A view with members distributed unevenly over five data centres.
View fleetOf(std::size_t members)
{
    View view;
    view.epoch.value = 1;
    for (std::size_t number = 0; number < members; ++number) {
        constexpr std::size_t firstNumber = 1'000;
        const VmId id = "vm-" + std::to_string(firstNumber + number);
        const std::size_t dataCentre = number % 7 < 5 ? number % 7 : 0;
        view.members.push_back({ id, "p", "c", { number + 1 }, "dc" + std::to_string(dataCentre) });
    }
    return view;
}

}

TEST_CASE("regular contacts in a small fleet are all other members")
{
    const View view = fleetOf(35);
    CHECK(regularContacts(view, "vm-1003", {}).size() == 34);
    CHECK(regularContacts(view, "unknown", {}).empty());

    SECTION("a VM that has left keeps its contacts, since it finishes its jobs with them")
    {
        CHECK(regularContacts(view, "left", {}, { "vm-1003", "vm-1004", "gone" }) == std::set<VmId> { "vm-1003", "vm-1004" });
    }
}

// A VM that reported to every other one would send and receive messages in proportion to the size of the fleet.
TEST_CASE("regular contacts in a large fleet are bounded, mutual and spread over all data centres")
{
    const ContactLimits limits;
    // Twice the local neighbours, and in four data centres those chosen there and those that choose this VM: up to twice
    // as many, and one more for each rounding.
    const std::size_t bound = 2 * limits.localNeighbours + 4 * 3 * limits.remoteContacts;
    for (const std::size_t size : { std::size_t { 60 }, std::size_t { 147 }, std::size_t { 300 }, std::size_t { 534 } }) {
        INFO(size << " members");
        const View view = fleetOf(size);
        std::map<VmId, std::set<VmId>> contacts;
        for (const Member& member : view.members)
            contacts[member.id] = regularContacts(view, member.id, limits);
        std::size_t most = 0;
        bool mutual = true;
        bool allDataCentres = true;
        for (const auto& entry : contacts) {
            most = std::max(most, entry.second.size());
            std::set<DataCentreId> dataCentres;
            for (const VmId& contact : entry.second) {
                mutual = mutual && contacts[contact].count(entry.first) > 0;
                dataCentres.insert(findMember(view, contact)->dataCentre);
            }
            allDataCentres = allDataCentres && dataCentres.size() == 5;
        }
        CHECK(most <= bound);
        CHECK(mutual);
        CHECK(allDataCentres);
    }
}

TEST_CASE("members are removed from a view together, in one epoch")
{
    const View view = fleetOf(10);
    const View next = withAllRemoved(view, { Incarnation { 2 }, Incarnation { 5 }, Incarnation { 99 } });
    CHECK(next.epoch.value == view.epoch.value + 1);
    CHECK(next.members.size() == 8);
    CHECK_FALSE(findMember(next, Incarnation { 2 }));
    CHECK_FALSE(findMember(next, Incarnation { 5 }));
    CHECK(withAllRemoved(view, { Incarnation { 99 } }).epoch == view.epoch);
}
