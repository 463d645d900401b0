#pragma once

#include <condition_variable>
#include <map>
#include <mutex>

#include <egrettrestle/store/store.hpp>

namespace egrettrestle {

/// An in-memory store, for a stand-alone VM and for stand-ins. Nothing is kept when it is destroyed. No call fails.
class EmbeddedStore : public Store {
public:
    absl::StatusOr<StoreEntry> read(const std::string& key) override;
    absl::StatusOr<StoreSnapshot> readPrefix(const std::string& prefix) override;
    absl::StatusOr<bool> compareAndSwap(const std::string& key, std::uint64_t expectedModRevision, const std::string& value) override;
    absl::Status watch(const std::string& prefix, std::uint64_t fromRevision, Milliseconds duration, Milliseconds batchInterval, const std::atomic<bool>& stop,
        const std::function<void(const StoreEntry&)>& onChange) override;

    /// The number of writes so far.
    std::uint64_t revision() const;

private:
    std::vector<StoreEntry> changesSince(const std::string& prefix, std::uint64_t fromRevision) const;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, StoreEntry> m_entries;
    std::uint64_t m_revision = 0;
};

} // namespace egrettrestle
