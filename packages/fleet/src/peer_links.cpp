#include <egrettrestle/fleet/peer_links.hpp>

#include <algorithm>

#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/store_feed.hpp>

namespace egrettrestle {

namespace {

    constexpr const char* dispatchPath = "/v1/dispatch";
    constexpr const char* configurationPath = "/v1/configuration";
    // A VM may be held off its processor for a tenth of a second, and a packet may be lost once.
    constexpr HttpCallTimes peerTimes { Milliseconds { 200 }, Milliseconds { 350 } };
    // Room is told and a VM shown to be alive at this interval at least.
    constexpr Milliseconds keepAlive { 100 };
    // With many peers the interval grows, so that telling room costs a VM about the same. Where tasks are shared, three
    // batches still fit into the silence after which a VM's runs are stopped; elsewhere one fits.
    constexpr int peersAtKeepAlive = 5;
    constexpr Milliseconds longestKeepAlive { 400 };
    constexpr Milliseconds longestSharingKeepAlive { 190 };
    constexpr Milliseconds retryPause { 40 };
    // Messages older than this by the receiver's own clock are not acted on.
    constexpr Milliseconds oldestMark = DispatcherLimits {}.oldestMessage;
    // Links to VMs that are no longer members go on for so long after the last word from them.
    constexpr Milliseconds formerMember { 3'000 };
    // What nobody acts on at once can wait this long for other messages: about as long as a short task lasts.
    constexpr Milliseconds patientWait { 50 };
    constexpr int mostConnections = 200;

    std::uint64_t markAt(TimePoint time)
    {
        return static_cast<std::uint64_t>(toMilliseconds(time.time_since_epoch()).count());
    }

    bool isRecent(std::uint64_t mark, TimePoint now)
    {
        return markAt(now) <= mark + static_cast<std::uint64_t>(oldestMark.count());
    }

}

/// The way to one VM.
struct PeerLinks::Peer {
    VmId id;
    std::string address;
    bool member = true;
    std::condition_variable wake;
    std::deque<PeerMessage> outbox;
    /// Whether something in the outbox must not wait.
    bool urgent = false;
    std::uint64_t receiverLife = 0;
    std::uint64_t mark = 0;
    std::uint64_t sequence = 1;
    /// Whether tasks of one VM were at the other when the last batch was made.
    bool sharesTasks = false;
    /// Messages of the batch that is on its way or has to be repeated.
    std::size_t inBatch = 0;
    TimePoint lastSent;
    TimePoint answeredAt;
    TimePoint formerSince;
    int refusals = 0;
};

PeerLinks::PeerLinks(FleetNode& node)
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
    limits.stopPoll = Milliseconds { 500 };
    m_server = std::make_unique<HttpServer>(m_node.settings.peerAddress, limits, [this](const HttpRequest& request) { return receive(request); });
    return m_server->start();
}

void PeerLinks::stop()
{
    m_stopping = true;
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        for (const auto& entry : m_peers)
            entry.second->wake.notify_all();
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
            entry.second->formerSince = bootNow();
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
        peer->address = member.peerAddress;
        peer->answeredAt = bootNow();
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
        if (found != m_peers.end() && found->second == peer)
            m_peers.erase(found);
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
    const bool urgent = !message.mayWait;
    found->second->outbox.push_back(std::move(message));
    found->second->urgent = found->second->urgent || urgent;
    if (urgent)
        found->second->wake.notify_one();
}

void PeerLinks::dropMessages(const VmId& vm)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_peers.find(vm);
    if (found == m_peers.end())
        return;
    found->second->outbox.clear();
    found->second->inBatch = 0;
    ++found->second->sequence;
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
    batch.from = m_node.settings.id;
    batch.life = m_node.life;
    batch.address = m_node.settings.peerAddress;
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    batch.configurationVersion = configuration ? configuration->version : 0;
    bool sharesTasks = false;
    dispatch.with([&](Dispatcher& dispatcher, TimePoint now) {
        sharesTasks = dispatcher.sharesTasks(peer.id);
        batch.room = dispatcher.room(now);
        batch.room.requestsSeen = dispatcher.requestsSeen(peer.id);
    });
    const std::lock_guard<std::mutex> lock(m_mutex);
    batch.epoch = m_epoch;
    batch.receiverLife = peer.receiverLife;
    batch.mark = peer.mark;
    batch.sequence = peer.sequence;
    peer.inBatch = peer.outbox.size();
    batch.messages.assign(peer.outbox.begin(), peer.outbox.end());
    peer.urgent = false;
    peer.lastSent = bootNow();
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
            const TimePoint now = bootNow();
            const bool former = !peer->member && now - std::max(peer->formerSince, peer->answeredAt) > formerMember;
            if (former)
                return;
            if (repeat) {
                peer->wake.wait_for(lock, retryPause, [this] { return m_stopping.load(); });
            } else {
                const Milliseconds sinceSent = toMilliseconds(now - peer->lastSent);
                const Milliseconds interval = peer->outbox.empty() ? keepAliveInterval(*peer) : patientWait;
                peer->wake.wait_for(lock, std::max(Milliseconds { 0 }, interval - sinceSent), [&] { return m_stopping || peer->urgent; });
            }
            address = peer->address;
        }
        const DispatchBatch batch = makeBatch(*peer);
        HttpRequest request;
        request.method = "POST";
        request.path = dispatchPath;
        request.body = toText(batch, bootNow());
        const HttpResult result = m_client.call(address, request, peerTimes);
        const std::optional<DispatchReply> reply = result.ok() && result.response.status == httpStatus::ok ? parseDispatchReply(result.response.body) : std::nullopt;
        repeat = !reply;
        if (reply) {
            onReply(*peer, *reply, batch.messages.size());
            continue;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        peer->refusals = result.failure == HttpFailure::ConnectFailed ? peer->refusals + 1 : 0;
    }
}

