#include <egrettrestle/services/membership_service.hpp>

#include <algorithm>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/services/manifest_service.hpp>
#include <egrettrestle/services/platform_service.hpp>

namespace egrettrestle {

namespace {

    constexpr std::size_t monitoredPeerCount = 2;
    constexpr Milliseconds connectTimeout { 250 };
    constexpr Milliseconds storeRetryInterval { 1'000 };
    constexpr Milliseconds leaveTimeout { 5'000 };
    constexpr Milliseconds viewTimeout { 500 };
    constexpr Milliseconds initialRejoinDelay { 500 };
    constexpr Milliseconds maxRejoinDelay { 30'000 };
    constexpr Seconds stableMembershipPeriod { 60 };
    constexpr int maxSwapAttempts = 8;

}

MembershipService::MembershipService(ServiceContext& context)
    : m_context(context)
{
}

MembershipService::~MembershipService() = default;

std::string MembershipService::viewKey() const
{
    return storeKeys::viewPrefix + m_context.settings.dataCentre;
}

absl::Status MembershipService::start()
{
    m_claims = &m_context.kernel.find<ClaimsService>(serviceNames::claims);
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
        leaveView();
}

void MembershipService::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_changed.wait_for(lock, m_context.settings.heartbeatInterval, [this] { return m_stopping; })) {
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
    if (m_removals > 0 && SteadyClock::now() - m_lastJoin > stableMembershipPeriod)
        m_removals = 0;
    const View view = m_claims->view();
    const std::vector<Member> targets = heartbeatTargets(view, m_context.settings.id, monitoredPeerCount);
    std::map<VmId, int> missed;
    for (const Member& peer : targets)
        missed[peer.id] = m_missedHeartbeats[peer.id];
    m_missedHeartbeats = std::move(missed);
    for (const Member& peer : targets) {
        sendHeartbeat(peer);
        if (m_missedHeartbeats[peer.id] >= m_context.settings.missedHeartbeats)
            removeDeadPeer(peer);
    }
}

void MembershipService::sendHeartbeat(const Member& peer)
{
    ManifestService& manifest = m_context.kernel.find<ManifestService>(serviceNames::manifest);
    const Heartbeat heartbeat { { m_claims->epoch(), m_claims->incarnation(), peer.incarnation }, manifest.revision() };
    HttpRequest request;
    request.method = "POST";
    request.path = peerPaths::heartbeat;
    request.body = toText(heartbeat);
    const Milliseconds timeout = std::max(connectTimeout, m_context.settings.heartbeatInterval);
    const HttpResult result = m_context.peers.call(peer.peerAddress, request, { connectTimeout, timeout });
    m_context.metrics.countMessage("heartbeat", !result.ok(), static_cast<double>(request.body.size() + result.response.body.size()));
    const std::optional<HeartbeatReply> reply = result.ok() ? parseHeartbeatReply(result.response.body) : std::nullopt;
    if (!reply) {
        ++m_missedHeartbeats[peer.id];
        return;
    }
    if (reply->epoch != heartbeat.header.epoch)
        m_claims->synchroniseView(peer.peerAddress, reply->epoch);
    manifest.fetchIfNewer(peer.peerAddress, reply->manifestRevision);
    // Another process answers at this address, so the member itself has ended.
    const bool replaced = reply->incarnation != peer.incarnation && reply->epoch <= heartbeat.header.epoch;
    m_missedHeartbeats[peer.id] = replaced ? m_missedHeartbeats[peer.id] + 1 : 0;
}

HeartbeatReply MembershipService::handleHeartbeat(const Heartbeat& heartbeat)
{
    const View view = m_claims->view();
    const Member* sender = findMember(view, heartbeat.header.sender);
    ManifestService& manifest = m_context.kernel.find<ManifestService>(serviceNames::manifest);
    if (sender && heartbeat.manifestRevision > manifest.revision())
        manifest.fetchIfNewer(sender->peerAddress, heartbeat.manifestRevision);
    return { view.epoch, m_claims->incarnation(), manifest.revision() };
}

void MembershipService::removeDeadPeer(const Member& peer)
{
    if (SteadyClock::now() < m_nextStoreAttempt)
        return;
    const bool removed = changeView([&peer](const View& view) { return withRemoved(view, peer.incarnation); });
    if (removed)
        logEvent(events::peerDead, "peer=" + peer.id + " incarnation=" + std::to_string(peer.incarnation.value));
    m_nextStoreAttempt = SteadyClock::now() + storeRetryInterval;
}

bool MembershipService::changeView(const std::function<View(const View&)>& change)
{
    Store& store = m_context.kernel.find<PlatformService>(serviceNames::platform).store();
    for (int attempt = 0; attempt < maxSwapAttempts; ++attempt) {
        const absl::StatusOr<StoreEntry> entry = store.read(viewKey());
        if (!entry.ok())
            return false;
        View base = m_claims->view();
        const std::optional<View> stored = entry->modRevision == 0 ? std::nullopt : parseView(entry->value);
        // A store that was wiped or restored from a backup has an older view than this VM; the change is then based on
        // this VM's view, which repairs the store.
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
        // If the reply was lost, the next read shows whether the change took effect.
        if (!swapped.ok())
            std::this_thread::sleep_for(Milliseconds(20) * (attempt + 1));
    }
    return false;
}

void MembershipService::tryToJoin()
{
    const TimePoint now = SteadyClock::now();
    if (now < m_nextStoreAttempt)
        return;
    if (m_hasJoined && m_removals == 0) {
        logEvent(events::removedByPeers, "epoch=" + std::to_string(m_claims->epoch().value));
        m_removals = 1;
        m_nextStoreAttempt = now + initialRejoinDelay;
        return;
    }
    querySeeds();
    const Settings& settings = m_context.settings;
    if (m_hasJoined && !mayRejoin()) {
        m_nextStoreAttempt = now + initialRejoinDelay;
        return;
    }
    ClaimsService& claims = *m_claims;
    changeView([&settings, &claims](const View& view) {
        // If the reply to an earlier attempt was lost, the stored view may contain this process already; adopting the
        // view shows it.
        claims.adoptView(view);
        if (claims.incarnation().value != 0)
            return view;
        const View next = withJoined(view, settings.id, settings.advertisedPeerAddress, settings.advertisedCallerAddress);
        claims.registerJoinAttempt(*findMember(next, settings.id));
        return next;
    });
    if (m_claims->incarnation().value == 0) {
        m_nextStoreAttempt = SteadyClock::now() + storeRetryInterval;
        return;
    }
    m_lastJoin = SteadyClock::now();
    if (m_hasJoined)
        ++m_removals;
    m_hasJoined = true;
    const Milliseconds pause = std::min(maxRejoinDelay, initialRejoinDelay * (1 << std::min(m_removals, 10)));
    m_nextStoreAttempt = m_removals > 0 ? m_lastJoin + pause : TimePoint {};
    logEvent(events::joined, "id=" + settings.id + " incarnation=" + std::to_string(m_claims->incarnation().value) + " epoch=" + std::to_string(m_claims->epoch().value));
}

bool MembershipService::mayRejoin()
{
    // A VM that cannot reach any member would be removed again at once.
    const View view = m_claims->view();
    if (view.members.empty())
        return true;
    HttpRequest request;
    request.path = peerPaths::view;
    return std::any_of(view.members.begin(), view.members.end(), [&](const Member& member) {
        return m_context.peers.call(member.peerAddress, request, { connectTimeout, viewTimeout }).ok();
    });
}

void MembershipService::querySeeds()
{
    ManifestService& manifest = m_context.kernel.find<ManifestService>(serviceNames::manifest);
    for (const std::string& seed : m_context.settings.seeds) {
        HttpRequest request;
        request.path = peerPaths::view;
        const HttpResult result = m_context.peers.call(seed, request, { connectTimeout, viewTimeout });
        if (!result.ok() || result.response.status != httpStatus::ok)
            continue;
        const std::optional<View> view = parseView(result.response.body);
        const bool sameDataCentre = headerValue(result.response.headers, "X-Egrettrestle-DataCentre") == m_context.settings.dataCentre;
        if (view && sameDataCentre)
            m_claims->adoptView(*view);
        const std::string revision = headerValue(result.response.headers, "X-Egrettrestle-Manifest");
        if (!revision.empty())
            manifest.fetchIfNewer(seed, std::strtoull(revision.c_str(), nullptr, 10));
    }
}

void MembershipService::handleStoredView(const StoreEntry& entry)
{
    const std::optional<View> view = parseView(entry.value);
    if (view)
        m_claims->adoptView(*view);
}

void MembershipService::leaveView()
{
    const TimePoint deadline = SteadyClock::now() + leaveTimeout;
    const Incarnation own = m_claims->incarnation();
    const bool left = changeView([own](const View& view) { return withRemoved(view, own); }) || m_claims->incarnation().value == 0;
    if (left)
        m_claims->waitForHandovers(deadline);
    else
        m_claims->resign();
}

} // namespace egrettrestle
