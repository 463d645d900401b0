#include <egrettrestle/fleet/server_refusals.hpp>

namespace egrettrestle {

namespace {

    struct UnansweredCause {
        const char* name;
        std::uint64_t AsyncHttpServerCounts::*count;
    };

    constexpr UnansweredCause unansweredCauses[] = {
        { "not-replied", &AsyncHttpServerCounts::notReplied },
        { "not-sent", &AsyncHttpServerCounts::notSent },
        { "stopped", &AsyncHttpServerCounts::stopped },
        { "incomplete", &AsyncHttpServerCounts::incomplete },
        { "not-read", &AsyncHttpServerCounts::notRead },
    };

}

ServerRefusals::ServerRefusals(std::string port, const AsyncHttpServer& server)
    : m_port(std::move(port))
    , m_server(server)
{
}

void ServerRefusals::report(EventLog& log, Metrics& metrics)
{
    const AsyncHttpServerCounts counts = m_server.counts();
    reportUnanswered(counts, log, metrics);
    const std::uint64_t rejected = counts.rejectedConnections - m_reported.rejectedConnections;
    const std::uint64_t replaced = counts.replacedConnections - m_reported.replacedConnections;
    const std::uint64_t tooLarge = counts.tooLarge - m_reported.tooLarge;
    const std::uint64_t outOfMemory = counts.outOfMemory - m_reported.outOfMemory;
    m_reported = counts;
    if (rejected > 0)
        log.write(events::connectionsRejected, { { "port", m_port }, { "count", static_cast<std::int64_t>(rejected) } });
    if (replaced + tooLarge + outOfMemory > 0)
        log.write(events::inputRefused, { { "port", m_port }, { "tooLarge", static_cast<std::int64_t>(tooLarge) }, { "outOfMemory", static_cast<std::int64_t>(outOfMemory) }, { "replaced", static_cast<std::int64_t>(replaced) } });
    metrics.countInputRefused(m_port, "connections", static_cast<double>(rejected));
    metrics.countInputRefused(m_port, "replaced", static_cast<double>(replaced));
    metrics.countInputRefused(m_port, "too-large", static_cast<double>(tooLarge));
    metrics.countInputRefused(m_port, "memory", static_cast<double>(outOfMemory));
}

void ServerRefusals::reportUnanswered(const AsyncHttpServerCounts& counts, EventLog& log, Metrics& metrics)
{
    std::string causes;
    for (const UnansweredCause& cause : unansweredCauses) {
        const std::uint64_t added = counts.*cause.count - m_reported.*cause.count;
        if (added == 0)
            continue;
        metrics.countUnanswered(m_port, cause.name, static_cast<double>(added));
        causes += (causes.empty() ? "" : " ") + std::string(cause.name) + '=' + std::to_string(added);
    }
    if (!causes.empty())
        log.write(events::requestsUnanswered, { { "port", m_port }, { "causes", causes } });
}

} // namespace egrettrestle