void PeerLinks::onReply(Peer& peer, const DispatchReply& reply, std::size_t sent)
{
    DispatchService& dispatch = m_node.kernel.find<DispatchService>(fleetServices::dispatch);
    bool reborn = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        reborn = noteLife(peer.id, reply.life);
        peer.receiverLife = reply.life;
        peer.mark = reply.mark;
        peer.answeredAt = bootNow();
        peer.refusals = 0;
        if (reply.taken && !reborn) {
            const std::size_t done = std::min({ sent, peer.inBatch, peer.outbox.size() });
            peer.outbox.erase(peer.outbox.begin(), peer.outbox.begin() + static_cast<std::ptrdiff_t>(done));
            peer.inBatch = 0;
            ++peer.sequence;
        } else {
            peer.urgent = !peer.outbox.empty();
        }
    }
    if (reborn) {
        m_node.log.write(events::vmReborn, { { "peer", peer.id }, { "life", static_cast<std::int64_t>(reply.life) }, { "seen", "reply" } });
        dispatch.with([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onPeerReborn(peer.id, now); });
    }
    if (reply.taken)
        dispatch.with([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onPeerAnswered(peer.id, now); });
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    if (reply.configurationVersion > (configuration ? configuration->version : 0)) {
        const std::string text = fetchConfiguration(peer.address);
        if (!text.empty())
            m_node.kernel.find<StoreFeed>(fleetServices::storeFeed).takeConfiguration(text, "peer");
    }
}

/// Called with m_mutex held. True if an earlier life of the VM was known; what waited for that one is dropped.
bool PeerLinks::noteLife(const VmId& vm, std::uint64_t life)
{
    const auto known = m_lives.find(vm);
    const bool reborn = known != m_lives.end() && known->second != life;
    if (known != m_lives.end() && !reborn)
        return false;
    m_lives[vm] = life;
    m_lastTaken[vm] = 0;
    const auto peer = m_peers.find(vm);
    if (peer == m_peers.end())
        return reborn;
    peer->second->receiverLife = life;
    if (reborn) {
        peer->second->outbox.clear();
        peer->second->inBatch = 0;
    }
    return reborn;
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
    const std::optional<DispatchBatch> batch = parseDispatchBatch(request.body, bootNow());
    if (!batch) {
        response.status = httpStatus::badRequest;
        return response;
    }
    response.body = toText(take(*batch));
    return response;
}

DispatchReply PeerLinks::take(const DispatchBatch& batch)
{
    DispatchService& dispatch = m_node.kernel.find<DispatchService>(fleetServices::dispatch);
    DispatchReply reply;
    reply.life = m_node.life;
    const TimePoint receivedAt = bootNow();
    reply.mark = markAt(receivedAt);
    const std::shared_ptr<const Configuration> configuration = dispatch.configuration();
    reply.configurationVersion = configuration ? configuration->version : 0;
    bool reborn = false;
    bool fresh = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        reply.epoch = m_epoch;
        if (batch.receiverLife != m_node.life || !isRecent(batch.mark, receivedAt))
            return reply;
        const auto known = m_lives.find(batch.from);
        const bool earlierLife = known != m_lives.end() && batch.life < known->second && bootNow() - m_heardAt[batch.from] < oldestMark;
        if (earlierLife)
            return reply;
        reborn = noteLife(batch.from, batch.life);
        fresh = batch.sequence > m_lastTaken[batch.from];
        if (fresh)
            m_lastTaken[batch.from] = batch.sequence;
        m_heardAt[batch.from] = bootNow();
    }
    if (reborn) {
        m_node.log.write(events::vmReborn, { { "peer", batch.from }, { "life", static_cast<std::int64_t>(batch.life) }, { "seen", "batch" } });
        dispatch.with([&](Dispatcher& dispatcher, TimePoint now) { dispatcher.onPeerReborn(batch.from, now); });
    }
    reply.taken = !fresh;
    if (!fresh)
        return reply;
    // Checked once more at the moment at which it is acted on: the process may have stood still meanwhile.
    dispatch.with([&](Dispatcher& dispatcher, TimePoint now) {
        reply.taken = isRecent(batch.mark, now);
        if (reply.taken)
            dispatcher.onPeerMessages(batch.from, batch.messages, batch.room, now);
    });
    if (reply.taken)
        return reply;
    m_node.log.write(events::staleBatch, { { "peer", batch.from }, { "messages", static_cast<std::int64_t>(batch.messages.size()) } });
    // The sender repeats it.
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_lastTaken[batch.from] == batch.sequence)
        --m_lastTaken[batch.from];
    return reply;
}

std::vector<SilentPeer> PeerLinks::silentPeers() const
{
    // Below this a VM counts as present.
    constexpr Milliseconds shortestSilence { 150 };
    std::vector<SilentPeer> silent;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& entry : m_peers) {
        const Milliseconds silence = toMilliseconds(bootNow() - entry.second->answeredAt);
        if (entry.second->member && silence > shortestSilence)
            silent.push_back({ entry.first, silence, entry.second->refusals > 1 });
    }
    return silent;
}

} // namespace egrettrestle
