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

    /// Disables the starts of an owner as long as it exists.
    class StartsDisabled {
    public:
        explicit StartsDisabled(UpstreamOwner& owner)
            : m_owner(owner)
        {
            m_owner.setStartsEnabled(false);
        }
        ~StartsDisabled() { m_owner.setStartsEnabled(true); }
        StartsDisabled(const StartsDisabled&) = delete;
        StartsDisabled& operator=(const StartsDisabled&) = delete;

    private:
        UpstreamOwner& m_owner;
    };

    /// Whether a set contains an id that is higher than those asked for before; `position` is moved up to it.
    bool isNext(std::set<VmId>::const_iterator& position, const std::set<VmId>& ids, const VmId& id)
    {
        int order = -1;
        while (position != ids.end() && (order = position->compare(id)) < 0)
            ++position;
        return position != ids.end() && order == 0;
    }

    /// VMs that are members of both views with the same incarnation; none if views were skipped in between.
    std::set<VmId> stableMembers(const View& earlier, const View& later)
    {
        std::set<VmId> stableOwners;
        if (later.epoch.value != earlier.epoch.value + 1)
            return stableOwners;
        for (const Member& member : later.members) {
            const Member* previous = findMember(earlier, member.id);
            if (previous && previous->incarnation == member.incarnation)
                stableOwners.insert(member.id);
        }
        return stableOwners;
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
    , m_capacities(rendezvousWeight(m_self, 0))
    , m_owner(*this, m_crashes, limits.owner, m_self)
    , m_executor(*this, m_capacities, m_crashes, m_self, executorLimits(limits))
    , m_pauseGuard(limits.pause)
{
}

void Dispatcher::setView(const View& view, TimePoint now)
{
    if (view.epoch <= m_view.epoch)
        return;
    const std::set<VmId> stableOwners = stableMembers(m_view, view);
    m_view = view;
    const Member* self = findMember(view, m_self);
    if (!m_memberSince && self)
        m_memberSince = now;
    std::set<VmId> localMembers;
    for (const Member& member : view.members) {
        if (self && member.dataCentre == self->dataCentre)
            localMembers.insert(member.id);
    }
    m_capacities.setLocalOwners(std::move(localMembers));
    setContacts(regularContacts(view, m_self, m_limits.contacts, m_contacts), now);
    assignOwners(stableOwners, now);
    deliverLocalMessages(now);
}

void Dispatcher::setContacts(std::set<VmId> contacts, TimePoint now)
{
    for (const VmId& vm : contacts) {
        if (m_contacts.count(vm) == 0)
            shareCrashReports(vm);
        const auto known = m_peers.find(vm);
        if (known != m_peers.end() && m_contacts.count(vm) == 0 && !known->second.expectedSince)
            known->second.expectedSince = now;
    }
    m_contacts = std::move(contacts);
}

void Dispatcher::setUpstream(const UpstreamInfo& upstream, TimePoint now)
{
    UpstreamInfo& known = m_upstreams[upstream.id];
    const bool wasUnlisted = m_unlistedSince.erase(upstream.id) > 0;
    // Every heartbeat has another remaining time, which alone must not have the owners reassigned.
    updateColdTime(upstream, now);
    if (known == upstream && !wasUnlisted)
        return;
    known = upstream;
    const bool owned = m_owner.owns(upstream.id);
    const VmId* owner = assignOwner(known, now);
    if (owner)
        m_executor.onOwnerChanged(upstream.id, *owner, now);
    // A restarted upstream may have another address.
    if (owned || m_owner.owns(upstream.id))
        m_port.onOwnedUpstreamsChanged();
    deliverLocalMessages(now);
}

void Dispatcher::onUpstreamUnlisted(const UpstreamId& upstream, TimePoint now)
{
    if (m_upstreams.count(upstream) > 0)
        m_unlistedSince.emplace(upstream, now);
}

void Dispatcher::updateColdTime(const UpstreamInfo& upstream, TimePoint now)
{
    const TimePoint until = now + upstream.coldRemaining;
    if (until > now)
        m_coldUntil[upstream.id] = until;
    else if (m_coldUntil.erase(upstream.id) == 0)
        return;
    m_owner.setCold(upstream.id, until, now);
}

void Dispatcher::updatePlacement(const UpstreamInfo& upstream, const VmId* owner)
{
    if (m_evacuations.dataCentres.count(upstream.dataCentre) > 0)
        m_capacities.removePlacement(upstream.id);
    else if (owner)
        m_capacities.setPlacement(upstream, *owner);
}

void Dispatcher::setEvacuations(const Evacuations& evacuations, EvacuationSource source, TimePoint now)
{
    // An empty set that a peer has sent was not empty at an earlier revision.
    m_evacuationsKnown = m_evacuationsKnown || !evacuations.dataCentres.empty() || source == EvacuationSource::Peer;
    const EvacuationChanges changes = mergeEvacuations(m_evacuations, evacuations);
    if (!changes.any())
        return;
    m_evacuationsSource = source;
    for (const DataCentreId& dataCentre : changes.ended)
        m_emptyDataCentres.erase(dataCentre);
    m_owner.setEvacuated(m_evacuations.dataCentres);
    for (const auto& entry : m_upstreams)
        updatePlacement(entry.second, m_owners.owner(entry.first));
    m_executor.setEvacuating(!m_evacuations.dataCentres.empty());
    for (const DataCentreId& dataCentre : changes.begun)
        recordEvacuation(EvacuationEvent::Kind::Begun, dataCentre);
    for (const DataCentreId& dataCentre : changes.ended)
        recordEvacuation(EvacuationEvent::Kind::Ended, dataCentre);
    updateOwnCapacity(now);
    m_owner.startQueuedRuns(now);
    deliverLocalMessages(now);
}

std::optional<Evacuations> Dispatcher::evacuationsToShare() const
{
    return m_evacuationsKnown && m_evacuations.revision > 0 ? std::optional<Evacuations>(m_evacuations) : std::nullopt;
}

std::size_t Dispatcher::evacuatedRuns() const
{
    std::size_t runs = 0;
    for (const DataCentreId& dataCentre : m_evacuations.dataCentres)
        runs += m_owner.evacuationProgress(dataCentre).runs;
    return runs;
}

void Dispatcher::checkEvacuations()
{
    for (const DataCentreId& dataCentre : m_evacuations.dataCentres) {
        const EvacuationProgress progress = m_owner.evacuationProgress(dataCentre);
        // Runs may be found there after a change of owners.
        if (progress.runs > 0)
            m_emptyDataCentres.erase(dataCentre);
        else if (progress.upstreams > 0 && progress.complete && m_emptyDataCentres.insert(dataCentre).second)
            recordEvacuation(EvacuationEvent::Kind::Empty, dataCentre);
    }
}

void Dispatcher::recordEvacuation(EvacuationEvent::Kind kind, const DataCentreId& dataCentre)
{
    const EvacuationProgress progress = m_owner.evacuationProgress(dataCentre);
    const auto listed = std::count_if(m_upstreams.begin(), m_upstreams.end(), [&dataCentre](const auto& entry) { return entry.second.dataCentre == dataCentre; });
    m_port.recordEvent(EvacuationEvent { kind, dataCentre, m_evacuations.revision, m_evacuationsSource, static_cast<std::size_t>(listed), progress.upstreams, progress.runs });
}

const VmId* Dispatcher::assignOwner(const UpstreamInfo& upstream, TimePoint now)
{
    const VmId* owner = m_owners.setUpstream(upstream);
    updatePlacement(upstream, owner);
    if (owner && *owner == m_self) {
        m_owner.acquire(upstream, { m_view.epoch.value }, now);
        const auto coldUntil = m_coldUntil.find(upstream.id);
        if (coldUntil != m_coldUntil.end())
            m_owner.setCold(upstream.id, coldUntil->second, now);
    } else if (m_owner.owns(upstream.id)) {
        m_owner.release(upstream.id, now);
    }
    return owner;
}

void Dispatcher::assignOwners(const std::set<VmId>& stableOwners, TimePoint now)
{
    // Upstreams that this VM goes on owning get the new fencing token.
    std::set<UpstreamId> affected = m_owners.setView(m_view);
    for (const UpstreamId& id : m_owner.owned())
        affected.insert(id);
    std::map<UpstreamId, VmId> owners;
    bool changed = false;
    for (const UpstreamId& id : affected) {
        const auto known = m_upstreams.find(id);
        if (known == m_upstreams.end())
            continue;
        const bool owned = m_owner.owns(id);
        const VmId* owner = assignOwner(known->second, now);
        owners.emplace(id, owner ? *owner : VmId());
        changed = changed || owned != m_owner.owns(id);
    }
    m_executor.onOwnersChanged(owners, { m_view.epoch.value }, stableOwners, now);
    if (changed)
        m_port.onOwnedUpstreamsChanged();
}

bool Dispatcher::onActivity(TimePoint now, TimePoint inputHandledUntil)
{
    const bool resumed = m_pauseGuard.onActivity(now, inputHandledUntil);
    m_connectionsKnownAt = m_pauseGuard.callersKnownAt();
    m_owner.setCallersKnownAt(callersKnownAt(now));
    if (resumed) {
        m_executor.setCallersUncheckedSince(m_pauseGuard.uncheckedSince());
        m_owner.setOwnStartsEnabled(false);
    }
    return resumed;
}

void Dispatcher::onCallersChecked(TimePoint now)
{
    m_pauseGuard.onCallersChecked(now);
    m_connectionsKnownAt = m_pauseGuard.callersKnownAt();
    m_executor.setCallersUncheckedSince({});
    m_owner.setOwnStartsEnabled(true);
    tick(now);
}

void Dispatcher::submit(CallerTicket ticket, const DispatchJob& submitted, const Route& route, TimePoint arrivedAfter, TimePoint now)
{
    DispatchJob request = submitted;
    const Milliseconds age = m_pauseGuard.onInput(now, arrivedAfter);
    request.callerTimeout -= age;
    if (age > m_limits.usualInputDelay && !m_executor.contains(request.id) && request.callerTimeout < m_executor.expectedRunTime(request, route)) {
        m_executor.refuse(ticket, request, route, "read-late", now);
        return;
    }
    m_owner.seedTypicalNeed(request.steps.front().need);
    updateOwnCapacity(now);
    m_executor.setWarmingUp(isWarmingUp(now));
    m_executor.submit(ticket, request, route, now);
    deliverLocalMessages(now);
}

void Dispatcher::onCallerDisconnected(CallerTicket ticket, TimePoint now)
{
    m_executor.onCallerDisconnected(ticket, now);
    deliverLocalMessages(now);
}

bool Dispatcher::cancel(const std::string& job, TimePoint now)
{
    const bool cancelled = m_executor.cancel(job, now);
    deliverLocalMessages(now);
    return cancelled;
}

void Dispatcher::endJobs(TimePoint now)
{
    m_executor.endAll(now);
    deliverLocalMessages(now);
}

void Dispatcher::onPeerMessages(const VmId& vm, const std::vector<PeerMessage>& messages, const CapacityReport& capacity, TimePoint now, BatchAge age)
{
    PeerState& peer = m_peers.emplace(vm, PeerState { now, now, now }).first->second;
    peer.lastMessageAt = now;
    peer.executorDropped = false;
    m_owner.onExecutorContact(vm, now, now - age.maxAge - age.executorLag);
    m_owner.seedTypicalNeed(capacity.typicalNeed);
    m_capacities.update(vm, capacity);
    // The end or return of a run may cause tasks to be sent, preferably to this VM if it has capacity.
    const bool maySendTasks = std::any_of(messages.begin(), messages.end(), [](const PeerMessage& message) { return message.ended || message.returned; });
    if (maySendTasks)
        updateOwnCapacity(now);
    {
        // A run that a later message of the batch withdraws must not be started: its job may be running elsewhere by now.
        const StartsDisabled startsDisabled(m_owner);
        for (const PeerMessage& message : messages) {
            if (message.request)
                ++peer.requestsReceived;
            handle(vm, message, now, age.maxAge);
        }
    }
    m_owner.startQueuedRuns(now);
    deliverLocalMessages(now);
}

void Dispatcher::onPeerReply(const VmId& vm, bool accepted, TimePoint now)
{
    PeerState& peer = m_peers.emplace(vm, PeerState { now, now, now }).first->second;
    peer.lastReplyAt = now;
    if (peer.lost)
        shareCrashReports(vm);
    peer.lost = false;
    if (!accepted)
        return;
    peer.lastAcceptedAt = now;
    m_capacities.setReachable(vm, true);
}

void Dispatcher::onPeerRestarted(const VmId& vm, TimePoint now)
{
    m_peers[vm] = { now, now, now };
    m_capacities.removeOwner(vm);
    m_owner.onExecutorRestarted(vm, now);
    m_executor.onOwnerRestarted(vm, now);
    shareCrashReports(vm);
    deliverLocalMessages(now);
}

std::uint64_t Dispatcher::requestsReceived(const VmId& vm) const
{
    const auto found = m_peers.find(vm);
    return found == m_peers.end() ? 0 : found->second.requestsReceived;
}

std::optional<PollOrder> Dispatcher::nextPoll(const UpstreamId& upstream, TimePoint now)
{
    return m_owner.nextPoll(upstream, now);
}

void Dispatcher::onPollReply(const PollOrder& order, const PollReply& reply, TimePoint sentAt, TimePoint now)
{
    m_owner.onPollReply(order.upstream, order, reply, sentAt, now);
    deliverLocalMessages(now);
}

std::optional<StartOrder> Dispatcher::startToSend(const StartOrder& order, TimePoint now)
{
    std::optional<StartOrder> current = m_owner.startToSend(order, now);
    if (!current)
        deliverLocalMessages(now);
    return current;
}

void Dispatcher::onStartReply(const StartOrder& order, const OrderReply& reply, TimePoint now)
{
    m_owner.onStartReply(order, reply, now);
    deliverLocalMessages(now);
}

void Dispatcher::onStopReply(const StopOrder& order, const OrderReply& reply, TimePoint now)
{
    m_owner.onStopReply(order, reply, now);
    deliverLocalMessages(now);
}

void Dispatcher::tick(TimePoint now)
{
    m_crashes.expire(now);
    removeUnlistedUpstreams(now);
    checkPeers(now);
    m_owner.tick(now);
    deliverLocalMessages(now);
    updateOwnCapacity(now);
    m_executor.setWarmingUp(isWarmingUp(now));
    m_executor.tick(now);
    m_lastTick = now;
    m_owner.setCallersKnownAt(callersKnownAt(now));
    deliverLocalMessages(now);
    checkEvacuations();
}

bool Dispatcher::isWarmingUp(TimePoint now)
{
    if (!m_warmUpSince)
        m_warmUpSince = now;
    return now - *m_warmUpSince < m_limits.maxWarmUp && !(isReady(now) && hasCompleteCapacity());
}

bool Dispatcher::hasCompleteCapacity() const
{
    const FencingToken epoch { m_view.epoch.value };
    return m_capacities.isComplete(m_self, epoch) && std::all_of(m_contacts.begin(), m_contacts.end(), [this, epoch](const VmId& vm) { return m_capacities.isComplete(vm, epoch); });
}

bool Dispatcher::isReady(TimePoint now) const
{
    if (!m_memberSince)
        return false;
    if (now - *m_memberSince > m_limits.readinessTimeout)
        return true;
    const bool allContactsReported = std::all_of(m_contacts.begin(), m_contacts.end(), [this](const VmId& vm) { return m_peers.count(vm) > 0; });
    return allContactsReported && m_owner.allSynced();
}

void Dispatcher::checkPeers(TimePoint now)
{
    const std::set<VmId> ownersWithTasks = m_executor.ownersWithTasks();
    // All three are ordered by id: searching the sets for each VM of a large fleet at each tick would cost more than the rest.
    auto contact = m_contacts.begin();
    auto ownerWithTasks = ownersWithTasks.begin();
    for (auto& entry : m_peers) {
        PeerState& peer = entry.second;
        const bool isContact = isNext(contact, m_contacts, entry.first);
        const bool hasTasks = isNext(ownerWithTasks, ownersWithTasks, entry.first);
        const bool replyExpected = isContact || hasTasks;
        if (!replyExpected)
            peer.expectedSince.reset();
        else if (!isContact && !peer.expectedSince)
            peer.expectedSince = now;
        if (!peer.executorDropped && now - peer.lastMessageAt > m_limits.owner.executorTimeout) {
            peer.executorDropped = true;
            m_owner.onExecutorLost(entry.first, now);
        }
        if (now - std::min(peer.lastAcceptedAt, peer.lastMessageAt) > m_limits.peerTimeout)
            m_capacities.setReachable(entry.first, false);
        const TimePoint silentSince = std::max(peer.lastReplyAt, peer.expectedSince.value_or(peer.lastReplyAt));
        if (!peer.lost && replyExpected && now - silentSince > ownerLossTimeout(m_limits)) {
            peer.lost = true;
            m_port.onPeerLost(entry.first);
            m_executor.onOwnerLost(entry.first, now);
        }
    }
}

void Dispatcher::removeUnlistedUpstreams(TimePoint now)
{
    for (auto entry = m_unlistedSince.begin(); entry != m_unlistedSince.end();) {
        const UpstreamId id = entry->first;
        if (now - entry->second <= m_limits.discoveryGracePeriod) {
            ++entry;
        } else if (m_owner.owns(id)) {
            m_owner.markUnlisted(id);
            ++entry;
        } else {
            entry = m_unlistedSince.erase(entry);
            m_upstreams.erase(id);
            m_owners.removeUpstream(id);
            m_coldUntil.erase(id);
            m_executor.removeUpstream(id);
            m_port.onOwnedUpstreamsChanged();
        }
    }
}

void Dispatcher::send(const VmId& vm, PeerMessage message)
{
    if (vm == m_self)
        m_localMessages.push_back(std::move(message));
    else
        m_port.send(vm, std::move(message));
}

void Dispatcher::reportCrash(const UpstreamCrash& crash, const std::set<VmId>& executors)
{
    std::set<VmId> receivers = m_contacts;
    receivers.insert(executors.begin(), executors.end());
    receivers.insert(m_self);
    // The executors decide about the suspects; the others only have to know in time for a later submission.
    for (const VmId& vm : receivers)
        send(vm, { {}, {}, {}, {}, {}, {}, executors.count(vm) == 0, crash });
}

void Dispatcher::shareCrashReports(const VmId& vm)
{
    for (const UpstreamCrash& crash : m_crashes.reportsOfRepeatedCrashes())
        send(vm, { {}, {}, {}, {}, {}, {}, true, crash });
}

void Dispatcher::handle(const VmId& from, const PeerMessage& message, TimePoint now, Milliseconds maxAge)
{
    if (message.request)
        m_owner.request(from, *message.request, now);
    if (message.withdrawal) {
        RunWithdrawal withdrawal = *message.withdrawal;
        // The time that is left was counted when the message was sent.
        if (withdrawal.endBy)
            *withdrawal.endBy -= maxAge;
        m_owner.withdraw(from, withdrawal, now);
    }
    if (message.claim)
        m_owner.claim(from, *message.claim, now);
    if (message.started)
        m_executor.onStarted(from, *message.started, now);
    if (message.ended)
        m_executor.onEnded(from, *message.ended, now);
    if (message.returned)
        m_executor.onReturned(from, *message.returned, now);
    if (message.crash) {
        m_crashes.record(*message.crash, now);
        m_executor.onCrashesRecorded(m_crashes.suspectsOf(message.crash->incarnation), now);
    }
}

void Dispatcher::deliverLocalMessages(TimePoint now)
{
    while (!m_localMessages.empty()) {
        const PeerMessage message = std::move(m_localMessages.front());
        m_localMessages.pop_front();
        if (message.request)
            ++m_localRequests;
        if (message.ended || message.returned)
            updateOwnCapacity(now);
        handle(m_self, message, now);
    }
}

void Dispatcher::updateOwnCapacity(TimePoint now)
{
    CapacityReport report = capacityReport(now);
    report.requestsReceived = m_localRequests;
    m_capacities.update(m_self, std::move(report));
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
