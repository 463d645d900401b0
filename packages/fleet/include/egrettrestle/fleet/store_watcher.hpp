#pragma once

#include <list>
#include <set>
#include <string>
#include <thread>

#include <egrettrestle/fleet/fleet_context.hpp>

namespace egrettrestle {

/// Follows the store: the configuration, the upstreams that discovery lists, and the keys of egrettrestle itself. What
/// was last read stays in force while the store is away.
class StoreWatcher : public KernelService {
public:
    explicit StoreWatcher(FleetContext& node);
    ~StoreWatcher() override;

    std::string name() const override { return fleetServices::storeWatcher; }
    absl::Status start() override;
    void prepareStop() override { m_stopping = true; }
    void stop() override;

    /// Takes a configuration in that a peer has in force.
    void applyConfiguration(const std::string& text, const char* source);

private:
    /// One prefix that is followed.
    struct Stream {
        std::string prefix;
        Milliseconds gatherTime { 0 };
        std::uint64_t revision = 0;
        std::set<std::string> keys;
        bool lost = false;
        TimePoint lostSince;
        std::thread thread;
    };

    void follow(Stream& stream);
    absl::Status readAll(Stream& stream);
    absl::Status watch(Stream& stream);
    void take(Stream& stream, const StoreEntry& entry);
    void takeUpstream(Stream& stream, const StoreEntry& entry);
    void dropUpstream(Stream& stream, const std::string& key);
    void storeLost(Stream& stream, const absl::Status& status);
    void storeAnswers(Stream& stream);

    FleetContext& m_node;
    std::atomic<bool> m_stopping { false };
    std::list<Stream> m_streams;
};

} // namespace egrettrestle
