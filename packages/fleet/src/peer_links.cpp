#include <egrettrestle/fleet/peer_links.hpp>

#include <algorithm>

#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/store_watcher.hpp>

namespace egrettrestle {

namespace {

    constexpr const char* dispatchPath = "/v1/dispatch";
    constexpr const char* configurationPath = "/v1/configuration";
    // Enough for a VM that is not scheduled for 100 ms and for one lost packet.
    constexpr HttpTimeouts peerTimeouts { Milliseconds { 200 }, Milliseconds { 350 } };
    // Shortest interval of the batches that report free capacity and show that this VM is alive.
    constexpr Milliseconds minKeepAliveInterval { 100 };
    // The interval grows with the number of peers, so that the capacity reports of a VM cost about the same. Between VMs
    // that run tasks for each other, three batches fit into the silence after which a VM's runs are stopped; elsewhere one
    // does.
    constexpr int peersPerKeepAliveStep = 5;
    constexpr Milliseconds maxKeepAliveInterval { 400 };
    constexpr Milliseconds maxSharingKeepAliveInterval { 190 };
    constexpr Milliseconds retryInterval { 40 };
    // Links to former members are kept for this long after their last reply.
    constexpr Milliseconds formerMemberTimeout { 3'000 };
    // Messages that need no immediate action are held back this long to be batched with others: about the run time of a
    // short task.
    constexpr Milliseconds maxMessageDelay { 50 };
    constexpr int maxPeerConnections = 200;
    // The shutdown of a VM can take this long. Connections carry batches more often, so that the poll costs nothing.
    constexpr Milliseconds stopPollInterval { 250 };

}

/// The link to one VM.
struct PeerLinks::Peer {
    VmId id;
    std::string address;
    bool member = true;
    PeerChannel* channel = nullptr;
    std::condition_variable wake;
    /// A queued message must be sent without delay.
    bool urgent = false;
    /// One of the two VMs ran tasks for the other when the last batch was made.
    bool sharesTasks = false;
    TimePoint lastSent;
    TimePoint lastReplyAt;
    TimePoint removedAt;
    int refusedConnections = 0;
};

PeerLinks::PeerLinks(FleetContext& context)
    : m_context(context)
{
}

PeerLinks::~PeerLinks()
{
    stop();
}

absl::Status PeerLinks::start()
{
    HttpServerLimits limits;
    limits.maxConnections = maxPeerConnections;
    limits.stopPollInterval = stopPollInterval;
    m_server = std::make_unique<HttpServer>(m_context.settings.peerAddress, limits, [this](const HttpRequest& request) { return handleRequest(request); });
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
        m_threadEnded.wait(lock, [this] { return m_threads == 0; });
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
            entry.second->removedAt = bootTimeNow();
        entry.second->member = member != nullptr;
    }
    for (const Member& member : view.members) {
        if (member.id == m_context.settings.id)
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
        peer->lastReplyAt = bootTimeNow();
        startSendThread(peer);
    }
}

/// Called with m_mutex held.
void PeerLinks::startSendThread(const std::shared_ptr<Peer>& peer)
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
        m_threadEnded.notify_all();
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

/// Called with m_mutex held. A channel outlives its link: the message numbers continue if the VM becomes a member again.
PeerChannel& PeerLinks::channel(const VmId& vm)
{
    return m_channels.try_emplace(vm, m_context.processIncarnation, ChannelLimits { DispatcherLimits {}.maxMessageAge }).first->second;
}

/// Called with m_mutex held.
Milliseconds PeerLinks::keepAliveInterval(const Peer& peer) const
{
    const int peers = static_cast<int>(m_peers.size());
    const Milliseconds longest = peer.sharesTasks ? maxSharingKeepAliveInterval : maxKeepAliveInterval;
    return std::min(longest, minKeepAliveInterval * std::max(1, peers / peersPerKeepAliveStep));
}

DispatchBatch PeerLinks::makeBatch(Peer& peer)
{
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    DispatchBatch batch;
    batch.sender = m_context.settings.id;
    batch.address = m_context.settings.peerAddress;
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
            const bool former = !peer->member && now - std::max(peer->removedAt, peer->lastReplyAt) > formerMemberTimeout;
            if (former)
                return;
            if (repeat) {
                peer->wake.wait_for(lock, retryInterval, [this] { return m_stopping.load(); });
            } else {
                const Milliseconds sinceSent = toMilliseconds(now - peer->lastSent);
                const Milliseconds interval = peer->channel->isEmpty() ? keepAliveInterval(*peer) : maxMessageDelay;
                peer->wake.wait_for(lock, std::max(Milliseconds { 0 }, interval - sinceSent), [&] { return m_stopping || peer->urgent; });
            }
            address = peer->address;
        }
        const DispatchBatch batch = makeBatch(*peer);
        HttpRequest request;
        request.method = "POST";
        request.path = dispatchPath;
        request.body = toText(batch, bootTimeNow());
        const HttpResult result = m_client.call(address, request, peerTimeouts);
        const std::optional<DispatchReply> reply = result.ok() && result.response.status == httpStatus::ok ? parseDispatchReply(result.response.body) : std::nullopt;
        repeat = !reply;
        if (reply) {
            onReply(*peer, *reply, batch);
            continue;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        peer->refusedConnections = result.failure == HttpFailure::ConnectFailed ? peer->refusedConnections + 1 : 0;
    }
}

