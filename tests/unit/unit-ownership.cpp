#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include <egrettrestle/decision/ownership.hpp>

using namespace egrettrestle;

namespace {

UpstreamInfo upstreamOf(std::size_t number, std::size_t dataCentres)
{
    UpstreamInfo upstream;
    upstream.id = "u" + std::to_string(number);
    upstream.dataCentre = "dc" + std::to_string(number % dataCentres);
    return upstream;
}

std::vector<UpstreamInfo> upstreamsOf(std::size_t count, std::size_t dataCentres)
{
    std::vector<UpstreamInfo> upstreams;
    for (std::size_t number = 0; number < count; ++number)
        upstreams.push_back(upstreamOf(number, dataCentres));
    return upstreams;
}

Member memberOf(std::size_t number, std::size_t dataCentres, double weight = 1)
{
    return { "vm" + std::to_string(number), "p", "c", { number + 1 }, "dc" + std::to_string(number % dataCentres), weight };
}

void sortById(View& view)
{
    std::sort(view.members.begin(), view.members.end(), [](const Member& left, const Member& right) { return left.id < right.id; });
}

/// The scores that a VM computes while the members of a fleet join one after another.
std::uint64_t scoresOfJoins(std::size_t members, std::size_t upstreams)
{
    constexpr std::size_t dataCentres = 5;
    OwnershipTable table;
    for (const UpstreamInfo& upstream : upstreamsOf(upstreams, dataCentres))
        table.setUpstream(upstream);
    View view;
    for (std::size_t number = 0; number < members; ++number) {
        view.members.push_back(memberOf(number, dataCentres));
        sortById(view);
        table.setView(view);
    }
    return table.scoresComputed();
}

}

// Guards against a start whose processor time grows with the third power of the fleet: 147 members that join one after
// another cost a VM 2.5 million scores, on each of 147 VMs.
TEST_CASE("a member that joins costs a score for each upstream of its data centre")
{
    constexpr std::size_t upstreams = 1'100;
    constexpr std::size_t members = 147;
    // The first member, alone, and the first of each other data centre may own upstreams of all data centres.
    CHECK(scoresOfJoins(members, upstreams) <= members * upstreams / 5 + 5 * upstreams);
    CHECK(scoresOfJoins(2 * members, upstreams) <= 2 * scoresOfJoins(members, upstreams));
}

TEST_CASE("a view without a change of members costs no score")
{
    OwnershipTable table;
    for (const UpstreamInfo& upstream : upstreamsOf(100, 2))
        table.setUpstream(upstream);
    View view { { 1 }, { memberOf(0, 2), memberOf(1, 2) }, {} };
    table.setView(view);
    const std::uint64_t scores = table.scoresComputed();
    view.epoch = { 2 };
    view.members[0].incarnation = { 9 };
    CHECK(table.setView(view).empty());
    CHECK(table.scoresComputed() == scores);
}

// Guards against two owners of an upstream: VMs that have followed different views must agree on the owners in the last one.
TEST_CASE("the table selects the owners of ownerOf() whatever views came before")
{
    constexpr std::size_t dataCentres = 4;
    constexpr std::size_t members = 14;
    std::mt19937 random(20261206);
    std::vector<UpstreamInfo> upstreams = upstreamsOf(120, dataCentres);
    OwnershipTable table;
    View view;
    for (int step = 0; step < 400; ++step) {
        if (step % 5 == 0) {
            UpstreamInfo& moved = upstreams[random() % upstreams.size()];
            moved.dataCentre = "dc" + std::to_string(random() % (dataCentres + 1));
            table.setUpstream(moved);
        }
        if (step < static_cast<int>(upstreams.size()))
            table.setUpstream(upstreams[static_cast<std::size_t>(step)]);
        // Several members may change at once, also their weight or data centre.
        for (std::uint32_t change = random() % 4; change > 0; --change) {
            const std::size_t number = random() % members;
            const VmId id = memberOf(number, dataCentres).id;
            const auto known = std::find_if(view.members.begin(), view.members.end(), [&id](const Member& member) { return member.id == id; });
            if (known != view.members.end())
                view.members.erase(known);
            if (random() % 3 > 0)
                view.members.push_back(memberOf(random() % 8 == 0 ? number + members : number, dataCentres, random() % 4 == 0 ? 0.5 : 1));
        }
        sortById(view);
        view.members.erase(std::unique(view.members.begin(), view.members.end(), [](const Member& left, const Member& right) { return left.id == right.id; }), view.members.end());
        if (step % 50 == 49)
            view.members.clear();
        view.epoch = { view.epoch.value + 1 };
        std::map<UpstreamId, VmId> before;
        for (const UpstreamInfo& upstream : upstreams) {
            if (const VmId* owner = table.owner(upstream.id))
                before[upstream.id] = *owner;
        }
        const std::set<UpstreamId> changed = table.setView(view);
        for (std::size_t number = 0; number < upstreams.size() && number <= static_cast<std::size_t>(step); ++number) {
            const UpstreamId& id = upstreams[number].id;
            const VmId* owner = table.owner(id);
            const std::optional<VmId> expected = ownerOf(view, upstreams[number]);
            REQUIRE((owner ? std::optional<VmId>(*owner) : std::nullopt) == expected);
            const auto previous = before.find(id);
            const VmId previousOwner = previous == before.end() ? VmId() : previous->second;
            CHECK((changed.count(id) > 0) == (previousOwner != expected.value_or(VmId())));
        }
    }
}
