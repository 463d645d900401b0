#include <egrettrestle/fleet/membership.hpp>

#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/peer_links.hpp>
#include <egrettrestle/wire/peer_messages.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds stepInterval { 50 };
    // Silence after which a VM is asked through the store; less where its port refuses connections.
    constexpr Milliseconds suspectAfter { 700 };
    constexpr Milliseconds suspectRefusingAfter { 200 };
    // Time to object: a store call and a watch's delivery, with a VM held off its processor in between.
    constexpr Milliseconds objectionTime { 450 };
    // A VM that objected is not asked again for this long.
    constexpr Milliseconds objectionHolds { 3'000 };
    // Between attempts of a VM that was removed to join again.
    constexpr Milliseconds rejoinPause { 300 };
    const std::string viewKey = storeKeys::viewPrefix + "fleet";
    const std::string suspectPrefix = storeKeys::prefix + "suspect/";
    constexpr const char* suspectedWord = "suspected ";
    constexpr const char* objectedWord = "present ";

}

FleetMembership::FleetMembership(FleetContext& node)
    : m_node(node)
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

void FleetMembership::stop()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void FleetMembership::run()
{
    while (!m_stopping) {
        step();
        std::this_thread::sleep_for(stepInterval);
    }
}

void FleetMembership::step()
{
    joinIfNeeded();
    if (!isMember())
        return;
    object();
    watchSilent();
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
        m_node.log.write(events::viewAdopted, { { "epoch", static_cast<std::int64_t>(view->epoch.value) }, { "members", static_cast<std::int64_t>(view->members.size()) }, { "revision", static_cast<std::int64_t>(entry.modRevision) } });
        m_node.metrics.setGauge("view_epoch", static_cast<double>(view->epoch.value));
        m_node.kernel.find<PeerLinks>(fleetServices::peerLinks).setView(*view);
        m_node.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&view](Dispatcher& dispatcher, TimePoint now) { dispatcher.setView(*view, now); });
        return;
    }
    if (entry.removed || entry.key.compare(0, suspectPrefix.size(), suspectPrefix) != 0)
        return;
    const bool objected = entry.value.compare(0, std::char_traits<char>::length(objectedWord), objectedWord) == 0;
    const std::size_t number = entry.value.find(' ');
    const std::lock_guard<std::mutex> lock(m_mutex);
    Suspicion& suspicion = m_suspicions[entry.key.substr(suspectPrefix.size())];
    if (entry.modRevision <= suspicion.revision)
        return;
    suspicion = { { number == std::string::npos ? 0 : std::strtoull(entry.value.c_str() + number, nullptr, 10) }, objected, entry.modRevision, bootTimeNow() };
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

bool FleetMembership::changeView(const View& next, std::uint64_t revision)
{
    View stored = next;
    // Every VM follows every change; nobody needs the history.
    stored.past.clear();
    const absl::StatusOr<bool> swapped = m_node.platform.store->compareAndSwap(viewKey, revision, toText(stored));
    if (swapped.ok() && *swapped)
        return true;
    // Another VM was faster, or the reply was lost: the store has the view that counts.
    const absl::StatusOr<StoreEntry> entry = m_node.platform.store->read(viewKey);
    if (entry.ok() && entry->modRevision > 0)
        onStoreEntry(*entry);
    return false;
}

void FleetMembership::joinIfNeeded()
{
    if (m_node.draining || isMember() || bootTimeNow() - m_lastJoin < rejoinPause)
        return;
    std::uint64_t revision = 0;
    View view = currentView(revision);
    if (revision == 0) {
        const absl::StatusOr<StoreEntry> entry = m_node.platform.store->read(viewKey);
        if (!entry.ok())
            return;
        if (entry->modRevision > 0) {
            onStoreEntry(*entry);
            view = currentView(revision);
        }
    }
    const bool removed = m_incarnation.value > 0;
    View next = withJoined(view, m_node.settings.id, m_node.settings.peerAddress, m_node.settings.callerAddress);
    for (Member& member : next.members) {
        if (member.id != m_node.settings.id)
            continue;
        member.dataCentre = m_node.settings.dataCentre;
        member.weight = m_node.settings.weight;
    }
    const std::uint64_t before = revision;
    if (changeView(next, revision)) {
        m_node.log.write(removed ? events::removedByPeers : events::joined, { { "incarnation", static_cast<std::int64_t>(next.epoch.value) }, { "revision", static_cast<std::int64_t>(before) } });
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_incarnation = { next.epoch.value };
        m_lastJoin = bootTimeNow();
    } else {
        // A write whose reply was lost may have taken effect: then the member with this address and number is this process.
        const std::lock_guard<std::mutex> lock(m_mutex);
        const Member* self = findMember(m_view, m_node.settings.id);
        if (self && self->incarnation.value == next.epoch.value && m_view.epoch.value >= next.epoch.value)
            m_incarnation = self->incarnation;
    }
}

void FleetMembership::object()
{
    std::uint64_t revision = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_suspicions.find(m_node.settings.id);
        if (found == m_suspicions.end() || found->second.objected || found->second.incarnation != m_incarnation)
            return;
        revision = found->second.revision;
    }
    const absl::StatusOr<bool> written = m_node.platform.store->compareAndSwap(suspectPrefix + m_node.settings.id, revision, objectedWord + std::to_string(m_incarnation.value));
    if (written.ok() && *written) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_suspicions[m_node.settings.id].objected = true;
    }
}

void FleetMembership::watchSilent()
{
    for (const SilentPeer& silent : m_node.kernel.find<PeerLinks>(fleetServices::peerLinks).silentPeers()) {
        if (silent.silence < (silent.refuses ? suspectRefusingAfter : suspectAfter))
            continue;
        std::uint64_t revision = 0;
        const View view = currentView(revision);
        const Member* member = findMember(view, silent.id);
        if (!member)
            continue;
        std::optional<Suspicion> known;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto found = m_suspicions.find(silent.id);
            if (found != m_suspicions.end())
                known = found->second;
        }
        const bool current = known && known->incarnation == member->incarnation;
        const Duration age = current ? bootTimeNow() - known->since : Duration { 0 };
        if (current && !known->objected) {
            if (age < objectionTime)
                continue;
            m_node.log.write(events::vmRemoved, { { "peer", silent.id }, { "silentMs", silent.silence.count() }, { "epoch", static_cast<std::int64_t>(view.epoch.value) } });
            changeView(withRemoved(view, member->incarnation), revision);
            return;
        }
        if (current && age < objectionHolds)
            continue;
        m_node.log.write(events::vmSuspected, { { "peer", silent.id }, { "silentMs", silent.silence.count() }, { "refuses", silent.refuses ? "yes" : "no" } });
        const absl::StatusOr<bool> written = m_node.platform.store->compareAndSwap(suspectPrefix + silent.id, known ? known->revision : 0, suspectedWord + std::to_string(member->incarnation.value));
        if (!written.ok())
            return;
    }
}

void FleetMembership::leave()
{
    // A few attempts: others may change the view at the same time.
    constexpr int attempts = 6;
    for (int attempt = 0; attempt < attempts && isMember(); ++attempt) {
        std::uint64_t revision = 0;
        const View view = currentView(revision);
        if (changeView(withRemoved(view, m_incarnation), revision)) {
            m_node.log.write(events::vmLeft, { { "incarnation", static_cast<std::int64_t>(m_incarnation.value) } });
            return;
        }
    }
}

} // namespace egrettrestle
