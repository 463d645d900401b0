#include <egrettrestle/base/work_meter.hpp>

#include <ctime>

namespace egrettrestle {

namespace {

    constexpr std::array<const char*, workKindCount> kindNames { "tick", "batch-sent", "batch-received", "poll", "order", "submission", "upstream-watch", "view-watch", "operator-watch", "membership" };

    thread_local WorkScope* innermostScope = nullptr;

    Duration clockTime(clockid_t clock)
    {
        timespec time {};
        clock_gettime(clock, &time);
        return std::chrono::duration_cast<Duration>(std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec });
    }

}

const char* workKindName(WorkKind kind) { return kindNames.at(static_cast<std::size_t>(kind)); }

void WorkMeter::add(WorkKind kind, Duration time, std::uint64_t count)
{
    Counter& counter = m_counters.at(static_cast<std::size_t>(kind));
    counter.count.fetch_add(count, std::memory_order_relaxed);
    counter.time.fetch_add(time.count(), std::memory_order_relaxed);
}

WorkMeter::Total WorkMeter::total(WorkKind kind) const
{
    const Counter& counter = m_counters.at(static_cast<std::size_t>(kind));
    return { counter.count.load(std::memory_order_relaxed), Duration { counter.time.load(std::memory_order_relaxed) } };
}

Duration WorkMeter::processTime() { return clockTime(CLOCK_PROCESS_CPUTIME_ID); }

Duration WorkMeter::threadTime() { return clockTime(CLOCK_THREAD_CPUTIME_ID); }

WorkScope::WorkScope(WorkMeter& meter, WorkKind kind)
    : m_meter(meter)
    , m_kind(kind)
    , m_outer(innermostScope)
    , m_begin(SteadyClock::now())
{
    innermostScope = this;
}

WorkScope::~WorkScope()
{
    const Duration time = SteadyClock::now() - m_begin;
    m_meter.add(m_kind, time - m_inner);
    if (m_outer)
        m_outer->m_inner += time;
    innermostScope = m_outer;
}

} // namespace egrettrestle