void PeerLinks::onReply(Peer& peer, const DispatchReply& reply, const DispatchBatch& batch)
{
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    PeerChannel::ReplyResult replyResult;
    // Under one lock, so that no message meant for the previous incarnation is sent to the restarted process.
    dispatch.withDispatcher([&](Dispatcher& dispatcher, TimePoint now) {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            replyResult = peer.channel->onReply(batch.stamp, batch.messages.size(), reply.channel);
            if (!replyResult.accepted)
                return;
            peer.lastReplyAt = now;
            peer.refusedConnections = 0;
            peer.urgent = peer.urgent || (!reply.channel.accepted && !peer.channel->isEmpty());
        }
        if (replyResult.peerRestarted)
            dispatcher.onPeerRestarted(peer.id, now);
        dispatcher.onPeerReply(peer.id, reply.channel.accepted, now);
    });
    if (replyResult.peerRestarted)
        logPeerRestart(peer.id, reply.channel.processIncarnation, "reply");
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    if (reply.configurationVersion > (configuration ? configuration->version : 0)) {
        const std::string text = fetchConfiguration(peer.address);
        if (!text.empty())
            m_context.kernel.find<StoreWatcher>(fleetServices::storeWatcher).applyConfiguration(text, "peer");
    }
}

void PeerLinks::logPeerRestart(const VmId& vm, std::uint64_t processIncarnation, const char* seen)
{
    m_context.log.write(events::vmRestarted, { { "peer", vm }, { "life", static_cast<std::int64_t>(processIncarnation) }, { "seen", seen } });
}

std::string PeerLinks::fetchConfiguration(const std::string& address)
{
    HttpRequest request;
    request.path = configurationPath;
    const HttpResult result = m_client.call(address, request, peerTimeouts);
    return result.ok() && result.response.status == httpStatus::ok ? result.response.body : std::string();
}

HttpResponse PeerLinks::handleRequest(const HttpRequest& request)
{
    HttpResponse response;
    if (request.method == "GET" && request.path == configurationPath) {
        response.body = m_context.kernel.find<DispatchService>(fleetServices::dispatch).configurationText();
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
    response.body = toText(handleBatch(std::move(*batch)));
    return response;
}

DispatchReply PeerLinks::handleBatch(DispatchBatch batch)
{
    DispatchService& dispatch = m_context.kernel.find<DispatchService>(fleetServices::dispatch);
    DispatchReply reply;
    reply.channel.processIncarnation = m_context.processIncarnation;
    reply.channel.timestamp = PeerChannel::timestampAt(bootTimeNow());
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    reply.configurationVersion = configuration ? configuration->version : 0;
    PeerChannel::BatchResult batchResult;
    // The age check and the processing happen under one lock: the process may have been suspended since the batch arrived.
    dispatch.withDispatcher([&](Dispatcher& dispatcher, TimePoint now) {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            reply.epoch = m_epoch;
            batchResult = channel(batch.sender).onBatch(batch.stamp, batch.messages.size(), now);
        }
        if (batchResult.peerRestarted)
            dispatcher.onPeerRestarted(batch.sender, now);
        if (!batchResult.accepted)
            return;
        batch.messages.erase(batch.messages.begin(), batch.messages.begin() + static_cast<std::ptrdiff_t>(batchResult.duplicates));
        dispatcher.onPeerMessages(batch.sender, batch.messages, batch.capacity, now);
    });
    reply.channel.accepted = batchResult.accepted;
    if (batchResult.peerRestarted)
        logPeerRestart(batch.sender, batch.stamp.processIncarnation, "batch");
    if (!batchResult.accepted && batch.stamp.receiverProcessIncarnation == m_context.processIncarnation)
        m_context.log.write(events::staleBatch, { { "peer", batch.sender }, { "messages", static_cast<std::int64_t>(batch.messages.size()) } });
    return reply;
}

std::vector<UnresponsivePeer> PeerLinks::unresponsivePeers() const
{
    // VMs that replied more recently count as responsive.
    constexpr Milliseconds responsiveThreshold { 150 };
    std::vector<UnresponsivePeer> unresponsive;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& entry : m_peers) {
        const Milliseconds silence = toMilliseconds(bootTimeNow() - entry.second->lastReplyAt);
        if (entry.second->member && silence > responsiveThreshold)
            unresponsive.push_back({ entry.first, silence, entry.second->refusedConnections > 1 });
    }
    return unresponsive;
}

} // namespace egrettrestle
