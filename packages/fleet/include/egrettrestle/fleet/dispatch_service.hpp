#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include <egrettrestle/decision/dispatcher.hpp>
#include <egrettrestle/fleet/fleet_context.hpp>

namespace egrettrestle {

/// Owns the dispatcher and the configuration in force. Serialises access to the dispatcher, calls it periodically, and
/// carries out its decisions through UpstreamLinks and PeerLinks. Safe for use by several threads.
class DispatchService : public KernelService, private DispatcherPort {
public:
    explicit DispatchService(FleetContext& context);

    std::string name() const override { return fleetServices::dispatch; }
    absl::Status start() override;
    void stop() override { }

    /// Calls `function` with the dispatcher and the current time of the boot clock under the dispatcher's lock; returns its
    /// result. The function must not call this object's methods that use the dispatcher.
    template <typename Function>
    auto withDispatcher(Function function)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return function(m_dispatcher, beginActivity());
    }

    /// Receives the reply to a caller's job. Called with the dispatcher's lock held, so it must not use this object.
    using ReplyCallback = std::function<void(const JobResult&)>;
    /// Submits a caller's job, whose request had not arrived by `arrivedAfter`. `onReply` is called once, perhaps within this
    /// call. Returns the number for onCallerDisconnected().
    CallerTicket submit(const DispatchJob& request, const Route& route, TimePoint arrivedAfter, ReplyCallback onReply);
    /// A caller has disconnected: its callback is no longer called, and its job is given up if no other caller waits for it.
    void onCallerDisconnected(CallerTicket ticket);

    /// @name configuration
    /// @{

    /// Puts a configuration in force if its version is higher than the current one's, and returns whether it did. `text` is
    /// the text that it was parsed from, `source` where it came from, for the log.
    bool setConfiguration(std::shared_ptr<const Configuration> configuration, const std::string& text, const char* source);
    /// The configuration in force; null before the first one.
    std::shared_ptr<const Configuration> configuration() const;
    /// The text of the configuration in force, for peers that cannot reach the store; empty before the first one.
    std::string configurationText() const;

    /// @}

private:
    void start(const StartOrder& order) override;
    void stop(const StopOrder& order) override;
    void pollNow(const UpstreamId& upstream) override;
    void send(const VmId& vm, PeerMessage message) override;
    void reply(CallerTicket ticket, const JobResult& reply) override;
    void recordEvent(const OwnerEvent& event) override;
    void recordEvent(const JobEvent& event) override;
    void recordEvent(const EvacuationEvent& event) override;
    void onOwnedUpstreamsChanged() override;
    void onPeerLost(const VmId& vm) override;
    void tick();
    void updateEvacuationMetrics();
    /// Logs the processor time since the start by kind of work.
    void reportWork();
    /// To be called with the lock held before each use of the dispatcher. Returns the current time, and has the callers'
    /// connections checked if the process has just resumed after a pause.
    TimePoint beginActivity();
    void checkCallers();

    FleetContext& m_context;
    std::mutex m_mutex;
    Dispatcher m_dispatcher;
    TimePoint m_lastActivity;
    std::map<CallerTicket, ReplyCallback> m_pending;
    CallerTicket m_lastTicket = 0;
    mutable std::mutex m_configurationMutex;
    std::shared_ptr<const Configuration> m_configuration;
    std::string m_configurationText;
};

} // namespace egrettrestle
