#pragma once

#include <vector>

#include <egrettrestle/decision/dispatcher.hpp>

/// Fake ports that record the decisions under test, and factories for their input.
namespace egrettrestle::fakes {

/// A message and the VM that it was sent to.
struct SentMessage {
    VmId vm;
    PeerMessage message;
};

class RecordingOwnerPort : public OwnerPort {
public:
    void start(const StartOrder& order) override { starts.push_back(order); }
    void stop(const StopOrder& order) override { stops.push_back(order); }
    void pollNow(const UpstreamId& upstream) override { polls.push_back(upstream); }
    void notify(const VmId& executor, PeerMessage message) override { notifications.push_back({ executor, std::move(message) }); }
    void reportCrash(const UpstreamCrash& crash, const std::set<VmId>& executors) override
    {
        crashes.push_back(crash);
        crashReceivers = executors;
    }
    void recordEvent(const OwnerEvent& event) override { events.push_back(event); }

    std::vector<UpstreamCrash> crashes;
    /// The executors that the last crash was reported to.
    std::set<VmId> crashReceivers;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<UpstreamId> polls;
    std::vector<SentMessage> notifications;
    std::vector<OwnerEvent> events;
};

struct SentReply {
    CallerTicket ticket;
    JobResult reply;
};

class RecordingExecutorPort : public ExecutorPort {
public:
    void send(const VmId& owner, PeerMessage message) override { sent.push_back({ owner, std::move(message) }); }
    void reply(CallerTicket ticket, const JobResult& reply) override { replies.push_back({ ticket, reply }); }
    void recordEvent(const JobEvent& event) override { events.push_back(event); }

    std::vector<SentMessage> sent;
    std::vector<SentReply> replies;
    std::vector<JobEvent> events;
};

class RecordingDispatcherPort : public DispatcherPort {
public:
    void start(const StartOrder& order) override { starts.push_back(order); }
    void stop(const StopOrder& order) override { stops.push_back(order); }
    void pollNow(const UpstreamId&) override { }
    void send(const VmId& vm, PeerMessage message) override { sent.push_back({ vm, std::move(message) }); }
    void reply(CallerTicket ticket, const JobResult& reply) override { replies.push_back({ ticket, reply }); }
    void recordEvent(const OwnerEvent&) override { }
    void recordEvent(const JobEvent&) override { }
    void recordEvent(const EvacuationEvent& event) override { evacuations.push_back(event); }
    void onOwnedUpstreamsChanged() override { ++ownedUpstreamsChanges; }
    void onPeerLost(const VmId& vm) override { lostPeers.push_back(vm); }

    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<SentMessage> sent;
    std::vector<SentReply> replies;
    std::vector<VmId> lostPeers;
    std::vector<EvacuationEvent> evacuations;
    int ownedUpstreamsChanges = 0;
};

/// A view whose members are all in the data centre `dc1`.
inline View viewOf(std::uint64_t epoch, const std::vector<VmId>& members)
{
    View view;
    view.epoch.value = epoch;
    for (const VmId& member : members)
        view.members.push_back({ member, "p", "c", { 1 }, "dc1" });
    return view;
}

/// An upstream of the service `print` in the rack `r1-1`. It fits two default tasks unless a capacity is given.
inline UpstreamInfo upstreamNamed(const UpstreamId& id, std::int64_t milliCores = 64'000, const std::string& kind = "a")
{
    UpstreamInfo info;
    info.id = id;
    info.startedAt = Milliseconds { 1'000 };
    info.service = "print";
    info.address = "10.0.0.1:80";
    info.dataCentre = "dc1";
    info.capacity = { milliCores, 100'000, 0 };
    info.kind = kind;
    info.labels = { kind, "r1-1" };
    info.rack = "r1-1";
    return info;
}

/// A request for the first run of a task of a job's first step, of 27 cores and 100 ms by default.
inline RunRequest requestFor(const std::string& job, std::uint32_t index, TimePoint latestStart, std::int64_t milliCores = 27'000)
{
    RunRequest request;
    request.run = { { job, 0, index }, 1 };
    request.spec = "spec";
    request.service = "print";
    request.route = "proof";
    request.need = { milliCores, 64, 0 };
    request.estimate = Milliseconds { 100 };
    request.expectedRunTime = Milliseconds { 100 };
    request.latestStart = latestStart;
    return request;
}

/// A route to the service `print` with two attempts for each task.
inline Route routeNamed(const std::string& name)
{
    Route route;
    route.name = name;
    route.host = "shop.example";
    route.prefix = "/" + name + "/";
    route.service = "print";
    route.maxAttempts = 2;
    route.stretch = 1.6;
    route.targetLatency = Milliseconds { 60 };
    route.timeout = Milliseconds { 1'500 };
    return route;
}

/// A job with one step of the given number of tasks, of 27 cores and 100 ms each.
inline DispatchJob jobOf(const std::string& id, std::uint32_t tasks)
{
    DispatchJob job;
    job.id = id;
    job.spec = "spec";
    job.callerTimeout = Milliseconds { 1'500 };
    JobStep step;
    step.count = tasks;
    step.need = { 27'000, 64, 0 };
    step.estimate = Milliseconds { 100 };
    job.steps.push_back(step);
    return job;
}

/// A report of the capacity for tasks of the service `print`.
inline CapacityReport capacityFor(std::uint32_t free, std::uint32_t total, std::uint32_t queued = 0)
{
    CapacityReport report;
    report.typicalNeed = { 27'000, 64, 0 };
    report.kinds.push_back({ "print", "a", free, total, 1 });
    if (queued > 0)
        report.queues.push_back({ "print", 0, queued, Milliseconds { 100 } * queued });
    return report;
}

} // namespace egrettrestle::fakes
