#pragma once

#include <list>
#include <map>
#include <set>
#include <string>
#include <thread>

#include <egrettrestle/fleet/fleet_context.hpp>

namespace egrettrestle {

/// Watches the store for changes of the configuration, of the upstreams and of egrettrestle's own keys, and applies them.
/// While the store is unreachable, what was last read stays in force.
class StoreWatcher : public KernelService {
public:
    explicit StoreWatcher(FleetContext& context);
    ~StoreWatcher() override;

    std::string name() const override { return fleetServices::storeWatcher; }
    /// Starts one thread for each watched prefix.
    absl::Status start() override;
    void prepareStop() override { m_stopping = true; }
    void stop() override;

    /// Parses a configuration and puts it in force if its version is higher than the current one's. An invalid one is
    /// logged and ignored. `source` says where the text came from, for the log. Safe for use by several threads.
    void applyConfiguration(const std::string& text, const char* source);

private:
    /// One watched prefix, used by its own thread only while that runs.
    struct Stream {
        std::string prefix;
        Milliseconds batchInterval { 0 };
        /// Whether all entries have been read, so that only changes have to be watched.
        bool complete = false;
        /// Revision up to which changes have been applied.
        std::uint64_t revision = 0;
        /// Keys of the upstreams that are listed, with the digests of their entries.
        std::map<std::string, std::size_t> upstreams;
        /// Those of them with a field that cannot be read. Each is logged once, as entries are written with every heartbeat.
        std::set<std::string> keysWithIgnoredFields;
        /// The data centres that are being evacuated, in the operators' stream.
        std::set<DataCentreId> evacuated;
        /// Whether `evacuated` has changed since it was last passed on.
        bool evacuationsChanged = false;
        bool storeUnavailable = false;
        TimePoint unavailableSince;
        WorkKind work = WorkKind::OperatorWatch;
        /// The thread's processor time that has been counted.
        Duration workCounted { 0 };
        std::thread thread;
    };

    void watchLoop(Stream& stream);
    bool readAndWatch(Stream& stream);
    absl::Status readAll(Stream& stream);
    absl::Status watch(Stream& stream);
    void countWork(Stream& stream);
    void applyEntry(Stream& stream, const StoreEntry& entry);
    void rejectEntry(const StoreEntry& entry, const std::string& fault);
    void applyEvacuation(Stream& stream, const StoreEntry& entry);
    /// Passes the evacuations on as read at a revision of the store.
    void publishEvacuations(Stream& stream, std::uint64_t revision);
    void applyUpstream(Stream& stream, const StoreEntry& entry);
    void removeUpstream(Stream& stream, const std::string& key);
    void onStoreUnavailable(Stream& stream, const absl::Status& status);
    void onStoreReply(Stream& stream);

    FleetContext& m_context;
    std::atomic<bool> m_stopping { false };
    std::list<Stream> m_streams;
};

} // namespace egrettrestle
