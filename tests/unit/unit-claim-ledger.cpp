#include <map>
#include <memory>

#include <catch2/catch.hpp>

#include <egrettrestle/decision/claim_ledger.hpp>

using namespace egrettrestle;

namespace {

const TimePoint start { Seconds(1'000) };
constexpr Seconds window { 60 };

/// A few VMs whose messages arrive at once.
class Ledgers {
public:
    ClaimLedger& operator[](const VmId& id) { return *m_ledgers.at(id); }

    /// Boots a process for a VM, with an empty memory, and lets it join.
    void join(const VmId& id)
    {
        m_ledgers[id] = std::make_unique<ClaimLedger>(id, window);
        view = withJoined(view, id, "address", "");
        (*this)[id].registerJoinAttempt(*findMember(view, id));
    }

    void adopt(const VmId& id) { (*this)[id].adoptView(view, now); }

    /// Lets all adopt the view and hand over.
    void settle()
    {
        for (const VmId& id : memberIds(view))
            adopt(id);
        for (const VmId& id : memberIds(view)) {
            for (const OutgoingHandover& item : (*this)[id].handovers(now))
                (*this)[item.receiver].acceptHandover(item.handover, (*this)[id].incarnation(), now);
        }
    }

    ClaimReply ask(const VmId& executor, const ClaimRequest& request)
    {
        const ReplicaPair holders = (*this)[executor].replicas(bucketOf(request.key));
        ClaimLedger& registrar = (*this)[*holders.primary];
        const Epoch epoch = (*this)[executor].epoch();
        const ClaimStep step = registrar.begin(request, epoch, registrar.incarnation(), now);
        if (step.reply)
            return *step.reply;
        RecordReply record;
        if (!mirrorSilent)
            record = (*this)[step.backup].record(*step.record, epoch, (*this)[step.backup].incarnation(), now);
        return registrar.finish(request, epoch, *step.record, record, now);
    }

    ClaimRequest request(const VmId& executor, const std::string& submission, ClaimRequestKind kind = ClaimRequestKind::Claim)
    {
        return { kind, submissionKey("c", submission), 7, (*this)[executor].incarnation(), {} };
    }

    View view;
    TimePoint now = start;
    bool mirrorSilent = false;

private:
    std::map<VmId, std::unique_ptr<ClaimLedger>> m_ledgers;
};

}

TEST_CASE("claims of two VMs")
{
    Ledgers vms;
    vms.join("a");
    vms.adopt("a");
    vms.join("b");
    vms.settle();

    SECTION("the first asks and gets it, the second is told who holds it")
    {
        CHECK(vms.ask("a", vms.request("a", "s")).outcome == ClaimOutcome::Granted);
        const ClaimReply second = vms.ask("b", vms.request("b", "s"));
        CHECK(second.outcome == ClaimOutcome::AlreadyClaimed);
        CHECK(second.holder == vms["a"].incarnation());
    }

    SECTION("the holder may ask again")
    {
        vms.ask("a", vms.request("a", "s"));
        const ClaimReply again = vms.ask("a", vms.request("a", "s"));
        CHECK(again.holder == vms["a"].incarnation());
        CHECK(again.state == ClaimState::Acknowledged);
    }

    SECTION("another body is a conflict")
    {
        vms.ask("a", vms.request("a", "s"));
        ClaimRequest other = vms.request("b", "s");
        other.bodyDigest = 8;
        CHECK(vms.ask("b", other).outcome == ClaimOutcome::Conflict);
    }

    SECTION("a released claim is taken up again, once")
    {
        vms.ask("a", vms.request("a", "s"));
        CHECK(vms.ask("a", vms.request("a", "s", ClaimRequestKind::Release)).outcome == ClaimOutcome::NotFound);
        CHECK(vms.ask("b", vms.request("b", "s")).outcome == ClaimOutcome::Granted);
        vms.ask("b", vms.request("b", "s", ClaimRequestKind::Release));
        const ClaimReply third = vms.ask("a", vms.request("a", "s"));
        CHECK(third.outcome == ClaimOutcome::AlreadyClaimed);
        CHECK(third.state == ClaimState::Released);
    }

    SECTION("somebody else cannot release it")
    {
        vms.ask("a", vms.request("a", "s"));
        vms.ask("b", vms.request("b", "s", ClaimRequestKind::Release));
        CHECK(vms.ask("b", vms.request("b", "s")).outcome == ClaimOutcome::AlreadyClaimed);
    }

    SECTION("a silent mirror grants nothing, and the record left behind does not block its own asker")
    {
        vms.mirrorSilent = true;
        const ClaimReply silent = vms.ask("a", vms.request("a", "s"));
        CHECK(silent.outcome == ClaimOutcome::Unavailable);
        CHECK(silent.neverRan);
        vms.mirrorSilent = false;
        CHECK(vms.ask("b", vms.request("b", "s")).outcome == ClaimOutcome::AlreadyClaimed);
        CHECK(vms.ask("a", vms.request("a", "s")).outcome == ClaimOutcome::Granted);
    }

    SECTION("claims survive a death, a hand-over, and another death")
    {
        for (int number = 0; number < 50; ++number)
            vms.ask("a", vms.request("a", std::to_string(number)));
        vms.view = withRemoved(vms.view, vms["a"].incarnation());
        vms.settle();
        vms.join("c");
        vms.settle();
        vms.view = withRemoved(vms.view, vms["b"].incarnation());
        vms.settle();
        for (int number = 0; number < 50; ++number)
            CHECK(vms.ask("c", vms.request("c", std::to_string(number))).outcome == ClaimOutcome::AlreadyClaimed);
        CHECK(vms["c"].incompleteBuckets(vms.now) == 0);
    }

    SECTION("when both holders are lost, old submissions are unknown, stamped new ones are granted")
    {
        vms.ask("a", vms.request("a", "s"));
        vms.join("a");
        vms.join("b");
        vms.settle();
        CHECK(vms.ask("a", vms.request("a", "s")).outcome == ClaimOutcome::Indeterminate);
        ClaimRequest stamped = vms.request("a", "new");
        stamped.firstSent = vms.view.epoch;
        CHECK(vms.ask("a", stamped).outcome == ClaimOutcome::Granted);
        vms.now += window;
        CHECK(vms.ask("a", vms.request("a", "other")).outcome == ClaimOutcome::Granted);
    }

    SECTION("claims and their memory end with the window")
    {
        vms.ask("a", vms.request("a", "s"));
        vms.now += window;
        vms["a"].expire(vms.now);
        CHECK(vms["a"].size() == 0);
    }

    SECTION("a resignation lets the other go on alone in the same epoch")
    {
        vms["a"].resign();
        CHECK(vms["b"].acceptResignation(vms.view.epoch, vms["a"].incarnation()));
        CHECK(vms.ask("b", vms.request("b", "s")).outcome == ClaimOutcome::Granted);
        CHECK_FALSE(vms["b"].acceptResignation(Epoch { 1 }, vms["a"].incarnation()));
    }
}

TEST_CASE("views and incarnations")
{
    Ledgers vms;
    vms.join("a");
    vms.adopt("a");

    SECTION("a restarted VM does not take its predecessor's incarnation from the view")
    {
        ClaimLedger restarted("a", window);
        restarted.adoptView(vms.view, start);
        CHECK(restarted.incarnation().value == 0);
        const ClaimRequest request = vms.request("a", "s");
        CHECK(restarted.begin(request, vms.view.epoch, vms.view.members[0].incarnation, start).reply->outcome == ClaimOutcome::Stale);
    }

    SECTION("another VM of the same id at another address is not this one")
    {
        ClaimLedger twin("a", window);
        Member announced = vms.view.members[0];
        announced.peerAddress = "elsewhere";
        twin.registerJoinAttempt(announced);
        twin.adoptView(vms.view, start);
        CHECK(twin.incarnation().value == 0);
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

    SECTION("a hand-over that a later view overtook is made again")
    {
        vms.join("b");
        vms.adopt("a");
        vms.adopt("b");
        vms.join("c");
        vms.settle();
        for (const char* id : { "a", "b", "c" })
            CHECK(vms[id].incompleteBuckets(start) == 0);
    }

    SECTION("a submission stamped with a later epoch is not served")
    {
        ClaimRequest request = vms.request("a", "s");
        request.firstSent.value = 9;
        CHECK(vms.ask("a", request).outcome == ClaimOutcome::Stale);
    }

    SECTION("an acknowledgement that arrives in a later epoch grants nothing")
    {
        vms.join("b");
        vms.settle();
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
