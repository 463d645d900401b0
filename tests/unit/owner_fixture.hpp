#pragma once

#include <string>
#include <vector>

#include <egrettrestle/decision/upstream_owner.hpp>

#include "fake_ports.hpp"

namespace egrettrestle::fakes {

inline constexpr FencingToken token { 5 };

/// An owner of the upstream `u1`, executor `x` as the default requester, and a clock advanced by the test.
struct OwnerFixture {
    RecordingOwnerPort port;
    OwnerLimits limits;
    CrashTable crashes;
    UpstreamOwner owner { port, crashes, limits };
    TimePoint now { std::chrono::hours { 1 } };
    std::uint64_t endCount = 0;

    OwnerFixture() { owner.acquire(upstreamNamed("u1"), token, now); }

    PollReply reply(std::vector<TaskRun> running = {}, std::vector<RunEndRecord> ended = {}) const
    {
        PollReply pollReply;
        pollReply.outcome = OrderOutcome::Accepted;
        pollReply.clock = Milliseconds { 1'000 } + toMilliseconds(now.time_since_epoch());
        pollReply.running = std::move(running);
        pollReply.ended = std::move(ended);
        return pollReply;
    }

    void poll(const PollReply& reply)
    {
        const PollOrder order = *owner.nextPoll("u1", now);
        owner.onPollReply("u1", order, reply, now, now);
    }

    /// Has discovery describe a process of `u1` that is like the first one.
    void describeProcess(Milliseconds startedAt)
    {
        UpstreamInfo info = upstreamNamed("u1");
        info.startedAt = startedAt;
        owner.acquire(info, token, now);
    }

    void failPoll()
    {
        const PollOrder order = *owner.nextPoll("u1", now);
        owner.onPollReply("u1", order, PollReply {}, now, now);
    }

    void advance(Milliseconds time) { now += time; }

    /// Requests one run and confirms its start.
    TaskRun startOne(const std::string& job)
    {
        owner.request("x", requestFor(job, 0, now + Seconds { 1 }), now);
        const StartOrder order = port.starts.back();
        owner.onStartReply(order, { OrderOutcome::Accepted, std::nullopt }, now);
        return order.run;
    }

    RunEndRecord end(const TaskRun& run, RunOutcome outcome) { return { ++endCount, run, outcome }; }

    const PeerMessage& lastMessage() const { return port.notifications.back().message; }
};

} // namespace egrettrestle::fakes
