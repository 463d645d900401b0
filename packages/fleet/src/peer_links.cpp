#include <egrettrestle/fleet/peer_links.hpp>

#include <algorithm>

#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/store_watcher.hpp>

namespace egrettrestle {

namespace {

    constexpr const char* dispatchPath = "/v1/dispatch";
    constexpr const char* configurationPath = "/v1/configuration";
    // A VM may be held off its processor for a tenth of a second, and a packet may be lost once.
    constexpr HttpTimeouts peerTimes { Milliseconds { 200 }, Milliseconds { 350 } };
    // Room is told and a VM shown to be alive at this interval at least.
    constexpr Milliseconds keepAlive { 100 };
    // With many peers the interval grows, so that telling room costs a VM about the same. Where tasks are shared, three
    // batches still fit into the silence after which a VM's runs are stopped; elsewhere one fits.
    constexpr int peersAtKeepAlive = 5;
    constexpr Milliseconds longestKeepAlive { 400 };
    constexpr Milliseconds longestSharingKeepAlive { 190 };
    constexpr Milliseconds retryPause { 40 };
    // Links to VMs that are no longer members go on for so long after the last word from them.
    constexpr Milliseconds formerMember { 3'000 };
    // What nobody acts on at once can wait this long for other messages: about as long as a short task lasts.
    constexpr Milliseconds patientWait { 50 };
    constexpr int mostConnections = 200;
    // Connections carry a batch more often than this, so it costs nothing; the end of a VM waits for it.
    constexpr Milliseconds stopPoll { 250 };

}

/// The way to one VM.
struct PeerLinks::Peer {
    VmId id;
    std::string address;
    bool member = true;
    PeerChannel* channel = nullptr;
    std::condition_variable wake;
    /// Whether a message that waits must not wait longer.
    bool urgent = false;
    /// Whether tasks of one VM were at the other when the last batch was made.
    bool sharesTasks = false;
    TimePoint lastSent;
    TimePoint answeredAt;
    TimePoint formerSince;
    int refusals = 0;
};

PeerLinks::PeerLinks(FleetContext& node)
    : m_node(node)
{
}

PeerLinks::~PeerLinks()
{
    stop();
}

absl::Status PeerLinks::start()
{
    HttpServerLimits limits;
    limits.maxConnections = mostConnections;
    limits.stopPollInterval = stopPoll;
    m_server = std::make_unique<HttpServer>(m_node.settings.peerAddress, limits, [this](const HttpRequest& request) { return receive(request); });
    return m_server->start();
}

void PeerLinks::prepareStop()
{
    m_stopping = true;
    if (m_server)
        m_server->prepareStop();
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& entry : m_peers)
        entry.second->wake.notify_all();
}

void PeerLinks::stop()
{
    prepareStop();
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_ended.wait(lock, [this] { return m_threads == 0; });
    }
    if (m_server)
        m_server->stop();
}

void PeerLinks::setView(const View& view)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_epoch = view.epoch;
    for (auto& entry : m_peers) {
        const Member* member = findMember(view, entry.first);
        if (entry.second->member && !member)
            entry.second->formerSince = bootTimeNow();
        entry.second->member = member != nullptr;
    }
    for (const Member& member : view.members) {
        if (member.id == m_node.settings.id)
            continue;
        std::shared_ptr<Peer>& peer = m_peers[member.id];
        if (peer) {
            peer->address = member.peerAddress;
            continue;
        }
        peer = std::make_shared<Peer>();
        peer->id = member.id;
        peer->channel = &channel(member.id);
        peer->address = member.peerAddress;
        peer->answeredAt = bootTimeNow();
        spawn(peer);
    }
}

/// Called with m_mutex held.
void PeerLinks::spawn(const std::shared_ptr<Peer>& peer)
{
    ++m_threads;
    std::thread([this, peer] {
        sendLoop(peer);
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_peers.find(peer->id);
        if (found != m_peers.end() && found->second == peer) {
            peer->channel->discardPending();
            m_peers.erase(found);
        }
        --m_threads;
        m_ended.notify_all();
    }).detach();
}

