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

/// A VM that does not answer.
struct SilentPeer {
    VmId id;
    Milliseconds silence { 0 };
    /// Its port refuses connections: the process is gone, or something on the way refuses for it.
    bool refuses = false;
};

/// Exchanges messages with the other VMs. Each peer gets one request at a time, which carries all that has gathered; it
/// is repeated until it is answered, and acted on once. Safe for use by several threads.
class PeerLinks : public KernelService {
public:
    explicit PeerLinks(FleetContext& node);
    ~PeerLinks() override;

    std::string name() const override { return fleetServices::peerLinks; }
    absl::Status start() override;
    void prepareStop() override;
    void stop() override;

    /// Keeps links to the members of a view; links to former members go on for a while.
    void setView(const View& view);
    void send(const VmId& vm, PeerMessage message);
    /// Drops what waits for a VM.
    void dropMessages(const VmId& vm);

    std::vector<SilentPeer> silentPeers() const;

    /// The text of the configuration that a peer has in force; empty if it cannot be had.
    std::string fetchConfiguration(const std::string& address);

private:
    struct Peer;

    HttpResponse receive(const HttpRequest& request);
    DispatchReply take(DispatchBatch batch);
    void sendLoop(const std::shared_ptr<Peer>& peer);
    DispatchBatch makeBatch(Peer& peer);
    void onReply(Peer& peer, const DispatchReply& reply, const DispatchBatch& batch);
    void noteReborn(const VmId& vm, std::uint64_t life, const char* seen);
    PeerChannel& channel(const VmId& vm);
    void spawn(const std::shared_ptr<Peer>& peer);
    Milliseconds keepAliveInterval(const Peer& peer) const;

    FleetContext& m_node;
    HttpClient m_client;
    std::unique_ptr<HttpServer> m_server;
    mutable std::mutex m_mutex;
    std::condition_variable m_ended;
    std::map<VmId, std::shared_ptr<Peer>> m_peers;
    std::map<VmId, PeerChannel> m_channels;
    Epoch m_epoch;
    int m_threads = 0;
    std::atomic<bool> m_stopping { false };
};

} // namespace egrettrestle
