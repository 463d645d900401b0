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

/// Sends orders to the upstreams that this VM owns, and looks at each of them all the time. Safe for use by several
/// threads; nothing here waits for an upstream but its own threads.
class UpstreamLinks : public KernelService {
public:
    explicit UpstreamLinks(FleetContext& node);
    ~UpstreamLinks() override;

    std::string name() const override { return fleetServices::upstreamLinks; }
    absl::Status start() override { return absl::OkStatus(); }
    void prepareStop() override { setOwned({}); }
    void stop() override;

    /// Follows the upstreams that are owned now.
    void setOwned(const std::vector<UpstreamInfo>& owned);

    void start(const StartOrder& order);
    void stop(const StopOrder& order);
    void pollNow(const UpstreamId& upstream);

private:
    struct Link;
    using Order = std::function<void(Link&)>;

    void enqueue(const UpstreamId& upstream, Order order);
    void lookLoop(const std::shared_ptr<Link>& link);
    void orderLoop(const std::shared_ptr<Link>& link);
    void spawn(const std::shared_ptr<Link>& link, void (UpstreamLinks::*loop)(const std::shared_ptr<Link>&));
    bool lookOnce(Link& link, bool immediate);

    FleetContext& m_node;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::map<UpstreamId, std::shared_ptr<Link>> m_links;
    int m_threads = 0;
};

} // namespace egrettrestle
