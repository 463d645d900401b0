#include <egrettrestle/fleet/membership.hpp>

#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/peer_links.hpp>
#include <egrettrestle/wire/peer_messages.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds stepInterval { 50 };
    // Time without a reply after which a VM is suspected; shorter if its port refuses connections.
    constexpr Milliseconds suspectAfter { 700 };
    constexpr Milliseconds suspectAfterRefusals { 200 };
    // Time to object: a store call and a watch's delivery, and a pause of the VM's processor in between.
    constexpr Milliseconds objectionTimeout { 450 };
    // A VM that has objected is not suspected again for this long.
    constexpr Milliseconds objectionValidity { 3'000 };
    // Pause between attempts of a removed VM to join again.
    constexpr Milliseconds rejoinInterval { 300 };
    const std::string viewKey = storeKeys::viewPrefix + "fleet";
    const std::string suspectKeyPrefix = storeKeys::prefix + "suspect/";
    constexpr const char* suspectedMarker = "suspected ";
    constexpr const char* objectionMarker = "present ";

}

FleetMembership::FleetMembership(FleetContext& context)
    : m_context(context)
{
}

FleetMembership::~FleetMembership()
{
    stop();
}

absl::Status FleetMembership::start()
{
    m_thread = std::thread([this] { run(); });
    return absl::OkStatus();
}

void FleetMembership::prepareStop()
{
    setAndWake(m_stopping);
}

void FleetMembership::leaveSoon()
{
    setAndWake(m_leaving);
}

void FleetMembership::setAndWake(std::atomic<bool>& flag)
{
    {
        const std::lock_guard<std::mutex> lock(m_wakeMutex);
        flag = true;
    }
    m_wake.notify_all();
}

void FleetMembership::stop()
{
    prepareStop();
    if (m_thread.joinable())
        m_thread.join();
}

void FleetMembership::run()
{
    Duration counted { 0 };
    while (!m_stopping) {
        const bool leaving = m_leaving;
        step();
        const Duration time = WorkMeter::threadTime();
        m_context.work.add(WorkKind::Membership, time - counted);
        counted = time;
        std::unique_lock<std::mutex> lock(m_wakeMutex);
        m_wake.wait_for(lock, stepInterval, [this, leaving] { return m_stopping || m_leaving != leaving; });
    }
}

void FleetMembership::step()
{
    if (m_leaving) {
        leave();
        return;
    }
    joinIfNeeded();
    if (!isMember())
        return;
    objectToSuspicion();
    checkUnresponsivePeers();
}

void FleetMembership::onStoreEntry(const StoreEntry& entry)
{
    if (entry.key == viewKey) {
        const std::optional<View> view = entry.removed ? std::nullopt : parseView(entry.value);
        if (!view)
            return;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (entry.modRevision <= m_viewRevision)
                return;
            m_viewRevision = entry.modRevision;
            m_viewRead = true;
            if (view->epoch < m_view.epoch)
                return;
            m_view = *view;
        }
        m_context.log.write(events::viewAdopted, { { "epoch", static_cast<std::int64_t>(view->epoch.value) }, { "members", static_cast<std::int64_t>(view->members.size()) }, { "revision", static_cast<std::int64_t>(entry.modRevision) } });
        m_context.metrics.setGauge("view_epoch", static_cast<double>(view->epoch.value));
        m_context.kernel.find<PeerLinks>(fleetServices::peerLinks).setView(*view);
        m_context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&view](Dispatcher& dispatcher, TimePoint now) { dispatcher.setView(*view, now); });
        return;
    }
    if (entry.removed || entry.key.compare(0, suspectKeyPrefix.size(), suspectKeyPrefix) != 0)
        return;
    const bool objected = entry.value.compare(0, std::char_traits<char>::length(objectionMarker), objectionMarker) == 0;
    const std::size_t separator = entry.value.find(' ');
    const std::lock_guard<std::mutex> lock(m_mutex);
    Suspicion& suspicion = m_suspicions[entry.key.substr(suspectKeyPrefix.size())];
    if (entry.modRevision <= suspicion.revision)
        return;
    suspicion = { { separator == std::string::npos ? 0 : std::strtoull(entry.value.c_str() + separator, nullptr, 10) }, objected, entry.modRevision, bootTimeNow() };
}

bool FleetMembership::isMember() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_incarnation.value > 0 && findMember(m_view, m_incarnation) != nullptr;
}

View FleetMembership::currentView(std::uint64_t& revision) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    revision = m_viewRevision;
    return m_view;
}

bool FleetMembership::tryWriteView(const View& next, std::uint64_t revision)
{
    View stored = next;
    // Every VM watches every change of the view, so the past views are not needed.
    stored.past.clear();
    const absl::StatusOr<bool> swapped = m_context.platform.store->compareAndSwap(viewKey, revision, toText(stored));
    if (swapped.ok() && *swapped)
        return true;
    // Another VM has written first, or the reply was lost: the stored view is authoritative.
    const absl::StatusOr<StoreEntry> entry = m_context.platform.store->read(viewKey);
    if (entry.ok() && entry->modRevision > 0)
        onStoreEntry(*entry);
    return false;
}

