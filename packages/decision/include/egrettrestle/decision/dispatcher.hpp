#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include <egrettrestle/decision/job_executor.hpp>
#include <egrettrestle/decision/ownership.hpp>
#include <egrettrestle/decision/upstream_owner.hpp>

namespace egrettrestle {

/// Bounds of a dispatcher's decisions.
struct DispatcherLimits {
    OwnerLimits owner;
    ExecutorLimits executor;
    /// An upstream that discovery no longer lists is used on for this long: entries that lapsed while the store was away
    /// come back about two seconds after its return.
    Milliseconds discoveryGracePeriod { 2'500 };
    /// Messages that were on their way for longer, by the receiver's own clock, are not acted on.
    Milliseconds maxMessageAge { 600 };
    /// How long a VM that has just learned of a view waits for the others before it takes jobs without knowing their room.
    Milliseconds readinessTimeout { 800 };
    /// For so long after its start a VM takes jobs that the room it knows cannot serve in time, until it is settled and
    /// every member's room is complete: it knows the least of all then, and everything else that it hears adds room.
    Milliseconds maxWarmUp { 1'500 };
    /// A VM that has not answered for this long gets no new work.
    Milliseconds peerTimeout { 350 };
};

/// How long after an owner's last reply nothing that it ran for this VM can be at work: it goes on taking this VM's
/// messages for `oldestMessage` after that reply, grants leases for the silence after that, and the last one runs out.
Milliseconds ownerLossTimeout(const DispatcherLimits& limits);

/// Carries out what a dispatcher decides. Calls come from within calls of the dispatcher and must not call it back.
class DispatcherPort {
public:
    virtual ~DispatcherPort() = default;

    virtual void start(const StartOrder& order) = 0;
    virtual void stop(const StopOrder& order) = 0;
    virtual void pollNow(const UpstreamId& upstream) = 0;
    virtual void send(const VmId& vm, PeerMessage message) = 0;
    virtual void reply(CallerTicket ticket, const JobResult& reply) = 0;
    virtual void recordEvent(const OwnerEvent& note) = 0;
    virtual void note(const JobEvent& note) = 0;
    /// The upstreams that this VM owns have changed.
    virtual void onOwnedUpstreamsChanged() = 0;
    /// A VM is silent for so long that its runs are started elsewhere; messages that wait for it must not reach it.
    virtual void onPeerLost(const VmId& vm) = 0;
};

/// All decisions of one VM: executor of the jobs that callers bring here, owner of its share of the upstreams. Not safe
/// for use by several threads.
class Dispatcher : private OwnerPort, private ExecutorPort {
public:
    Dispatcher(DispatcherPort& port, VmId self, DispatcherLimits limits);

    /// @name beliefs
    /// @{
    void setView(const View& view, TimePoint now);
    void setUpstream(const UpstreamInfo& upstream, TimePoint now);
    /// Discovery no longer lists an upstream.
    void onUpstreamUnlisted(const UpstreamId& upstream, TimePoint now);
    /// @}
    /// @name callers
    /// @{
    void submit(CallerTicket ticket, const DispatchJob& request, const Route& route, TimePoint now);
    void onCallerDisconnected(CallerTicket ticket, TimePoint now);
    bool cancel(const std::string& job, TimePoint now);
    /// Gives up or refuses every job: this VM ends.
    void endJobs(TimePoint now);
    /// Answers every caller that still waits after that.
    void abandonJobs(TimePoint now) { m_executor.abandonAll(now); }
    /// @}
    /// @name peers
    /// @{
    void onPeerMessages(const VmId& vm, const std::vector<PeerMessage>& messages, const CapacityReport& room, TimePoint now);
    /// A batch to a VM was answered, and its messages taken or not. Also a reply to messages that came too late carries a
    /// mark under which later ones are taken, so the wait until the VM counts as lost begins anew.
    void onPeerReply(const VmId& vm, bool taken, TimePoint now);
    /// Another life of a VM speaks: everything before is gone.
    void onPeerRestarted(const VmId& vm, TimePoint now);
    /// Whether tasks of this VM are at the other one, or the other way round.
    bool sharesTasks(const VmId& vm) const { return m_owner.hasRunsOf(vm) || m_executor.hasTasksAt(vm); }
    /// How many run requests of a VM have arrived.
    std::uint64_t requestsReceived(const VmId& vm) const;
    /// @}
    /// @name upstreams
    /// @{
    std::optional<PollOrder> nextPoll(const UpstreamId& upstream, TimePoint now);
    void onPollReply(const PollOrder& order, const PollReply& reply, TimePoint sentAt, TimePoint now);
    void onStartReply(const StartOrder& order, const OrderReply& reply, TimePoint now);
    void onStopReply(const StopOrder& order, const OrderReply& reply, TimePoint now);
    /// @}

    void tick(TimePoint now);

    /// Whether this VM knows enough to take jobs: its own upstreams have been looked at and every member of the view has
    /// told its room, or the time for that is over.
    bool isReady(TimePoint now) const;

    /// What this VM can take now. The report's `requestsSeen` is left to the caller.
    CapacityReport capacityReport(TimePoint now) const;
    std::vector<UpstreamInfo> ownedUpstreams() const;
    const UpstreamInfo* upstream(const UpstreamId& id) const;
    /// How long a job's longest chain of steps is expected to run.
    Milliseconds expectedRunTime(const DispatchJob& job, const Route& route) const { return m_executor.expectedRunTime(job, route); }
    std::size_t jobs() const { return m_executor.jobs(); }
    std::size_t notStarted(const std::string& route) const { return m_executor.notStarted(route); }
    std::size_t queued() const { return m_owner.queued(); }
    std::size_t running() const { return m_owner.running(); }
    std::size_t knownUpstreams() const { return m_upstreams.size(); }

private:
    struct PeerState {
        TimePoint heardAt {};
        TimePoint answeredAt {};
        /// When messages were last taken.
        TimePoint takenAt {};
        std::uint64_t requestsSeen = 0;
        bool dropped = false;
        bool lost = false;
    };

    void stop(const StopOrder& order) override { m_port.stop(order); }
    void start(const StartOrder& order) override { m_port.start(order); }
    void pollNow(const UpstreamId& upstream) override { m_port.pollNow(upstream); }
    void notify(const VmId& executor, PeerMessage message) override { send(executor, std::move(message)); }
    void recordEvent(const OwnerEvent& note) override { m_port.recordEvent(note); }
    void recordEvent(const JobEvent& note) override { m_port.note(note); }
    void reply(CallerTicket ticket, const JobResult& reply) override { m_port.reply(ticket, reply); }
    void send(const VmId& vm, PeerMessage message) override;

    std::optional<VmId> assignOwner(const UpstreamInfo& upstream, TimePoint now);
    void assignOwners(const std::set<VmId>& settled, TimePoint now);
    void handle(const VmId& from, const PeerMessage& message, TimePoint now);
    void deliverLocal(TimePoint now);
    void refreshOwnRoom(TimePoint now);
    bool isWarmingUp(TimePoint now);
    bool isRoomComplete() const;
    void checkPeers(TimePoint now);
    void checkMissing(TimePoint now);

    DispatcherPort& m_port;
    VmId m_self;
    DispatcherLimits m_limits;
    CapacityTable m_rooms;
    UpstreamOwner m_owner;
    JobExecutor m_executor;
    View m_view;
    /// When this VM first decided anything.
    std::optional<TimePoint> m_begunAt;
    /// When the first view with this VM in it was adopted.
    std::optional<TimePoint> m_memberSince;
    std::map<UpstreamId, UpstreamInfo> m_upstreams;
    /// Since when discovery has not listed an upstream that is still known.
    std::map<UpstreamId, TimePoint> m_missing;
    std::map<VmId, PeerState> m_peers;
    std::deque<PeerMessage> m_local;
    std::uint64_t m_ownRequests = 0;
};

} // namespace egrettrestle
