#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <egrettrestle/decision/dispatcher.hpp>
#include <egrettrestle/decision/peer_channel.hpp>

namespace egrettrestle::model {

/// What may go wrong in a world, as probabilities and counts.
struct DispatchFaults {
    double lostOrder = 0;
    /// Carried out, but not answered.
    double lostReply = 0;
    /// Not answered, and carried out 2 to 6 s later.
    double lateOrder = 0;
    int kills = 0;
    /// A VM is cut off from the other VMs and the store, not from callers and upstreams.
    int cuts = 0;
    /// An upstream answers nothing for a while, but runs on.
    int silences = 0;
    /// A VM is held off its processor: it hears others, whose waits for its replies end first, and decides late what time
    /// alone decides.
    int strains = 0;
    /// A batch between VMs, or the reply to it, takes up to 0.9 s.
    double slowMessage = 0;
    /// All VMs are killed at about the same moment.
    int powerOffs = 0;
};

/// Rules that can be switched off, to show that a schedule is found that needs them.
struct DispatchRules {
    /// Upstreams obey the highest fencing token that they have seen.
    bool fencing = true;
    /// Messages that were long on their way are not acted on.
    bool messageAge = true;
    /// What ran under a lease is taken for ended only when it has run out.
    bool leaseWait = true;
    /// What an earlier life of an owner may have started is waited for.
    bool orphanWait = true;
};

struct DispatchResult {
    /// Tasks of which two runs were at work at a time, with the moment.
    std::vector<std::string> overlaps;
    /// Jobs that were refused as not run although a task of theirs had started.
    std::vector<std::string> falseRefusals;
    int started = 0;
    int succeeded = 0;
    int refused = 0;
    int gaveUp = 0;
};

/// Dispatchers, upstreams, callers and the store's view in simulated time, with seeded faults. Upstreams follow the
/// platform's rules for leases, fencing tokens, run numbers and ends.
class DispatchSimulation {
public:
    DispatchSimulation(std::uint64_t seed, DispatchFaults faults, DispatchRules rules = {});
    ~DispatchSimulation();

    /// Runs to the end and says what was seen.
    DispatchResult run();

private:
    struct Vm;
    struct Upstream;
    using Action = std::function<void()>;

    struct Scheduled {
        TimePoint at;
        std::uint64_t order;
        Action action;
        bool operator<(const Scheduled& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void after(Milliseconds delay, Action action);
    Milliseconds between(int least, int most);
    bool chance(double probability);

    void startVm(int number);
    void killVm(int number);
    void cutVm(int number);
    void strainVm(int number);
    void publishView(const View& view);
    struct Batch;
    DispatcherLimits limits() const;
    Milliseconds transit();
    void flush(Vm& from, const VmId& to);
    void deliver(const Batch& batch);
    void answer(const Batch& batch, const BatchReply& reply);
    void lookLoop(int vm, std::uint64_t life, const UpstreamId& upstream);
    void followOwned(int vm);
    void sendOrder(int vm, const UpstreamId& upstream, const std::function<OrderReply(Upstream&)>& execute, const std::function<void(const OrderReply&)>& onReply);
    void sendLook(int vm, const PollOrder& order, const std::function<void(bool)>& done);
    OrderReply startAt(Upstream& upstream, const StartOrder& order);
    OrderReply stopAt(Upstream& upstream, const StopOrder& order);
    PollReply lookAt(Upstream& upstream, const PollOrder& order);
    void settle(Upstream& upstream);
    void endRun(Upstream& upstream, std::size_t index, RunOutcome how);
    void submitJob(int number, int vm);
    void onReply(int vm, CallerTicket ticket, const JobResult& answer);
    Upstream& upstream(const UpstreamId& id);
    Vm* alive(int number, std::uint64_t life);

    std::mt19937_64 m_random;
    DispatchFaults m_faults;
    DispatchRules m_rules;
    TimePoint m_now { std::chrono::hours { 1 } };
    std::uint64_t m_order = 0;
    std::priority_queue<Scheduled> m_events;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::vector<std::unique_ptr<Vm>> m_ended;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    View m_view;
    DispatchResult m_verdict;
    std::set<std::string> m_startedJobs;
    std::map<std::string, int> m_attempts;
    std::set<std::string> m_answered;
};

} // namespace egrettrestle::model
