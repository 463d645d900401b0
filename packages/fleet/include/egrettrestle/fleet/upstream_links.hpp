#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include <egrettrestle/decision/upstream_orders.hpp>
#include <egrettrestle/fleet/fleet_context.hpp>

namespace egrettrestle {

/// Sends orders to the upstreams that this VM owns and polls their status continuously, on threads of its own: no method
/// but stop() waits for an upstream. Replies go to the dispatcher. Safe for use by several threads.
class UpstreamLinks : public KernelService {
public:
    explicit UpstreamLinks(FleetContext& context);
    ~UpstreamLinks() override;

    std::string name() const override { return fleetServices::upstreamLinks; }
    absl::Status start() override { return absl::OkStatus(); }
    void prepareStop() override { setOwned({}); }
    /// Waits until all threads have ended; orders that are queued are still sent.
    void stop() override;

    /// Sets the upstreams to poll; polling of all others stops.
    void setOwned(const std::vector<UpstreamInfo>& owned);

    /// Queue a call for an upstream; it is discarded if this VM does not own the upstream.
    /// @{
    void start(const StartOrder& order);
    void stop(const StopOrder& order);
    /// Polls without waiting for a run to end, ahead of the regular poll.
    void pollNow(const UpstreamId& upstream);
    /// @}

private:
    struct Link;
    using Order = std::function<void(Link&)>;

    void enqueue(const UpstreamId& upstream, Order order);
    void pollLoop(const std::shared_ptr<Link>& link);
    void orderLoop(const std::shared_ptr<Link>& link);
    void startThread(const std::shared_ptr<Link>& link, void (UpstreamLinks::*loop)(const std::shared_ptr<Link>&));
    bool pollOnce(Link& link, bool immediate);

    FleetContext& m_context;
    std::mutex m_mutex;
    std::condition_variable m_threadEnded;
    std::map<UpstreamId, std::shared_ptr<Link>> m_links;
    int m_threads = 0;
};

} // namespace egrettrestle
