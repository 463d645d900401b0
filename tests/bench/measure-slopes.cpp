// Measures the memory, message sizes and CPU time of claims, views, lists and scheduling at several sizes. docs/CAPACITY.md
// uses the output.

#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include <malloc.h>

#include <egrettrestle/decision/claim_ledger.hpp>
#include <egrettrestle/decision/dispatcher.hpp>
#include <egrettrestle/decision/slot_share.hpp>
#include <egrettrestle/decision/task_scheduler.hpp>
#include <egrettrestle/wire/manifest_json.hpp>
#include <egrettrestle/wire/peer_messages.hpp>
#include <egrettrestle/wire/upstream_messages.hpp>

namespace {

using namespace egrettrestle;

constexpr Seconds window { 600 };
const TimePoint start { Seconds(1'000) };

std::size_t heapBytes() { return mallinfo2().uordblks; }

double measureMicroseconds(const std::function<void()>& work)
{
    const TimePoint startTime = SteadyClock::now();
    work();
    return toSeconds(SteadyClock::now() - startTime) * 1e6;
}

void printRow(const char* what, std::size_t size, double value, const char* unit)
{
    std::printf("%-44s %9zu %12.3f %s\n", what, size, value, unit);
}

SubmissionKey key(std::size_t number) { return submissionKey("press-1", std::to_string(number)); }

/// Two VMs in one view, the primary and backup of all buckets.
struct LedgerPair {
    LedgerPair()
        : a("a", window)
        , b("b", window)
        , view(withJoined({}, "a", "10.0.0.1:7401", "10.0.0.1:7400"))
    {
        a.registerJoinAttempt(view.members[0]);
        a.adoptView(view, start);
        view = withJoined(view, "b", "10.0.0.2:7401", "10.0.0.2:7400");
        b.registerJoinAttempt(*findMember(view, "b"));
        a.adoptView(view, start);
        b.adoptView(view, start);
        for (const OutgoingHandover& item : a.handovers(start))
            b.acceptHandover(item.handover, a.incarnation(), start);
    }

    void claim(const SubmissionKey& submission)
    {
        const bool aIsPrimary = a.replicas(bucketOf(submission)).primary == "a";
        ClaimLedger& primary = aIsPrimary ? a : b;
        ClaimLedger& backup = aIsPrimary ? b : a;
        const ClaimRequest request { ClaimRequestKind::Claim, submission, 1, a.incarnation(), {} };
        const ClaimStep step = primary.begin(request, view.epoch, primary.incarnation(), start);
        const RecordReply record = backup.record(*step.record, view.epoch, backup.incarnation(), start);
        primary.finish(request, view.epoch, *step.record, record, start);
    }

    ClaimLedger a;
    ClaimLedger b;
    View view;
};

void measureClaims()
{
    for (const std::size_t count : { 10'000, 100'000, 1'000'000 }) {
        const std::size_t before = heapBytes();
        LedgerPair pair;
        const std::size_t empty = heapBytes();
        const double elapsed = measureMicroseconds([&] {
            for (std::size_t number = 0; number < count; ++number)
                pair.claim(key(number));
        });
        printRow("claim, both replicas, CPU time", count, elapsed / static_cast<double>(count), "us/claim");
        printRow("claim, one replica, memory", count, static_cast<double>(heapBytes() - empty) / 2 / static_cast<double>(count), "bytes/claim");
        printRow("ledger without claims, memory", count, static_cast<double>(empty - before) / 2, "bytes");
        printRow("removal of expired claims", count, measureMicroseconds([&] { pair.a.expire(start); }) / static_cast<double>(count), "us/claim");
        const View next = withJoined(pair.view, "c", "10.0.0.3:7401", "10.0.0.3:7400");
        printRow("adoption of a view", count, measureMicroseconds([&] { pair.a.adoptView(next, start); }), "us");
        std::vector<OutgoingHandover> handovers;
        printRow("handover, CPU time", count, measureMicroseconds([&] { handovers = pair.a.handovers(start); }) / static_cast<double>(count), "us/claim");
        HandoverBatch batch;
        std::size_t claims = 0;
        for (OutgoingHandover& item : handovers) {
            claims += item.handover.claims.size();
            batch.handovers.push_back(std::move(item.handover));
        }
        printRow("handover, message size", count, static_cast<double>(toText(batch, start).size()) / static_cast<double>(claims), "bytes/claim");
    }
}

void measureMessages()
{
    for (const std::size_t count : { 1, 10, 100 }) {
        ClaimBatch claims { { { 9 }, { 8 }, { 7 } }, {} };
        RecordBatch records { { { 9 }, { 8 }, { 7 } }, {} };
        ClaimBatchReply claimReply { { 9 }, std::vector<ClaimReply>(count) };
        RecordBatchReply recordReply { { 9 }, std::vector<RecordReply>(count) };
        for (std::size_t number = 0; number < count; ++number) {
            claims.requests.push_back({ ClaimRequestKind::Claim, key(number), UINT64_MAX / 3, { 8 }, { 5 } });
            Claim claim;
            claim.key = key(number);
            claim.bodyDigest = UINT64_MAX / 3;
            claim.expiry = start + window;
            records.requests.push_back({ claim, { 5 }, {} });
        }
        const double perClaim = static_cast<double>(count);
        printRow("claim message and reply, size of bodies", count, static_cast<double>(toText(claims).size() + toText(claimReply).size()) / perClaim, "bytes/claim");
        printRow("record message and reply, size of bodies", count, static_cast<double>(toText(records, start).size() + toText(recordReply, start).size()) / perClaim, "bytes/claim");
        constexpr int rounds = 2'000;
        const double elapsed = measureMicroseconds([&] {
            for (int round = 0; round < rounds; ++round) {
                parseClaimBatch(toText(claims));
                parseClaimBatchReply(toText(claimReply));
                parseRecordBatch(toText(records, start), start);
                parseRecordBatchReply(toText(recordReply, start), start);
            }
        });
        printRow("claim and record, JSON encoding and decoding", count, elapsed / rounds / perClaim, "us/claim");
    }
    const Heartbeat heartbeat { { { 900 }, { 800 }, { 700 } }, 300 };
    printRow("heartbeat and reply, size of bodies", 1, static_cast<double>(toText(heartbeat).size() + toText(HeartbeatReply { { 900 }, { 800 }, 300 }).size()), "bytes");
}

void measureViewsAndLists()
{
    for (const std::size_t members : { 2, 6, 20 }) {
        View view;
        for (std::size_t number = 0; number < members; ++number)
            view = withJoined(view, "entry-" + std::to_string(number), "10.0.0.1:7401", "10.0.0.1:7400");
        for (std::size_t change = 0; change < pastViewLimit; ++change)
            view = withJoined(view, "entry-0", "10.0.0.1:7401", "10.0.0.1:7400");
        printRow("view, size", members, static_cast<double>(toText(view).size()), "bytes");
    }
    for (const std::size_t count : { 50, 275, 1'100 }) {
        InstanceList list;
        for (std::size_t number = 0; number < count; ++number)
            list.instances.push_back({ "print-" + std::to_string(number), "print", "almaty", "10.0.0.1:9100", 8, InstanceState::Live });
        printRow("VM list, size", count, static_cast<double>(toText(list).size()), "bytes");
        std::vector<VmId> members { "entry-0", "entry-1", "entry-2", "entry-3", "entry-4" };
        printRow("slot shares of all upstreams, CPU time", count, measureMicroseconds([&] {
            for (const Instance& instance : list.instances)
                ownedSlots(instance.id, instance.slots, members, "entry-0");
        }),
            "us");
    }
    for (const std::size_t callers : { 2, 34, 340 }) {
        Manifest manifest;
        for (std::size_t number = 0; number < callers; ++number)
            manifest.callers.push_back({ "team-" + std::to_string(number) + "-*", "team-" + std::to_string(number), "", 4'000, 4'000 });
        printRow("manifest, size", callers, static_cast<double>(manifestText(manifest).size()), "bytes");
    }
}

/// Carries out nothing.
class IdlePort : public DispatcherPort {
public:
    void start(const StartOrder&) override { }
    void stop(const StopOrder&) override { }
    void pollNow(const UpstreamId&) override { }
    void send(const VmId&, PeerMessage) override { }
    void reply(CallerTicket, const JobResult&) override { }
    void recordEvent(const OwnerEvent&) override { }
    void recordEvent(const JobEvent&) override { }
    void recordEvent(const EvacuationEvent&) override { }
    void onOwnedUpstreamsChanged() override { }
    void onPeerLost(const VmId&) override { }
};

/// The members of a fleet join one after another; all figures are for one VM that follows all the views.
void measureJoins()
{
    constexpr std::size_t dataCentres = 5;
    constexpr std::size_t upstreams = 1'100;
    const auto dataCentre = [](std::size_t number) { return "zone-" + std::to_string(number % dataCentres); };
    for (const std::size_t members : { 50, 147, 300 }) {
        std::vector<View> views(1);
        for (std::size_t number = 0; number < members; ++number) {
            View next = withJoined(views.back(), "front-" + dataCentre(number) + "-" + std::to_string(number), "10.1.0.13:7720", "10.1.0.13:8161");
            next.past.clear();
            for (Member& member : next.members)
                member.dataCentre = dataCentre(std::stoull(member.id.substr(member.id.rfind('-') + 1)));
            views.push_back(std::move(next));
        }
        views.erase(views.begin());
        const VmId self = views.front().members.front().id;
        IdlePort port;
        Dispatcher dispatcher(port, self, {});
        for (std::size_t number = 0; number < upstreams; ++number) {
            UpstreamInfo upstream;
            upstream.id = "upstream-" + std::to_string(number);
            upstream.service = "print";
            upstream.dataCentre = dataCentre(number);
            dispatcher.setUpstream(upstream, start);
        }
        std::vector<std::string> texts;
        for (const View& view : views)
            texts.push_back(toText(view));
        printRow("joins, views parsed", members, measureMicroseconds([&] {
            for (const std::string& text : texts)
                parseView(text);
        }) / 1'000,
            "ms");
        printRow("joins, regular contacts", members, measureMicroseconds([&] {
            for (const View& view : views)
                regularContacts(view, self, {});
        }) / 1'000,
            "ms");
        printRow("joins, views adopted", members, measureMicroseconds([&] {
            for (const View& view : views)
                dispatcher.setView(view, start);
        }) / 1'000,
            "ms");
        printRow("tick of an idle dispatcher", members, measureMicroseconds([&] {
            constexpr int ticks = 1'000;
            for (int tick = 0; tick < ticks; ++tick)
                dispatcher.tick(start);
        }) / 1'000,
            "us");
    }
}

void measureScheduling()
{
    for (const std::size_t upstreams : { 17, 50, 275 }) {
        const std::size_t before = heapBytes();
        TaskScheduler scheduler;
        scheduler.setUrgencyClasses({ { 0, 0.3, Duration::zero() }, { 1, 0, Seconds(5) } });
        std::vector<UpstreamShare> shares;
        for (std::size_t number = 0; number < upstreams; ++number)
            shares.push_back({ "print-" + std::to_string(number), "print", "10.0.0.1:9100", 4, false });
        scheduler.setUpstreams(shares);
        for (std::size_t number = 0; number < upstreams; ++number)
            scheduler.health().recordSuccess("print-" + std::to_string(number), "proof", Milliseconds(100), start);
        printRow("upstream, scheduling and health, memory", upstreams, static_cast<double>(heapBytes() - before) / static_cast<double>(upstreams), "bytes/upstream");
        constexpr std::size_t tasks = 20'000;
        const double elapsed = measureMicroseconds([&] {
            for (std::size_t number = 0; number < tasks; ++number) {
                QueuedTask task;
                task.task.value = number;
                task.service = "print";
                task.kind = "proof";
                task.queuedAt = start;
                task.deadline = start + Seconds(60);
                scheduler.enqueue(std::move(task));
                const std::optional<Assignment> assignment = scheduler.nextAssignment(start);
                scheduler.health().recordSuccess(assignment->upstream, "proof", Milliseconds(100), start);
                scheduler.releaseSlot(assignment->upstream, 0);
            }
        });
        printRow("task queued, assigned and released", upstreams, elapsed / tasks, "us/task");
    }
}

}

int main()
{
    std::printf("%-44s %9s %12s\n", "what", "size", "cost");
    measureClaims();
    measureMessages();
    measureViewsAndLists();
    measureJoins();
    measureScheduling();
}
