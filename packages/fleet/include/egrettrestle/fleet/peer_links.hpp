#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include <egrettrestle/decision/peer_channel.hpp>
#include <egrettrestle/decision/view.hpp>
#include <egrettrestle/fleet/fleet_context.hpp>
#include <egrettrestle/http/client.hpp>
#include <egrettrestle/http/server.hpp>
#include <egrettrestle/wire/dispatch_messages.hpp>

namespace egrettrestle {

/// A member that has not replied for some time.
struct UnresponsivePeer {
    VmId id;
    /// Time since its last reply.
    Milliseconds silence { 0 };
    /// Its port refuses connections: the process has ended, or a device on the network path rejects them.
    bool refusesConnections = false;
};

/// Exchanges messages with the other VMs of the view. Messages to a peer are sent in batches, one at a time; a batch
/// without a reply is sent again, and the peer acts on each message once. Safe for use by several threads.
class PeerLinks : public KernelService {
public:
    explicit PeerLinks(FleetContext& context);
    ~PeerLinks() override;

    std::string name() const override { return fleetServices::peerLinks; }
    /// Starts to listen for batches. Unavailable if the peer address cannot be bound.
    absl::Status start() override;
    void prepareStop() override;
    void stop() override;

    /// Connects to the members of a view. Links to former members are kept for some seconds after their removal or last
    /// reply.
    void setView(const View& view);
    /// Queues a message for a VM; it is discarded if there is no link to that VM.
    void send(const VmId& vm, PeerMessage message);
    /// Discards the messages that are queued for a VM.
    void dropMessages(const VmId& vm);

    /// The members whose last reply is older than a short threshold.
    std::vector<UnresponsivePeer> unresponsivePeers() const;

    /// The text of the configuration that the peer at an address has in force; empty if it has none or does not reply.
    std::string fetchConfiguration(const std::string& address);

private:
    struct Peer;

    HttpResponse handleRequest(const HttpRequest& request);
    DispatchReply handleBatch(DispatchBatch batch);
    void sendLoop(const std::shared_ptr<Peer>& peer);
    DispatchBatch makeBatch(Peer& peer);
    void onReply(Peer& peer, const DispatchReply& reply, const DispatchBatch& batch);
    void logPeerRestart(const VmId& vm, std::uint64_t processIncarnation, const char* seen);
    PeerChannel& channel(const VmId& vm);
    void startSendThread(const std::shared_ptr<Peer>& peer);
    Milliseconds keepAliveInterval(const Peer& peer) const;

    FleetContext& m_context;
    HttpClient m_client;
    std::unique_ptr<HttpServer> m_server;
    mutable std::mutex m_mutex;
    std::condition_variable m_threadEnded;
    std::map<VmId, std::shared_ptr<Peer>> m_peers;
    std::map<VmId, PeerChannel> m_channels;
    Epoch m_epoch;
    int m_threads = 0;
    std::atomic<bool> m_stopping { false };
};

} // namespace egrettrestle
