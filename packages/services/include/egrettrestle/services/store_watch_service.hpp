#pragma once

#include <atomic>
#include <thread>

#include <egrettrestle/services/service_context.hpp>
#include <egrettrestle/store/store.hpp>

namespace egrettrestle {

/// Watches the manifest and the views of all data centres in the platform's store, and passes each change on to the
/// service concerned. Reads all entries first, then watches from that revision on; starts over when the watch ends.
class StoreWatchService : public KernelService {
public:
    explicit StoreWatchService(ServiceContext& context)
        : m_context(context)
    {
    }
    ~StoreWatchService() override { stop(); }

    std::string name() const override { return serviceNames::storeWatch; }
    absl::Status start() override;
    void stop() override;

private:
    void run();
    bool readSnapshot(std::uint64_t& revision);
    void handleEntry(const StoreEntry& entry);
    void reportReachability(bool reachable, const std::string& detail);

    ServiceContext& m_context;
    std::atomic<bool> m_stopping { false };
    bool m_unreachable = false;
    std::thread m_thread;
};

} // namespace egrettrestle
