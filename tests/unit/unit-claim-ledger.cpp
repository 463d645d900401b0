#include <map>
#include <memory>

#include <catch2/catch.hpp>

#include <egrettrestle/decision/claim_ledger.hpp>

using namespace egrettrestle;

namespace {

const TimePoint start { Seconds(1'000) };
constexpr Seconds window { 60 };

/// A few VMs whose messages are delivered immediately.
class Ledgers {
public:
    ClaimLedger& operator[](const VmId& id) { return *m_ledgers.at(id); }

    /// Starts a process for a VM, with an empty ledger, and adds it to the view.
    void join(const VmId& id)
    {
        m_ledgers[id] = std::make_unique<ClaimLedger>(id, window);
        view = withJoined(view, id, "address", "");
        (*this)[id].registerJoinAttempt(*findMember(view, id));
    }

    void adopt(const VmId& id) { (*this)[id].adoptView(view, now); }

    /// Lets all VMs adopt the view and deliver their handovers.
    void adoptAll()
    {
        for (const VmId& id : memberIds(view))
            adopt(id);
        for (const VmId& id : memberIds(view)) {
            for (const OutgoingHandover& item : (*this)[id].handovers(now))
                (*this)[item.receiver].acceptHandover(item.handover, (*this)[id].incarnation(), now);
        }
    }

    ClaimReply execute(const VmId& executor, const ClaimRequest& request)
    {
        const ReplicaPair replicas = (*this)[executor].replicas(bucketOf(request.key));
        ClaimLedger& primary = (*this)[*replicas.primary];
        const Epoch epoch = (*this)[executor].epoch();
        const ClaimStep step = primary.begin(request, epoch, primary.incarnation(), now);
        if (step.reply)
            return *step.reply;
        RecordReply record;
        if (!backupSilent)
            record = (*this)[step.backup].record(*step.record, epoch, (*this)[step.backup].incarnation(), now);
        return primary.finish(request, epoch, *step.record, record, now);
    }

    ClaimRequest request(const VmId& executor, const std::string& submission, ClaimRequestKind kind = ClaimRequestKind::Claim)
    {
        return { kind, submissionKey("c", submission), 7, (*this)[executor].incarnation(), {} };
    }

    View view;
    TimePoint now = start;
    bool backupSilent = false;

private:
    std::map<VmId, std::unique_ptr<ClaimLedger>> m_ledgers;
};

}

TEST_CASE("claim ledgers of two VMs")
{
    Ledgers vms;
    vms.join("a");
    vms.adopt("a");
    vms.join("b");
    vms.adoptAll();

    SECTION("the first request is granted, a second VM learns who holds the claim")
    {
        CHECK(vms.execute("a", vms.request("a", "s")).outcome == ClaimOutcome::Granted);
        const ClaimReply second = vms.execute("b", vms.request("b", "s"));
        CHECK(second.outcome == ClaimOutcome::AlreadyClaimed);
        CHECK(second.holder == vms["a"].incarnation());
    }

    SECTION("a repeated request of the holder confirms its claim")
    {
        vms.execute("a", vms.request("a", "s"));
        const ClaimReply again = vms.execute("a", vms.request("a", "s"));
        CHECK(again.holder == vms["a"].incarnation());
        CHECK(again.state == ClaimState::Acknowledged);
    }

    SECTION("a request with another body is a conflict")
    {
        vms.execute("a", vms.request("a", "s"));
        ClaimRequest other = vms.request("b", "s");
        other.bodyDigest = 8;
        CHECK(vms.execute("b", other).outcome == ClaimOutcome::Conflict);
    }

    SECTION("a released claim can be acquired again, but only once")
    {
        vms.execute("a", vms.request("a", "s"));
        CHECK(vms.execute("a", vms.request("a", "s", ClaimRequestKind::Release)).outcome == ClaimOutcome::NotFound);
        CHECK(vms.execute("b", vms.request("b", "s")).outcome == ClaimOutcome::Granted);
        vms.execute("b", vms.request("b", "s", ClaimRequestKind::Release));
        const ClaimReply third = vms.execute("a", vms.request("a", "s"));
        CHECK(third.outcome == ClaimOutcome::AlreadyClaimed);
        CHECK(third.state == ClaimState::Released);
    }

    SECTION("a VM cannot release another VM's claim")
    {
        vms.execute("a", vms.request("a", "s"));
        vms.execute("b", vms.request("b", "s", ClaimRequestKind::Release));
        CHECK(vms.execute("b", vms.request("b", "s")).outcome == ClaimOutcome::AlreadyClaimed);
    }

    SECTION("without a reply of the backup nothing is granted, and the tentative claim does not block its own requester")
    {
        vms.backupSilent = true;
        const ClaimReply silent = vms.execute("a", vms.request("a", "s"));
        CHECK(silent.outcome == ClaimOutcome::Unavailable);
        CHECK(silent.neverRan);
        vms.backupSilent = false;
        CHECK(vms.execute("b", vms.request("b", "s")).outcome == ClaimOutcome::AlreadyClaimed);
        CHECK(vms.execute("a", vms.request("a", "s")).outcome == ClaimOutcome::Granted);
    }

    SECTION("claims survive the loss of one replica, a handover, and the loss of the other")
    {
        for (int number = 0; number < 50; ++number)
            vms.execute("a", vms.request("a", std::to_string(number)));
        vms.view = withRemoved(vms.view, vms["a"].incarnation());
        vms.adoptAll();
        vms.join("c");
        vms.adoptAll();
        vms.view = withRemoved(vms.view, vms["b"].incarnation());
        vms.adoptAll();
        for (int number = 0; number < 50; ++number)
            CHECK(vms.execute("c", vms.request("c", std::to_string(number))).outcome == ClaimOutcome::AlreadyClaimed);
        CHECK(vms["c"].incompleteBuckets(vms.now) == 0);
    }

    SECTION("after the loss of both replicas, submissions of the current epoch are granted, older ones only after the claim window")
    {
        vms.execute("a", vms.request("a", "s"));
        vms.join("a");
        vms.join("b");
        vms.adoptAll();
        CHECK(vms.execute("a", vms.request("a", "s")).outcome == ClaimOutcome::Indeterminate);
        ClaimRequest withEpoch = vms.request("a", "new");
        withEpoch.firstSent = vms.view.epoch;
        CHECK(vms.execute("a", withEpoch).outcome == ClaimOutcome::Granted);
        vms.now += window;
        CHECK(vms.execute("a", vms.request("a", "other")).outcome == ClaimOutcome::Granted);
    }

    SECTION("claims are removed when the claim window has passed")
    {
        vms.execute("a", vms.request("a", "s"));
        vms.now += window;
        vms["a"].expire(vms.now);
        CHECK(vms["a"].size() == 0);
    }

    SECTION("after a resignation the other VM grants claims alone in the same epoch")
    {
        vms["a"].resign();
        CHECK(vms["b"].acceptResignation(vms.view.epoch, vms["a"].incarnation()));
        CHECK(vms.execute("b", vms.request("b", "s")).outcome == ClaimOutcome::Granted);
        CHECK_FALSE(vms["b"].acceptResignation(Epoch { 1 }, vms["a"].incarnation()));
    }
}

TEST_CASE("claim ledger: views and incarnations")
{
    Ledgers vms;
    vms.join("a");
    vms.adopt("a");

    SECTION("a restarted VM does not adopt the incarnation of its previous process")
    {
        ClaimLedger restarted("a", window);
        restarted.adoptView(vms.view, start);
        CHECK(restarted.incarnation().value == 0);
        const ClaimRequest request = vms.request("a", "s");
        CHECK(restarted.begin(request, vms.view.epoch, vms.view.members[0].incarnation, start).reply->outcome == ClaimOutcome::Stale);
    }

    SECTION("a member with the same id and another address is not this process")
    {
        ClaimLedger otherVm("a", window);
        Member announced = vms.view.members[0];
        announced.peerAddress = "elsewhere";
        otherVm.registerJoinAttempt(announced);
        otherVm.adoptView(vms.view, start);
        CHECK(otherVm.incarnation().value == 0);
    }

    SECTION("a lower or equal epoch is not adopted")
    {
        const View first = vms.view;
        vms.join("b");
        vms.adopt("a");
        CHECK_FALSE(vms["a"].adoptView(first, start));
        CHECK_FALSE(vms["a"].adoptView(vms.view, start));
        CHECK(vms["a"].epoch().value == 2);
    }

    SECTION("a handover that was not delivered before the next view is sent again")
    {
        vms.join("b");
        vms.adopt("a");
        vms.adopt("b");
        vms.join("c");
        vms.adoptAll();
        for (const char* id : { "a", "b", "c" })
            CHECK(vms[id].incompleteBuckets(start) == 0);
    }

    SECTION("a request with a later epoch than the VM's is stale")
    {
        ClaimRequest request = vms.request("a", "s");
        request.firstSent.value = 9;
        CHECK(vms.execute("a", request).outcome == ClaimOutcome::Stale);
    }

    SECTION("an acknowledgement from an earlier epoch grants nothing")
    {
        vms.join("b");
        vms.adoptAll();
        std::string submission = "s";
        while (vms["a"].replicas(bucketOf(submissionKey("c", submission))).primary != "a")
            submission += 's';
        const ClaimRequest request = vms.request("a", submission);
        const Epoch epoch = vms.view.epoch;
        const ClaimStep step = vms["a"].begin(request, epoch, vms["a"].incarnation(), start);
        const RecordReply record = vms["b"].record(*step.record, epoch, vms["b"].incarnation(), start);
        vms.join("c");
        vms.adopt("a");
        CHECK(vms["a"].finish(request, epoch, *step.record, record, start).outcome == ClaimOutcome::Stale);
    }
}
