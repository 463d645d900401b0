#include <egrettrestle/fleet/discarded_messages.hpp>

namespace egrettrestle {

void DiscardedMessages::add(const VmId& vm, const std::string& cause, std::size_t count)
{
    if (count > 0)
        m_counts[{ vm, cause }] += count;
}

void DiscardedMessages::report(EventLog& log, Metrics& metrics)
{
    for (const auto& entry : m_counts) {
        log.write(events::messagesDiscarded, { { "peer", entry.first.first }, { "cause", entry.first.second }, { "count", static_cast<std::int64_t>(entry.second) } });
        metrics.countDiscardedMessages(entry.first.second, entry.second);
    }
    m_counts.clear();
}

} // namespace egrettrestle
