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

/// What an exploration varies.
struct Exploration {
    ClaimRules rules;
    std::size_t vms = 3;
    std::size_t steps = 90;
    /// The store may show old views.
    bool staleReads = true;
    /// VMs may resign.
    bool resignations = true;
    /// Releases before a start.
    bool releases = true;
    /// The longest time between two steps, in milliseconds; the window is 10 s.
    int longestPause = 20;
};

/// What one schedule came to.
struct ScheduleResult {
    int starts = 0;
    /// A refusal "never ran" was due though a start had been counted before the holders were asked.
    bool falseRefusal = false;
};

/// One submission among a few VMs under a random but seeded order of messages, losses, repetitions, crashes, freezes,
/// view changes, hand-overs and resignations. The decisions are those of ClaimLedger; everything around them is here.
class ClaimSimulation {
public:
    ClaimSimulation(const Exploration& exploration, std::uint64_t seed);

    ScheduleResult run();

private:
    enum class ExecutorState {
        Idle,
        Asking,
        Granted,
        Started,
        Released,
    };

    struct PendingClaim {
        ClaimRequest request;
        Epoch epoch;
        RecordRequest record;
        std::size_t asker = 0;
        int askerLife = 0;
        int question = 0;
    };

    struct Vm {
        VmId id;
        bool alive = false;
        bool frozen = false;
        int life = 0;
        std::unique_ptr<ClaimLedger> ledger;
        std::set<Incarnation> incarnations;
        ExecutorState state = ExecutorState::Idle;
        int question = 0;
        TimePoint deadline;
        std::vector<PendingClaim> pending;
        /// A lookup that one holder has answered with `Absent`.
        int lookupQuestion = 0;
        bool lookupHalfDone = false;
        Epoch lookupEpoch;
        int startsAtFirstAnswer = 0;
    };

    enum class MessageKind {
        Claim,
        ClaimAnswer,
        Record,
        RecordAnswer,
        Handover,
        Resignation,
    };

    struct Message {
        MessageKind kind = MessageKind::Claim;
        std::size_t from = 0;
        int fromLife = 0;
        std::size_t to = 0;
        /// Answers come back on the connection of the question, so they die with the process.
        std::optional<int> toLife;
        Epoch epoch;
        Incarnation addressee;
        Incarnation sender;
        int question = 0;
        ClaimRequest request;
        ClaimReply answer;
        /// The starts counted when the answer was given.
        int startsBefore = 0;
        RecordRequest record;
        RecordReply recordAnswer;
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
    void ask(std::size_t index, ClaimRequestKind kind, bool ofMirror = false);
    void startIfGranted(std::size_t index);
    void release(std::size_t index);
    void takeClaim(std::size_t index, const Message& message);
    void takeStep(std::size_t index, const ClaimRequest& request, const ClaimStep& step, Epoch epoch, std::size_t asker, int askerLife, int question);
    void answerAsker(std::size_t index, const PendingClaim& claim, const ClaimReply& answer);
    void takeAnswer(std::size_t index, const Message& message);
    void takeRecordAnswer(std::size_t index, const Message& message);
    void takeLookupAnswer(Vm& vm, const Message& message);
    void refuse(int startsBefore);

    Exploration m_exploration;
    std::mt19937_64 m_random;
    TimePoint m_now;
    TimePoint m_firstSentAt;
    std::optional<Epoch> m_firstSent;
    SubmissionKey m_key;
    std::vector<View> m_store;
    std::vector<Vm> m_vms;
    std::vector<Message> m_messages;
    int m_nextQuestion = 1;
    ScheduleResult m_result;
};

/// The number of schedules with two starts or a false refusal among `count`, from `seed` on; and how many had a start.
struct ExplorationResult {
    int schedules = 0;
    int withStart = 0;
    int doubleStarts = 0;
    int falseRefusals = 0;
    std::uint64_t firstBadSeed = 0;
};

ExplorationResult explore(const Exploration& exploration, std::uint64_t firstSeed, int count);

} // namespace egrettrestle::model