void PeerLinks::send(const VmId& vm, PeerMessage message)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_peers.find(vm);
    if (found == m_peers.end())
        return;
    const bool urgent = !message.deferrable;
    found->second->channel->send(std::move(message));
    found->second->urgent = found->second->urgent || urgent;
    if (urgent)
        found->second->wake.notify_one();
}

void PeerLinks::dropMessages(const VmId& vm)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    channel(vm).discardPending();
}

/// Called with m_mutex held. A channel outlives the link: its numbers go on when a VM becomes a member again.
PeerChannel& PeerLinks::channel(const VmId& vm)
{
    return m_channels.try_emplace(vm, m_node.processIncarnation, ChannelLimits { DispatcherLimits {}.maxMessageAge }).first->second;
}

/// Called with m_mutex held.
Milliseconds PeerLinks::keepAliveInterval(const Peer& peer) const
{
    const int peers = static_cast<int>(m_peers.size());
    const Milliseconds longest = peer.sharesTasks ? longestSharingKeepAlive : longestKeepAlive;
    return std::min(longest, keepAlive * std::max(1, peers / peersAtKeepAlive));
}

DispatchBatch PeerLinks::makeBatch(Peer& peer)
{
    DispatchService& dispatch = m_node.kernel.find<DispatchService>(fleetServices::dispatch);
    DispatchBatch batch;
    batch.sender = m_node.settings.id;
    batch.address = m_node.settings.peerAddress;
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    batch.configurationVersion = configuration ? configuration->version : 0;
    bool sharesTasks = false;
    dispatch.withDispatcher([&](Dispatcher& dispatcher, TimePoint now) {
        sharesTasks = dispatcher.sharesTasks(peer.id);
        batch.capacity = dispatcher.capacityReport(now);
        batch.capacity.requestsReceived = dispatcher.requestsReceived(peer.id);
    });
    const std::lock_guard<std::mutex> lock(m_mutex);
    batch.epoch = m_epoch;
    batch.stamp = peer.channel->batchHeader();
    batch.messages = peer.channel->pendingMessages();
    peer.urgent = false;
    peer.lastSent = bootTimeNow();
    peer.sharesTasks = sharesTasks;
    return batch;
}

void PeerLinks::sendLoop(const std::shared_ptr<Peer>& peer)
{
    bool repeat = false;
    while (!m_stopping) {
        std::string address;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            const TimePoint now = bootTimeNow();
            const bool former = !peer->member && now - std::max(peer->formerSince, peer->answeredAt) > formerMember;
            if (former)
                return;
            if (repeat) {
                peer->wake.wait_for(lock, retryPause, [this] { return m_stopping.load(); });
            } else {
                const Milliseconds sinceSent = toMilliseconds(now - peer->lastSent);
                const Milliseconds interval = peer->channel->isEmpty() ? keepAliveInterval(*peer) : patientWait;
                peer->wake.wait_for(lock, std::max(Milliseconds { 0 }, interval - sinceSent), [&] { return m_stopping || peer->urgent; });
            }
            address = peer->address;
        }
        const DispatchBatch batch = makeBatch(*peer);
        HttpRequest request;
        request.method = "POST";
        request.path = dispatchPath;
        request.body = toText(batch, bootTimeNow());
        const HttpResult result = m_client.call(address, request, peerTimes);
        const std::optional<DispatchReply> reply = result.ok() && result.response.status == httpStatus::ok ? parseDispatchReply(result.response.body) : std::nullopt;
        repeat = !reply;
        if (reply) {
            onReply(*peer, *reply, batch);
            continue;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        peer->refusals = result.failure == HttpFailure::ConnectFailed ? peer->refusals + 1 : 0;
    }
}