void FleetMembership::joinIfNeeded()
{
    if (m_context.draining || isMember() || bootTimeNow() - m_lastJoin < rejoinInterval)
        return;
    std::uint64_t revision = 0;
    View view = currentView(revision);
    if (revision == 0) {
        const absl::StatusOr<StoreEntry> entry = m_context.platform.store->read(viewKey);
        if (!entry.ok())
            return;
        if (entry->modRevision > 0) {
            onStoreEntry(*entry);
            view = currentView(revision);
        }
    }
    const bool removed = m_incarnation.value > 0;
    View next = withJoined(view, m_context.settings.id, m_context.settings.peerAddress, m_context.settings.callerAddress);
    for (Member& member : next.members) {
        if (member.id != m_context.settings.id)
            continue;
        member.dataCentre = m_context.settings.dataCentre;
        member.weight = m_context.settings.weight;
    }
    const std::uint64_t before = revision;
    if (tryWriteView(next, revision)) {
        m_context.log.write(removed ? events::removedByPeers : events::joined, { { "incarnation", static_cast<std::int64_t>(next.epoch.value) }, { "revision", static_cast<std::int64_t>(before) } });
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_incarnation = { next.epoch.value };
        m_lastJoin = bootTimeNow();
    } else {
        // A write whose reply was lost may have taken effect: then the member with this id and incarnation is this process.
        const std::lock_guard<std::mutex> lock(m_mutex);
        const Member* self = findMember(m_view, m_context.settings.id);
        if (self && self->incarnation.value == next.epoch.value && m_view.epoch.value >= next.epoch.value)
            m_incarnation = self->incarnation;
    }
}

void FleetMembership::objectToSuspicion()
{
    std::uint64_t revision = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_suspicions.find(m_context.settings.id);
        if (found == m_suspicions.end() || found->second.objected || found->second.incarnation != m_incarnation)
            return;
        revision = found->second.revision;
    }
    const absl::StatusOr<bool> written = m_context.platform.store->compareAndSwap(suspectKeyPrefix + m_context.settings.id, revision, objectionMarker + std::to_string(m_incarnation.value));
    if (written.ok() && *written) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_suspicions[m_context.settings.id].objected = true;
    }
}

void FleetMembership::checkUnresponsivePeers()
{
    std::uint64_t viewRevision = 0;
    const View latest = currentView(viewRevision);
    std::vector<Incarnation> unresponsive;
    for (const UnresponsivePeer& peer : m_context.kernel.find<PeerLinks>(fleetServices::peerLinks).unresponsivePeers()) {
        if (peer.silence < (peer.refusesConnections ? suspectAfterRefusals : suspectAfter))
            continue;
        const Member* member = findMember(latest, peer.id);
        if (!member)
            continue;
        std::optional<Suspicion> known;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto found = m_suspicions.find(peer.id);
            if (found != m_suspicions.end())
                known = found->second;
        }
        const bool current = known && known->incarnation == member->incarnation;
        const Duration age = current ? bootTimeNow() - known->since : Duration { 0 };
        if (current && !known->objected) {
            if (age < objectionTimeout)
                continue;
            m_context.log.write(events::vmRemoved, { { "peer", peer.id }, { "silentMs", peer.silence.count() }, { "epoch", static_cast<std::int64_t>(latest.epoch.value) } });
            unresponsive.push_back(member->incarnation);
            continue;
        }
        if (current && age < objectionValidity)
            continue;
        m_context.log.write(events::vmSuspected, { { "peer", peer.id }, { "silentMs", peer.silence.count() }, { "refuses", peer.refusesConnections ? "yes" : "no" } });
        const absl::StatusOr<bool> written = m_context.platform.store->compareAndSwap(suspectKeyPrefix + peer.id, known ? known->revision : 0, suspectedMarker + std::to_string(member->incarnation.value));
        if (!written.ok())
            break;
    }
    if (!unresponsive.empty())
        tryWriteView(withAllRemoved(latest, unresponsive), viewRevision);
}

void FleetMembership::leave()
{
    // Other VMs may change the view at the same time.
    constexpr int attempts = 6;
    bool written = false;
    for (int attempt = 0; attempt < attempts && isMember() && !m_stopping && !written; ++attempt) {
        std::uint64_t revision = 0;
        const View view = currentView(revision);
        written = tryWriteView(withRemoved(view, m_incarnation), revision);
    }
    // A write whose reply was lost may have taken effect.
    const bool hasLeft = written || (m_incarnation.value > 0 && !isMember());
    if (hasLeft && !m_hasLeft.exchange(true))
        m_context.log.write(events::vmLeft, { { "incarnation", static_cast<std::int64_t>(m_incarnation.value) } });
}

} // namespace egrettrestle
