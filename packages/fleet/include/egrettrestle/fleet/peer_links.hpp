#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>

#include <egrettrestle/decision/peer_channel.hpp>
#include <egrettrestle/decision/view.hpp>
#include <egrettrestle/fleet/discarded_messages.hpp>
#include <egrettrestle/fleet/fleet_context.hpp>
#include <egrettrestle/fleet/server_refusals.hpp>
#include <egrettrestle/http/async_client.hpp>
#include <egrettrestle/http/async_server.hpp>
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

/// Exchanges messages with the other VMs of the view: regularly with those that regularContacts() names and those that share
/// tasks with this VM, and with all others when there are messages. Messages to a peer are sent in batches, one at a time; a batch
/// without a reply is sent again, and the peer acts on each message once. All network I/O is done on the event loop. Safe
/// for use by several threads.
class PeerLinks : public KernelService {
public:
    explicit PeerLinks(FleetContext& context);
    ~PeerLinks() override;

    std::string name() const override { return fleetServices::peerLinks; }
    /// Starts to listen for batches. Unavailable if the peer address cannot be bound.
    absl::Status prepare() override;
    absl::Status start() override;
    void prepareStop() override;
    void stop() override;

    /// Connects to the members of a view. Links to former members are kept for some seconds after their removal or last
    /// reply. A VM that is not a member is connected to as well when a batch of it arrives.
    void setView(const View& view);
    /// Queues a message for a VM; it is discarded, and reported as such, if there is no link to that VM.
    void send(const VmId& vm, PeerMessage message);
    /// See PeerChannel::withdrawPendingRequests().
    void withdrawPendingRequests(const VmId& vm);
    /// Sends the batches that are due by time alone. To be called on the event loop at short, regular intervals.
    void sendDueBatches();

    /// The members whose last reply is older than a short threshold.
    std::vector<UnresponsivePeer> unresponsivePeers() const;

private:
    struct Peer;
    using PeerPointer = std::shared_ptr<Peer>;

    void handleRequest(const std::shared_ptr<HttpExchange>& exchange);
    DispatchReply handleBatch(DispatchBatch batch);
    void sendBatch(const PeerPointer& peer);
    DispatchBatch makeBatch(Peer& peer);
    void onResult(const PeerPointer& peer, const HttpResult& result, const DispatchBatch& batch);
    void onReply(Peer& peer, const DispatchReply& reply, const DispatchBatch& batch);
    /// Fetches the configuration from the peer at an address, unless that is already being done.
    void fetchConfiguration(const std::string& address);
    void logPeerRestart(const VmId& vm, std::uint64_t processIncarnation, const char* seen);
    PeerChannel& channel(const VmId& vm);
    Peer& link(const VmId& vm);
    void linkToSender(const DispatchBatch& batch);
    /// Time from one batch to the next, whose reply has been received or has timed out.
    Milliseconds sendInterval(const Peer& peer) const;
    bool isDue(const Peer& peer, TimePoint now) const;
    void removeFormerMembers(TimePoint now);
    Milliseconds keepAliveInterval(const Peer& peer) const;

    FleetContext& m_context;
    AsyncHttpClient m_client;
    std::unique_ptr<AsyncHttpServer> m_server;
    std::unique_ptr<ServerRefusals> m_refusals;
    mutable std::mutex m_mutex;
    std::condition_variable m_batchEnded;
    std::map<VmId, PeerPointer> m_peers;
    std::map<VmId, PeerChannel> m_channels;
    Epoch m_epoch;
    std::set<VmId> m_contacts;
    DiscardedMessages m_discarded;
    int m_batchesInFlight = 0;
    std::atomic<bool> m_fetchingConfiguration { false };
    std::atomic<bool> m_stopping { false };
};

} // namespace egrettrestle
