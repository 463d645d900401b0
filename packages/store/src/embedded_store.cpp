#include <egrettrestle/store/embedded_store.hpp>

#include <algorithm>

namespace egrettrestle {

namespace {

    constexpr Milliseconds stopPollInterval { 100 };

    bool hasPrefix(const std::string& text, const std::string& prefix) { return text.compare(0, prefix.size(), prefix) == 0; }

}

absl::StatusOr<StoreEntry> EmbeddedStore::read(const std::string& key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? StoreEntry { key, {}, 0 } : found->second;
}

absl::StatusOr<StoreSnapshot> EmbeddedStore::readPrefix(const std::string& prefix)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    StoreSnapshot snapshot;
    snapshot.revision = m_revision;
    snapshot.entries = changesSince(prefix, 0);
    return snapshot;
}

absl::StatusOr<bool> EmbeddedStore::compareAndSwap(const std::string& key, std::uint64_t expectedModRevision, const std::string& value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_entries.find(key);
    const std::uint64_t present = found == m_entries.end() ? 0 : found->second.modRevision;
    if (present != expectedModRevision)
        return false;
    ++m_revision;
    m_entries[key] = { key, value, m_revision };
    m_changed.notify_all();
    return true;
}

absl::Status EmbeddedStore::watch(const std::string& prefix, std::uint64_t fromRevision, Milliseconds duration, Milliseconds, const std::atomic<bool>& stop,
    const std::function<void(const StoreEntry&)>& onChange)
{
    const TimePoint end = SteadyClock::now() + duration;
    std::uint64_t next = fromRevision;
    while (!stop && SteadyClock::now() < end) {
        std::vector<StoreEntry> changes;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            if (m_revision < next)
                m_changed.wait_for(lock, stopPollInterval);
            changes = changesSince(prefix, next);
            next = m_revision + 1;
        }
        for (const StoreEntry& change : changes)
            onChange(change);
    }
    return absl::OkStatus();
}

std::uint64_t EmbeddedStore::revision() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_revision;
}

std::vector<StoreEntry> EmbeddedStore::changesSince(const std::string& prefix, std::uint64_t fromRevision) const
{
    std::vector<StoreEntry> changes;
    for (const auto& entry : m_entries) {
        if (hasPrefix(entry.first, prefix) && entry.second.modRevision >= fromRevision)
            changes.push_back(entry.second);
    }
    std::sort(changes.begin(), changes.end(), [](const StoreEntry& left, const StoreEntry& right) { return left.modRevision < right.modRevision; });
    return changes;
}

} // namespace egrettrestle
