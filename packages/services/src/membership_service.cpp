#include <egrettrestle/services/membership_service.hpp>

#include <algorithm>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/services/manifest_service.hpp>
#include <egrettrestle/services/platform_service.hpp>

namespace egrettrestle {

namespace {

    constexpr std::size_t watchedPeers = 2;
    constexpr Milliseconds connectTimeout { 250 };
    constexpr Milliseconds storePause { 1'000 };
    constexpr Milliseconds leavePatience { 5'000 };
    constexpr Milliseconds viewTimeout { 500 };
    constexpr Milliseconds firstRejoinPause { 500 };
    constexpr Milliseconds longestRejoinPause { 30'000 };
    constexpr Seconds stableMembership { 60 };
    constexpr int swapAttempts = 8;

}

MembershipService::MembershipService(Node& node)
    : m_node(node)
{
}

MembershipService::~MembershipService() = default;

std::string MembershipService::viewKey() const
{
    return storeKeys::viewPrefix + m_node.settings.dataCentre;
}

absl::Status MembershipService::start()
{
    m_claims = &m_node.kernel.find<ClaimsService>(serviceNames::claims);
    tick();
    m_thread = std::thread([this] { run(); });
    return absl::OkStatus();
}

void MembershipService::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    if (m_thread.joinable())
        m_thread.join();
    if (m_claims && m_claims->incarnation().value != 0)
        leave();
}

void MembershipService::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_changed.wait_for(lock, m_node.settings.heartbeatInterval, [this] { return m_stopping; })) {
        lock.unlock();
        tick();
        lock.lock();
    }
}

void MembershipService::tick()
{
    if (m_claims->incarnation().value == 0) {
        tryToJoin();
        return;
    }
    if (m_removals > 0 && SteadyClock::now() - m_lastJoin > stableMembership)
        m_removals = 0;
    const View view = m_claims->view();
    const std::vector<Member> targets = heartbeatTargets(view, m_node.settings.id, watchedPeers);
    std::map<VmId, int> missed;
    for (const Member& peer : targets)
        missed[peer.id] = m_missed[peer.id];
    m_missed = std::move(missed);
    for (const Member& peer : targets) {
        beat(peer);
        if (m_missed[peer.id] >= m_node.settings.missedHeartbeats)
            removeDead(peer);
    }
}

void MembershipService::beat(const Member& peer)
{
    ManifestService& manifest = m_node.kernel.find<ManifestService>(serviceNames::manifest);
    const Heartbeat heartbeat { { m_claims->epoch(), m_claims->incarnation(), peer.incarnation }, manifest.revision() };
    HttpRequest request;
    request.method = "POST";
    request.path = peerPaths::heartbeat;
    request.body = toText(heartbeat);
    const Milliseconds patience = std::max(connectTimeout, m_node.settings.heartbeatInterval);
    const HttpResult result = m_node.peers.call(peer.peerAddress, request, { connectTimeout, patience });
    m_node.metrics.countMessage("heartbeat", !result.ok(), static_cast<double>(request.body.size() + result.response.body.size()));
    const std::optional<HeartbeatReply> reply = result.ok() ? parseHeartbeatReply(result.response.body) : std::nullopt;
    if (!reply) {
        ++m_missed[peer.id];
        return;
    }
    if (reply->epoch != heartbeat.header.epoch)
        m_claims->compareViews(peer.peerAddress, reply->epoch);
    manifest.learnFrom(peer.peerAddress, reply->manifestRevision);
    // Another process answers at the address: the member itself is gone.
    const bool replaced = reply->incarnation != peer.incarnation && reply->epoch <= heartbeat.header.epoch;
    m_missed[peer.id] = replaced ? m_missed[peer.id] + 1 : 0;
}

HeartbeatReply MembershipService::answerHeartbeat(const Heartbeat& heartbeat)
{
    const View view = m_claims->view();
    const Member* sender = findMember(view, heartbeat.header.sender);
    ManifestService& manifest = m_node.kernel.find<ManifestService>(serviceNames::manifest);
    if (sender && heartbeat.manifestRevision > manifest.revision())
        manifest.learnFrom(sender->peerAddress, heartbeat.manifestRevision);
    return { view.epoch, m_claims->incarnation(), manifest.revision() };
}

void MembershipService::removeDead(const Member& peer)
{
    if (SteadyClock::now() < m_nextStoreTry)
        return;
    const bool removed = changeView([&peer](const View& view) { return withRemoved(view, peer.incarnation); });
    if (removed)
        logEvent(events::peerDead, "peer=" + peer.id + " incarnation=" + std::to_string(peer.incarnation.value));
    m_nextStoreTry = SteadyClock::now() + storePause;
}

bool MembershipService::changeView(const std::function<View(const View&)>& change)
{
    Store& store = m_node.kernel.find<PlatformService>(serviceNames::platform).store();
    for (int attempt = 0; attempt < swapAttempts; ++attempt) {
        const absl::StatusOr<StoreEntry> entry = store.read(viewKey());
        if (!entry.ok())
            return false;
        View base = m_claims->view();
        const std::optional<View> stored = entry->modRevision == 0 ? std::nullopt : parseView(entry->value);
        // A store that was wiped or restored shows less than is known here; the change repairs it.
        if (stored && stored->epoch >= base.epoch)
            base = *stored;
        const View next = change(base);
        if (next.epoch == base.epoch) {
            m_claims->adoptView(base);
            return false;
        }
        const absl::StatusOr<bool> swapped = store.compareAndSwap(viewKey(), entry->modRevision, toText(next));
        if (swapped.ok() && *swapped) {
            m_claims->adoptView(next);
            return true;
        }
        // After a lost reply the next read shows whether the change took effect.
        if (!swapped.ok())
            std::this_thread::sleep_for(Milliseconds(20) * (attempt + 1));
    }
    return false;
}

void MembershipService::tryToJoin()
{
    const TimePoint now = SteadyClock::now();
    if (now < m_nextStoreTry)
        return;
    if (m_everJoined && m_removals == 0) {
        logEvent(events::removedByPeers, "epoch=" + std::to_string(m_claims->epoch().value));
        m_removals = 1;
        m_nextStoreTry = now + firstRejoinPause;
        return;
    }
    learnFromSeeds();
    const Settings& settings = m_node.settings;
    if (m_everJoined && !mayRejoin()) {
        m_nextStoreTry = now + firstRejoinPause;
        return;
    }
    ClaimsService& claims = *m_claims;
    changeView([&settings, &claims](const View& view) {
        // After a lost reply the stored view may hold this process already; adopting it tells.
        claims.adoptView(view);
        if (claims.incarnation().value != 0)
            return view;
        const View next = withJoined(view, settings.id, settings.advertisedPeerAddress, settings.advertisedCallerAddress);
        claims.announceJoin(*findMember(next, settings.id));
        return next;
    });
    if (m_claims->incarnation().value == 0) {
        m_nextStoreTry = SteadyClock::now() + storePause;
        return;
    }
    m_lastJoin = SteadyClock::now();
    if (m_everJoined)
        ++m_removals;
    m_everJoined = true;
    const Milliseconds pause = std::min(longestRejoinPause, firstRejoinPause * (1 << std::min(m_removals, 10)));
    m_nextStoreTry = m_removals > 0 ? m_lastJoin + pause : TimePoint {};
    logEvent(events::joined, "id=" + settings.id + " incarnation=" + std::to_string(m_claims->incarnation().value) + " epoch=" + std::to_string(m_claims->epoch().value));
}

bool MembershipService::mayRejoin()
{
    // A VM that reaches none of the members would only be removed again.
    const View view = m_claims->view();
    if (view.members.empty())
        return true;
    HttpRequest request;
    request.path = peerPaths::view;
    return std::any_of(view.members.begin(), view.members.end(), [&](const Member& member) {
        return m_node.peers.call(member.peerAddress, request, { connectTimeout, viewTimeout }).ok();
    });
}

void MembershipService::learnFromSeeds()
{
    ManifestService& manifest = m_node.kernel.find<ManifestService>(serviceNames::manifest);
    for (const std::string& seed : m_node.settings.seeds) {
        HttpRequest request;
        request.path = peerPaths::view;
        const HttpResult result = m_node.peers.call(seed, request, { connectTimeout, viewTimeout });
        if (!result.ok() || result.response.status != httpStatus::ok)
            continue;
        const std::optional<View> view = parseView(result.response.body);
        const bool sameDataCentre = headerValue(result.response.headers, "X-Egrettrestle-DataCentre") == m_node.settings.dataCentre;
        if (view && sameDataCentre)
            m_claims->adoptView(*view);
        const std::string revision = headerValue(result.response.headers, "X-Egrettrestle-Manifest");
        if (!revision.empty())
            manifest.learnFrom(seed, std::strtoull(revision.c_str(), nullptr, 10));
    }
}

void MembershipService::noteStoredView(const StoreEntry& entry)
{
    const std::optional<View> view = parseView(entry.value);
    if (view)
        m_claims->adoptView(*view);
}

void MembershipService::leave()
{
    const TimePoint deadline = SteadyClock::now() + leavePatience;
    const Incarnation own = m_claims->incarnation();
    const bool left = changeView([own](const View& view) { return withRemoved(view, own); }) || m_claims->incarnation().value == 0;
    if (left)
        m_claims->finishHandovers(deadline);
    else
        m_claims->resign();
}

} // namespace egrettrestle
