#pragma once

#include <atomic>
#include <thread>

#include <egrettrestle/services/node.hpp>
#include <egrettrestle/store/store.hpp>

namespace egrettrestle {

/// Follows the manifest and the views of all data centres in the platform's store: one read, then one waiting watch.
class StoreWatchService : public KernelService {
public:
    explicit StoreWatchService(Node& node)
        : m_node(node)
    {
    }
    ~StoreWatchService() override { stop(); }

    std::string name() const override { return serviceNames::storeWatch; }
    absl::Status start() override;
    void stop() override;

private:
    void run();
    bool readAll(std::uint64_t& revision);
    void note(const StoreEntry& entry);
    void noteStore(bool reachable, const std::string& detail);

    Node& m_node;
    std::atomic<bool> m_stopping { false };
    bool m_lost = false;
    std::thread m_thread;
};

} // namespace egrettrestle
