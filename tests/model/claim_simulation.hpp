#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <egrettrestle/decision/claim_ledger.hpp>

namespace egrettrestle::model {

/// Parameters of an exploration.
struct Exploration {
    ClaimRules rules;
    std::size_t vms = 3;
    std::size_t steps = 90;
    /// Whether a VM may read an old view from the store.
    bool staleReads = true;
    /// Whether VMs may resign.
    bool resignations = true;
    /// Whether a VM may release a granted claim before it starts the submission.
    bool releases = true;
    /// Maximum time between two steps, in milliseconds; the claim window is 10 s.
    int maxPauseMs = 20;
};

/// Result of one schedule.
struct ScheduleResult {
    /// How often the submission was started; more than once is an error.
    int starts = 0;
    /// Whether the rules allowed a refusal that claims that the submission never ran, although it had been started before
    /// the replicas were asked.
    bool falseRefusal = false;
};

/// Simulates the claim protocol for one submission among a few VMs. A seeded random schedule delivers, loses and repeats
/// messages, and crashes and freezes VMs, with view changes, handovers and resignations. The decisions are made by
/// ClaimLedger; the simulation stands in for the network, the store and the executors.
class ClaimSimulation {
public:
    ClaimSimulation(const Exploration& exploration, std::uint64_t seed);

    /// Runs the schedule to its end.
    ScheduleResult run();

private:
    /// What a VM does with the submission.
    enum class ExecutorState {
        Idle,
        Asking,
        Granted,
        Started,
        Released,
    };

    /// A request that waits for the backup's reply.
    struct PendingClaim {
        ClaimRequest request;
        Epoch epoch;
        RecordRequest record;
        std::size_t requester = 0;
        int requesterProcess = 0;
        int requestId = 0;
    };

    struct Vm {
        VmId id;
        bool alive = false;
        bool frozen = false;
        int processNumber = 0;
        std::unique_ptr<ClaimLedger> ledger;
        std::set<Incarnation> incarnations;
        ExecutorState state = ExecutorState::Idle;
        int requestId = 0;
        TimePoint deadline;
        std::vector<PendingClaim> pending;
        /// The lookup in progress, and whether one replica has already replied that it has no claim.
        int lookupRequestId = 0;
        bool firstReplicaReplied = false;
        Epoch lookupEpoch;
        int startsAtFirstReply = 0;
    };

    enum class MessageKind {
        Claim,
        ClaimReply,
        Record,
        RecordReply,
        Handover,
        Resignation,
    };

    struct Message {
        MessageKind kind = MessageKind::Claim;
        std::size_t from = 0;
        int fromProcess = 0;
        std::size_t to = 0;
        /// Set for replies: they use the connection of the request and are lost if the process that sent it has ended.
        std::optional<int> toProcess;
        Epoch epoch;
        Incarnation addressee;
        Incarnation sender;
        int requestId = 0;
        ClaimRequest request;
        ClaimReply claimReply;
        /// The number of starts when the reply was made.
        int startsBefore = 0;
        RecordRequest record;
        RecordReply recordReply;
        Handover handover;
        std::vector<Claim> claims;
    };

    bool chance(int percent);
    std::size_t pick(std::size_t count);
    std::optional<std::size_t> pickVm(bool member);
    std::optional<std::size_t> indexOf(const VmId& id) const;

    void step();
    void deliver();
    void receive(const Message& message);
    void boot(std::size_t index);
    void crash(Vm& vm);
    void adopt(std::size_t index, const View& view);
    void join(std::size_t index);
    void removeMember(std::size_t index);
    void resign(std::size_t index);
    void submit(std::size_t index);
    void sendRequest(std::size_t index, ClaimRequestKind kind, bool toBackup = false);
    void startIfGranted(std::size_t index);
    void release(std::size_t index);
    void receiveClaim(std::size_t index, const Message& message);
    void processClaimStep(std::size_t index, const ClaimRequest& request, const ClaimStep& step, Epoch epoch, std::size_t requester, int requesterProcess, int requestId);
    void replyToRequester(std::size_t index, const PendingClaim& claim, const ClaimReply& claimReply);
    void receiveClaimReply(std::size_t index, const Message& message);
    void receiveRecordReply(std::size_t index, const Message& message);
    void receiveLookupReply(Vm& vm, const Message& message);
    void checkRefusal(int startsBefore);

    Exploration m_exploration;
    std::mt19937_64 m_random;
    TimePoint m_now;
    TimePoint m_firstSentAt;
    std::optional<Epoch> m_firstSent;
    SubmissionKey m_key;
    std::vector<View> m_store;
    std::vector<Vm> m_vms;
    std::vector<Message> m_messages;
    int m_nextRequestId = 1;
    ScheduleResult m_result;
};

/// Counts of the schedules of an exploration.
struct ExplorationResult {
    int schedules = 0;
    /// Schedules in which the submission was started.
    int withStart = 0;
    /// Schedules in which it was started more than once.
    int doubleStarts = 0;
    /// Schedules with a false refusal.
    int falseRefusals = 0;
    /// Seed of the first schedule with either error; 0 if there is none.
    std::uint64_t firstBadSeed = 0;
};

/// Runs `count` schedules with consecutive seeds from `firstSeed` on.
ExplorationResult explore(const Exploration& exploration, std::uint64_t firstSeed, int count);

} // namespace egrettrestle::model
