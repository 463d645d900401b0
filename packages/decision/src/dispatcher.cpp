#include <egrettrestle/decision/dispatcher.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    ExecutorLimits executorLimits(const DispatcherLimits& limits)
    {
        ExecutorLimits executor = limits.executor;
        executor.ownerLossTimeout = ownerLossTimeout(limits);
        return executor;
    }

    /// Members of both views in the same life, if the later view follows the earlier one at once.
    std::set<VmId> settledMembers(const View& earlier, const View& later)
    {
        std::set<VmId> settled;
        if (later.epoch.value != earlier.epoch.value + 1)
            return settled;
        for (const Member& member : later.members) {
            const Member* before = findMember(earlier, member.id);
            if (before && before->incarnation == member.incarnation)
                settled.insert(member.id);
        }
        return settled;
    }

}

Milliseconds ownerLossTimeout(const DispatcherLimits& limits)
{
    const Milliseconds lease = limits.owner.leaseDuration + Milliseconds { static_cast<std::int64_t>(static_cast<double>(limits.owner.leaseDuration.count()) * limits.owner.clockDrift) };
    return limits.maxMessageAge + limits.owner.executorTimeout + lease + limits.owner.leaseExpiryMargin;
}

Dispatcher::Dispatcher(DispatcherPort& port, VmId self, DispatcherLimits limits)
    : m_port(port)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_owner(*this, limits.owner, m_self)
    , m_executor(*this, m_rooms, m_self, executorLimits(limits))
{
}

void Dispatcher::setView(const View& view, TimePoint now)
{
    if (view.epoch <= m_view.epoch)
        return;
    const std::set<VmId> settled = settledMembers(m_view, view);
    m_view = view;
    const Member* self = findMember(view, m_self);
    if (!m_memberSince && self)
        m_memberSince = now;
    std::set<VmId> near;
    for (const Member& member : view.members) {
        if (self && member.dataCentre == self->dataCentre)
            near.insert(member.id);
    }
    m_rooms.setLocalOwners(std::move(near));
    assignOwners(settled, now);
    deliverLocal(now);
}

void Dispatcher::setUpstream(const UpstreamInfo& upstream, TimePoint now)
{
    UpstreamInfo& known = m_upstreams[upstream.id];
    const bool wasMissing = m_missing.erase(upstream.id) > 0;
    if (known == upstream && !wasMissing)
        return;
    known = upstream;
    const bool owned = m_owner.owns(upstream.id);
    const std::optional<VmId> owner = assignOwner(known, now);
    if (owner)
        m_executor.onOwnerChanged(upstream.id, *owner, now);
    // A new life may have another address.
    if (owned || owner == m_self)
        m_port.onOwnedUpstreamsChanged();
    deliverLocal(now);
}

void Dispatcher::onUpstreamUnlisted(const UpstreamId& upstream, TimePoint now)
{
    if (m_upstreams.count(upstream) > 0)
        m_missing.emplace(upstream, now);
}

std::optional<VmId> Dispatcher::assignOwner(const UpstreamInfo& upstream, TimePoint now)
{
    std::optional<VmId> owner = ownerOf(m_view, upstream);
    if (owner)
        m_rooms.setPlacement(upstream, *owner);
    if (owner == m_self)
        m_owner.acquire(upstream, { m_view.epoch.value }, now);
    else if (m_owner.owns(upstream.id))
        m_owner.release(upstream.id, now);
    return owner;
}

void Dispatcher::assignOwners(const std::set<VmId>& settled, TimePoint now)
{
    std::map<UpstreamId, VmId> owners;
    bool changed = false;
    for (const auto& entry : m_upstreams) {
        const bool owned = m_owner.owns(entry.first);
        std::optional<VmId> owner = assignOwner(entry.second, now);
        changed = changed || owned != (owner == m_self);
        if (owner)
            owners.emplace(entry.first, std::move(*owner));
    }
    m_executor.onOwnersChanged(std::move(owners), { m_view.epoch.value }, settled, now);
    if (changed)
        m_port.onOwnedUpstreamsChanged();
}