void PeerLinks::onReply(Peer& peer, const DispatchReply& reply, const DispatchBatch& batch)
{
    DispatchService& dispatch = m_node.kernel.find<DispatchService>(fleetServices::dispatch);
    PeerChannel::ReplyResult answered;
    // At one go: nothing may be sent to a new life as if it were the one before.
    dispatch.withDispatcher([&](Dispatcher& dispatcher, TimePoint now) {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            answered = peer.channel->onReply(batch.stamp, batch.messages.size(), reply.channel);
            if (!answered.accepted)
                return;
            peer.answeredAt = now;
            peer.refusals = 0;
            peer.urgent = peer.urgent || (!reply.channel.accepted && !peer.channel->isEmpty());
        }
        if (answered.peerRestarted)
            dispatcher.onPeerRestarted(peer.id, now);
        dispatcher.onPeerReply(peer.id, reply.channel.accepted, now);
    });
    if (answered.peerRestarted)
        noteReborn(peer.id, reply.channel.processIncarnation, "reply");
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    if (reply.configurationVersion > (configuration ? configuration->version : 0)) {
        const std::string text = fetchConfiguration(peer.address);
        if (!text.empty())
            m_node.kernel.find<StoreWatcher>(fleetServices::storeWatcher).applyConfiguration(text, "peer");
    }
}

void PeerLinks::noteReborn(const VmId& vm, std::uint64_t life, const char* seen)
{
    m_node.log.write(events::vmRestarted, { { "peer", vm }, { "life", static_cast<std::int64_t>(life) }, { "seen", seen } });
}

std::string PeerLinks::fetchConfiguration(const std::string& address)
{
    HttpRequest request;
    request.path = configurationPath;
    const HttpResult result = m_client.call(address, request, peerTimes);
    return result.ok() && result.response.status == httpStatus::ok ? result.response.body : std::string();
}

HttpResponse PeerLinks::receive(const HttpRequest& request)
{
    HttpResponse response;
    if (request.method == "GET" && request.path == configurationPath) {
        response.body = m_node.kernel.find<DispatchService>(fleetServices::dispatch).configurationText();
        return response;
    }
    if (request.method != "POST" || request.path != dispatchPath) {
        response.status = httpStatus::notFound;
        return response;
    }
    std::optional<DispatchBatch> batch = parseDispatchBatch(request.body, bootTimeNow());
    if (!batch) {
        response.status = httpStatus::badRequest;
        return response;
    }
    response.body = toText(take(std::move(*batch)));
    return response;
}

DispatchReply PeerLinks::take(DispatchBatch batch)
{
    DispatchService& dispatch = m_node.kernel.find<DispatchService>(fleetServices::dispatch);
    DispatchReply reply;
    reply.channel.processIncarnation = m_node.processIncarnation;
    reply.channel.timestamp = PeerChannel::timestampAt(bootTimeNow());
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    reply.configurationVersion = configuration ? configuration->version : 0;
    PeerChannel::BatchResult taken;
    // At one go: the process may have stood still since the batch came.
    dispatch.withDispatcher([&](Dispatcher& dispatcher, TimePoint now) {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            reply.epoch = m_epoch;
            taken = channel(batch.sender).onBatch(batch.stamp, batch.messages.size(), now);
        }
        if (taken.peerRestarted)
            dispatcher.onPeerRestarted(batch.sender, now);
        if (!taken.accepted)
            return;
        batch.messages.erase(batch.messages.begin(), batch.messages.begin() + static_cast<std::ptrdiff_t>(taken.duplicates));
        dispatcher.onPeerMessages(batch.sender, batch.messages, batch.capacity, now);
    });
    reply.channel.accepted = taken.accepted;
    if (taken.peerRestarted)
        noteReborn(batch.sender, batch.stamp.processIncarnation, "batch");
    if (!taken.accepted && batch.stamp.receiverProcessIncarnation == m_node.processIncarnation)
        m_node.log.write(events::staleBatch, { { "peer", batch.sender }, { "messages", static_cast<std::int64_t>(batch.messages.size()) } });
    return reply;
}

std::vector<SilentPeer> PeerLinks::silentPeers() const
{
    // Below this a VM counts as present.
    constexpr Milliseconds shortestSilence { 150 };
    std::vector<SilentPeer> silent;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& entry : m_peers) {
        const Milliseconds silence = toMilliseconds(bootTimeNow() - entry.second->answeredAt);
        if (entry.second->member && silence > shortestSilence)
            silent.push_back({ entry.first, silence, entry.second->refusals > 1 });
    }
    return silent;
}

} // namespace egrettrestle
