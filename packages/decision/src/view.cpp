#include <egrettrestle/decision/view.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    struct RankedMember {
        std::uint64_t weight;
        VmId id;
    };

    View nextView(const View& view)
    {
        View next = view;
        if (view.epoch.value > 0)
            next.past.push_back({ view.epoch, memberIds(view) });
        if (next.past.size() > pastViewLimit)
            next.past.erase(next.past.begin(), next.past.end() - pastViewLimit);
        next.epoch.value = view.epoch.value + 1;
        return next;
    }

    bool hasLowerId(const Member& left, const Member& right) { return left.id < right.id; }

}

std::vector<VmId> rankedMembers(const std::vector<VmId>& members, Bucket bucket)
{
    std::vector<RankedMember> ranked;
    ranked.reserve(members.size());
    for (const VmId& id : members)
        ranked.push_back({ rendezvousWeight(id, bucket), id });
    std::sort(ranked.begin(), ranked.end(), [](const RankedMember& left, const RankedMember& right) {
        return left.weight != right.weight ? left.weight > right.weight : left.id < right.id;
    });
    std::vector<VmId> ids;
    ids.reserve(ranked.size());
    for (RankedMember& entry : ranked)
        ids.push_back(std::move(entry.id));
    return ids;
}

ReplicaPair replicasOf(const std::vector<VmId>& members, Bucket bucket)
{
    std::vector<VmId> ranked = rankedMembers(members, bucket);
    ReplicaPair pair;
    if (!ranked.empty())
        pair.primary = std::move(ranked[0]);
    if (ranked.size() > 1)
        pair.backup = std::move(ranked[1]);
    return pair;
}

std::vector<VmId> memberIds(const View& view)
{
    std::vector<VmId> ids;
    ids.reserve(view.members.size());
    for (const Member& member : view.members)
        ids.push_back(member.id);
    return ids;
}

const Member* findMember(const View& view, const VmId& id)
{
    for (const Member& member : view.members) {
        if (member.id == id)
            return &member;
    }
    return nullptr;
}

const Member* findMember(const View& view, Incarnation incarnation)
{
    for (const Member& member : view.members) {
        if (member.incarnation == incarnation)
            return &member;
    }
    return nullptr;
}

std::optional<std::vector<VmId>> membersAt(const View& view, Epoch epoch)
{
    if (epoch == view.epoch)
        return memberIds(view);
    for (const PastView& past : view.past) {
        if (past.epoch == epoch)
            return past.members;
    }
    return std::nullopt;
}

View withJoined(const View& view, const VmId& id, const std::string& peerAddress, const std::string& callerAddress)
{
    View next = nextView(view);
    next.members.erase(std::remove_if(next.members.begin(), next.members.end(), [&id](const Member& member) { return member.id == id; }), next.members.end());
    next.members.push_back({ id, peerAddress, callerAddress, Incarnation { next.epoch.value } });
    std::sort(next.members.begin(), next.members.end(), hasLowerId);
    return next;
}

View withRemoved(const View& view, Incarnation incarnation)
{
    return withAllRemoved(view, { incarnation });
}

View withAllRemoved(const View& view, const std::vector<Incarnation>& incarnations)
{
    const auto isRemoved = [&incarnations](const Member& member) { return std::find(incarnations.begin(), incarnations.end(), member.incarnation) != incarnations.end(); };
    if (std::none_of(view.members.begin(), view.members.end(), isRemoved))
        return view;
    View next = nextView(view);
    next.members.erase(std::remove_if(next.members.begin(), next.members.end(), isRemoved), next.members.end());
    return next;
}

std::vector<Member> heartbeatTargets(const View& view, const VmId& self, std::size_t count)
{
    std::vector<Member> targets;
    const auto own = std::find_if(view.members.begin(), view.members.end(), [&self](const Member& member) { return member.id == self; });
    if (own == view.members.end())
        return targets;
    const std::size_t position = static_cast<std::size_t>(own - view.members.begin());
    for (std::size_t step = 1; step < view.members.size() && targets.size() < count; ++step)
        targets.push_back(view.members[(position + step) % view.members.size()]);
    return targets;
}

} // namespace egrettrestle