void Dispatcher::submit(CallerTicket ticket, const DispatchJob& request, const Route& route, TimePoint now)
{
    m_owner.seedTypicalNeed(request.steps.front().need);
    refreshOwnRoom(now);
    m_executor.setWarmingUp(isWarmingUp(now));
    m_executor.submit(ticket, request, route, now);
    deliverLocal(now);
}

void Dispatcher::onCallerDisconnected(CallerTicket ticket, TimePoint now)
{
    m_executor.onCallerDisconnected(ticket, now);
    deliverLocal(now);
}

bool Dispatcher::cancel(const std::string& job, TimePoint now)
{
    const bool cancelled = m_executor.cancel(job, now);
    deliverLocal(now);
    return cancelled;
}

void Dispatcher::endJobs(TimePoint now)
{
    m_executor.endAll(now);
    deliverLocal(now);
}

void Dispatcher::onPeerMessages(const VmId& vm, const std::vector<PeerMessage>& messages, const CapacityReport& room, TimePoint now)
{
    PeerState& peer = m_peers.emplace(vm, PeerState { now, now, now }).first->second;
    peer.heardAt = now;
    peer.dropped = false;
    m_owner.onExecutorContact(vm, now);
    m_owner.seedTypicalNeed(room.typicalNeed);
    m_rooms.update(vm, room);
    // An end or a return may send tasks anew, which looks for room here first.
    const bool sendsTasks = std::any_of(messages.begin(), messages.end(), [](const PeerMessage& message) { return message.ended || message.returned; });
    if (sendsTasks)
        refreshOwnRoom(now);
    for (const PeerMessage& message : messages) {
        if (message.request)
            ++peer.requestsSeen;
        handle(vm, message, now);
    }
    deliverLocal(now);
}

void Dispatcher::onPeerReply(const VmId& vm, bool taken, TimePoint now)
{
    PeerState& peer = m_peers.emplace(vm, PeerState { now, now, now }).first->second;
    peer.answeredAt = now;
    peer.lost = false;
    if (!taken)
        return;
    peer.takenAt = now;
    m_rooms.setReachable(vm, true);
}

void Dispatcher::onPeerRestarted(const VmId& vm, TimePoint now)
{
    m_peers[vm] = { now, now, now };
    m_rooms.removeOwner(vm);
    m_owner.onExecutorRestarted(vm, now);
    m_executor.onOwnerRestarted(vm, now);
    deliverLocal(now);
}

std::uint64_t Dispatcher::requestsReceived(const VmId& vm) const
{
    const auto found = m_peers.find(vm);
    return found == m_peers.end() ? 0 : found->second.requestsSeen;
}

std::optional<PollOrder> Dispatcher::nextPoll(const UpstreamId& upstream, TimePoint now)
{
    return m_owner.nextPoll(upstream, now);
}

void Dispatcher::onPollReply(const PollOrder& order, const PollReply& reply, TimePoint sentAt, TimePoint now)
{
    m_owner.onPollReply(order.upstream, order, reply, sentAt, now);
    deliverLocal(now);
}

void Dispatcher::onStartReply(const StartOrder& order, const OrderReply& reply, TimePoint now)
{
    m_owner.onStartReply(order, reply, now);
    deliverLocal(now);
}

void Dispatcher::onStopReply(const StopOrder& order, const OrderReply& reply, TimePoint now)
{
    m_owner.onStopReply(order, reply, now);
    deliverLocal(now);
}

void Dispatcher::tick(TimePoint now)
{
    checkMissing(now);
    checkPeers(now);
    m_owner.tick(now);
    deliverLocal(now);
    refreshOwnRoom(now);
    m_executor.setWarmingUp(isWarmingUp(now));
    m_executor.tick(now);
    deliverLocal(now);
}

bool Dispatcher::isWarmingUp(TimePoint now)
{
    if (!m_begunAt)
        m_begunAt = now;
    return now - *m_begunAt < m_limits.maxWarmUp && !(isReady(now) && isRoomComplete());
}

