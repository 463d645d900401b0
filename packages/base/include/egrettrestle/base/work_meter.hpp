#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// What a VM's process spends its processor time on.
enum class WorkKind {
    Tick,
    BatchSent,
    BatchReceived,
    Poll,
    Order,
    Submission,
    UpstreamWatch,
    ViewWatch,
    OperatorWatch,
    Membership,
};

inline constexpr std::size_t workKindCount = 10;

/// The name of a kind of work in logs and metrics.
const char* workKindName(WorkKind kind);

/// Counts the work of a process by kind, and the time it takes. Thread-safe.
class WorkMeter {
public:
    struct Total {
        std::uint64_t count = 0;
        Duration time { 0 };
    };

    /// Adds `count` units of work that took `time` together.
    void add(WorkKind kind, Duration time, std::uint64_t count = 1);

    /// The work of a kind since the start.
    Total total(WorkKind kind) const;

    /// Processor time of the whole process since its start, in user and system mode.
    static Duration processTime();
    /// Processor time of the calling thread since its start. A system call, unlike the steady clock.
    static Duration threadTime();

private:
    struct Counter {
        std::atomic<std::uint64_t> count { 0 };
        std::atomic<Duration::rep> time { 0 };
    };

    std::array<Counter, workKindCount> m_counters;
};

/// Adds the time from its construction to its destruction to a kind of work, by the steady clock, without the time of scopes
/// inside it on the same thread. For work that does not wait.
class WorkScope {
public:
    WorkScope(WorkMeter& meter, WorkKind kind);
    ~WorkScope();
    WorkScope(const WorkScope&) = delete;
    WorkScope& operator=(const WorkScope&) = delete;

private:
    WorkMeter& m_meter;
    WorkKind m_kind;
    WorkScope* m_outer;
    TimePoint m_begin;
    Duration m_inner { 0 };
};

} // namespace egrettrestle
