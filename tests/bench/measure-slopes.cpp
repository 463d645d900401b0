// Measures what each role's state, messages and decisions cost, at several sizes; docs/CAPACITY.md works from its output.

#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include <malloc.h>

#include <egrettrestle/decision/claim_ledger.hpp>
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

double microsecondsOf(const std::function<void()>& work)
{
    const TimePoint begin = SteadyClock::now();
    work();
    return toSeconds(SteadyClock::now() - begin) * 1e6;
}

void print(const char* what, std::size_t size, double value, const char* unit)
{
    std::printf("%-44s %9zu %12.3f %s\n", what, size, value, unit);
}

SubmissionKey key(std::size_t number) { return submissionKey("press-1", std::to_string(number)); }

/// Two VMs that hold each other's claims.
struct Pair {
    Pair()
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
        const bool aDecides = a.replicas(bucketOf(submission)).primary == "a";
        ClaimLedger& registrar = aDecides ? a : b;
        ClaimLedger& mirror = aDecides ? b : a;
        const ClaimRequest request { ClaimRequestKind::Claim, submission, 1, a.incarnation(), {} };
        const ClaimStep step = registrar.begin(request, view.epoch, registrar.incarnation(), start);
        const RecordReply record = mirror.record(*step.record, view.epoch, mirror.incarnation(), start);
        registrar.finish(request, view.epoch, *step.record, record, start);
    }

    ClaimLedger a;
    ClaimLedger b;
    View view;
};

void measureClaims()
{
    for (const std::size_t count : { 10'000, 100'000, 1'000'000 }) {
        const std::size_t before = heapBytes();
        Pair pair;
        const std::size_t empty = heapBytes();
        const double spent = microsecondsOf([&] {
            for (std::size_t number = 0; number < count; ++number)
                pair.claim(key(number));
        });
        print("claim, both memories, processor", count, spent / static_cast<double>(count), "us/claim");
        print("claim, one memory, state", count, static_cast<double>(heapBytes() - empty) / 2 / static_cast<double>(count), "bytes/claim");
        print("ledger without claims, state", count, static_cast<double>(empty - before) / 2, "bytes");
        print("expiry sweep", count, microsecondsOf([&] { pair.a.expire(start); }) / static_cast<double>(count), "us/claim");
        const View next = withJoined(pair.view, "c", "10.0.0.3:7401", "10.0.0.3:7400");
        print("adopt a view", count, microsecondsOf([&] { pair.a.adoptView(next, start); }), "us");
        std::vector<OutgoingHandover> handovers;
        print("hand-over, collected", count, microsecondsOf([&] { handovers = pair.a.handovers(start); }) / static_cast<double>(count), "us/claim");
        HandoverBatch batch;
        std::size_t claims = 0;
        for (OutgoingHandover& item : handovers) {
            claims += item.handover.claims.size();
            batch.handovers.push_back(std::move(item.handover));
        }
        print("hand-over, on the wire", count, static_cast<double>(toText(batch, start).size()) / static_cast<double>(claims), "bytes/claim");
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
        print("claim message and reply, bodies", count, static_cast<double>(toText(claims).size() + toText(claimReply).size()) / perClaim, "bytes/claim");
        print("record message and reply, bodies", count, static_cast<double>(toText(records, start).size() + toText(recordReply, start).size()) / perClaim, "bytes/claim");
        constexpr int rounds = 2'000;
        const double spent = microsecondsOf([&] {
            for (int round = 0; round < rounds; ++round) {
                parseClaimBatch(toText(claims));
                parseClaimBatchReply(toText(claimReply));
                parseRecordBatch(toText(records, start), start);
                parseRecordBatchReply(toText(recordReply, start), start);
            }
        });
        print("claim and record, JSON at both ends", count, spent / rounds / perClaim, "us/claim");
    }
    const Heartbeat heartbeat { { { 900 }, { 800 }, { 700 } }, 300 };
    print("heartbeat and reply, bodies", 1, static_cast<double>(toText(heartbeat).size() + toText(HeartbeatReply { { 900 }, { 800 }, 300 }).size()), "bytes");
}

void measureViewsAndLists()
{
    for (const std::size_t members : { 2, 6, 20 }) {
        View view;
        for (std::size_t number = 0; number < members; ++number)
            view = withJoined(view, "entry-" + std::to_string(number), "10.0.0.1:7401", "10.0.0.1:7400");
        for (std::size_t change = 0; change < pastViewLimit; ++change)
            view = withJoined(view, "entry-0", "10.0.0.1:7401", "10.0.0.1:7400");
        print("view record", members, static_cast<double>(toText(view).size()), "bytes");
    }
    for (const std::size_t count : { 50, 275, 1'100 }) {
        InstanceList list;
        for (std::size_t number = 0; number < count; ++number)
            list.instances.push_back({ "print-" + std::to_string(number), "print", "almaty", "10.0.0.1:9100", 8, InstanceState::Live });
        print("VM list", count, static_cast<double>(toText(list).size()), "bytes");
        std::vector<VmId> members { "entry-0", "entry-1", "entry-2", "entry-3", "entry-4" };
        print("slot shares of all upstreams", count, microsecondsOf([&] {
            for (const Instance& instance : list.instances)
                ownedSlots(instance.id, instance.slots, members, "entry-0");
        }),
            "us");
    }
    for (const std::size_t callers : { 2, 34, 340 }) {
        Manifest manifest;
        for (std::size_t number = 0; number < callers; ++number)
            manifest.callers.push_back({ "team-" + std::to_string(number) + "-*", "team-" + std::to_string(number), "", 4'000, 4'000 });
        print("manifest", callers, static_cast<double>(manifestText(manifest).size()), "bytes");
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
        print("upstream, scheduling and health, state", upstreams, static_cast<double>(heapBytes() - before) / static_cast<double>(upstreams), "bytes/upstream");
        constexpr std::size_t tasks = 20'000;
        const double spent = microsecondsOf([&] {
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
        print("task queued, placed, settled", upstreams, spent / tasks, "us/task");
    }
}

}

int main()
{
    std::printf("%-44s %9s %12s\n", "what", "size", "cost");
    measureClaims();
    measureMessages();
    measureViewsAndLists();
    measureScheduling();
}