bool Dispatcher::isRoomComplete() const
{
    return std::all_of(m_view.members.begin(), m_view.members.end(), [this](const Member& member) {
        return m_rooms.isComplete(member.id, { m_view.epoch.value });
    });
}

bool Dispatcher::isReady(TimePoint now) const
{
    if (!m_memberSince)
        return false;
    if (now - *m_memberSince > m_limits.readinessTimeout)
        return true;
    const bool peersHeard = std::all_of(m_view.members.begin(), m_view.members.end(), [this](const Member& member) { return member.id == m_self || m_peers.count(member.id) > 0; });
    return peersHeard && m_owner.allSynced();
}

void Dispatcher::checkPeers(TimePoint now)
{
    for (auto& entry : m_peers) {
        PeerState& peer = entry.second;
        if (!peer.dropped && now - peer.heardAt > m_limits.owner.executorTimeout) {
            peer.dropped = true;
            m_owner.onExecutorLost(entry.first, now);
        }
        if (now - std::min(peer.takenAt, peer.heardAt) > m_limits.peerTimeout)
            m_rooms.setReachable(entry.first, false);
        if (!peer.lost && now - peer.answeredAt > ownerLossTimeout(m_limits)) {
            peer.lost = true;
            m_port.onPeerLost(entry.first);
            m_executor.onOwnerLost(entry.first, now);
        }
    }
}

void Dispatcher::checkMissing(TimePoint now)
{
    for (auto entry = m_missing.begin(); entry != m_missing.end();) {
        const UpstreamId id = entry->first;
        if (now - entry->second <= m_limits.discoveryGracePeriod) {
            ++entry;
        } else if (m_owner.owns(id)) {
            m_owner.markUnlisted(id);
            ++entry;
        } else {
            entry = m_missing.erase(entry);
            m_upstreams.erase(id);
            m_executor.removeUpstream(id);
            m_port.onOwnedUpstreamsChanged();
        }
    }
}

void Dispatcher::send(const VmId& vm, PeerMessage message)
{
    if (vm == m_self)
        m_local.push_back(std::move(message));
    else
        m_port.send(vm, std::move(message));
}

void Dispatcher::handle(const VmId& from, const PeerMessage& message, TimePoint now)
{
    if (message.request)
        m_owner.request(from, *message.request, now);
    if (message.withdrawal)
        m_owner.withdraw(from, *message.withdrawal, now);
    if (message.claim)
        m_owner.claim(from, *message.claim, now);
    if (message.started)
        m_executor.onStarted(from, *message.started, now);
    if (message.ended)
        m_executor.onEnded(from, *message.ended, now);
    if (message.returned)
        m_executor.onReturned(from, *message.returned, now);
}

void Dispatcher::deliverLocal(TimePoint now)
{
    while (!m_local.empty()) {
        const PeerMessage message = std::move(m_local.front());
        m_local.pop_front();
        if (message.request)
            ++m_ownRequests;
        if (message.ended || message.returned)
            refreshOwnRoom(now);
        handle(m_self, message, now);
    }
}

void Dispatcher::refreshOwnRoom(TimePoint now)
{
    CapacityReport report = capacityReport(now);
    report.requestsReceived = m_ownRequests;
    m_rooms.update(m_self, std::move(report));
}

CapacityReport Dispatcher::capacityReport(TimePoint now) const
{
    CapacityReport report = m_owner.capacityReport(now);
    if (m_owner.allSynced())
        report.completeAtEpoch.value = m_view.epoch.value;
    return report;
}

std::vector<UpstreamInfo> Dispatcher::ownedUpstreams() const
{
    std::vector<UpstreamInfo> owned;
    for (const UpstreamId& id : m_owner.owned()) {
        const auto known = m_upstreams.find(id);
        if (known != m_upstreams.end())
            owned.push_back(known->second);
    }
    return owned;
}

const UpstreamInfo* Dispatcher::upstream(const UpstreamId& id) const
{
    const auto known = m_upstreams.find(id);
    return known == m_upstreams.end() ? nullptr : &known->second;
}

} // namespace egrettrestle
