#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include <egrettrestle/decision/dispatcher.hpp>
#include <egrettrestle/fleet/fleet_context.hpp>

namespace egrettrestle {

/// A caller's wait for the answer to its job.
class PendingReply {
public:
    void set(const JobResult& reply);
    /// The answer, or nothing if it is not there in time.
    std::optional<JobResult> wait(Milliseconds time);

private:
    std::mutex m_mutex;
    std::condition_variable m_set;
    std::optional<JobResult> m_reply;
};

/// Holds the dispatcher and the configuration in force, and hands decisions to the links. Safe for use by several threads.
class DispatchService : public KernelService, private DispatcherPort {
public:
    explicit DispatchService(FleetContext& node);
    ~DispatchService() override;

    std::string name() const override { return fleetServices::dispatch; }
    absl::Status start() override;
    void stop() override;

    /// Calls a function with the dispatcher and the present time, alone.
    template <typename Function>
    auto withDispatcher(Function function)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return function(m_dispatcher, bootTimeNow());
    }

    /// Hands a job in; the ticket names the wait.
    std::shared_ptr<PendingReply> submit(const DispatchJob& request, const Route& route, CallerTicket& ticket);
    void onCallerDisconnected(CallerTicket ticket);

    /// @name configuration
    /// @{

    /// Puts a configuration in force unless it is older than the one that is; gives whether it is in force now.
    bool setConfiguration(std::shared_ptr<const Configuration> configuration, const std::string& text, const char* source);
    std::shared_ptr<const Configuration> configuration() const;
    /// The text of the configuration in force, for peers that cannot reach the store.
    std::string configurationText() const;

    /// @}

private:
    void start(const StartOrder& order) override;
    void stop(const StopOrder& order) override;
    void pollNow(const UpstreamId& upstream) override;
    void send(const VmId& vm, PeerMessage message) override;
    void reply(CallerTicket ticket, const JobResult& reply) override;
    void recordEvent(const OwnerEvent& note) override;
    void note(const JobEvent& note) override;
    void onOwnedUpstreamsChanged() override;
    void onPeerLost(const VmId& vm) override;
    void run();

    FleetContext& m_node;
    std::mutex m_mutex;
    Dispatcher m_dispatcher;
    std::map<CallerTicket, std::shared_ptr<PendingReply>> m_pending;
    CallerTicket m_lastTicket = 0;
    mutable std::mutex m_configurationMutex;
    std::shared_ptr<const Configuration> m_configuration;
    std::string m_configurationText;
    std::atomic<bool> m_stopping { false };
    std::thread m_ticker;
};

} // namespace egrettrestle
