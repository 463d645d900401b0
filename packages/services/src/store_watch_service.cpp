#include <egrettrestle/services/store_watch_service.hpp>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/services/jobs_service.hpp>
#include <egrettrestle/services/manifest_service.hpp>
#include <egrettrestle/services/membership_service.hpp>
#include <egrettrestle/services/platform_service.hpp>

namespace egrettrestle {

namespace {

    // Bounds how long a watch on a dead connection goes unnoticed. Meanwhile peers report changes with their
    // heartbeats.
    constexpr Milliseconds watchDuration { 60'000 };
    constexpr Milliseconds retryInterval { 1'000 };
    constexpr Milliseconds stopPollInterval { 50 };

}

absl::Status StoreWatchService::start()
{
    std::uint64_t revision = 0;
    readSnapshot(revision);
    m_thread = std::thread([this] { run(); });
    return absl::OkStatus();
}

void StoreWatchService::stop()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void StoreWatchService::run()
{
    Store& store = m_context.kernel.find<PlatformService>(serviceNames::platform).store();
    while (!m_stopping) {
        std::uint64_t revision = 0;
        if (readSnapshot(revision)) {
            const absl::Status status = store.watch(storeKeys::prefix, revision + 1, watchDuration, Milliseconds { 0 }, m_stopping, [this](const StoreEntry& entry) { handleEntry(entry); });
            if (status.ok())
                continue;
            reportReachability(false, std::string(status.message()));
        }
        const TimePoint next = SteadyClock::now() + retryInterval;
        while (!m_stopping && SteadyClock::now() < next)
            std::this_thread::sleep_for(stopPollInterval);
    }
}

bool StoreWatchService::readSnapshot(std::uint64_t& revision)
{
    Store& store = m_context.kernel.find<PlatformService>(serviceNames::platform).store();
    const absl::StatusOr<StoreSnapshot> snapshot = store.readPrefix(storeKeys::prefix);
    reportReachability(snapshot.ok(), snapshot.ok() ? std::string() : std::string(snapshot.status().message()));
    if (!snapshot.ok())
        return false;
    for (const StoreEntry& entry : snapshot->entries)
        handleEntry(entry);
    revision = snapshot->revision;
    return true;
}

void StoreWatchService::handleEntry(const StoreEntry& entry)
{
    if (entry.key == storeKeys::manifest) {
        m_context.kernel.find<ManifestService>(serviceNames::manifest).applyIfNewer(entry.value, "store");
        return;
    }
    if (entry.key.compare(0, storeKeys::viewPrefix.size(), storeKeys::viewPrefix) != 0)
        return;
    const DataCentreId dataCentre = entry.key.substr(storeKeys::viewPrefix.size());
    if (dataCentre == m_context.settings.dataCentre) {
        m_context.kernel.find<MembershipService>(serviceNames::membership).handleStoredView(entry);
        return;
    }
    const std::optional<View> view = parseView(entry.value);
    if (view)
        m_context.kernel.find<JobsService>(serviceNames::jobs).updateRemoteView(dataCentre, *view);
}

void StoreWatchService::reportReachability(bool reachable, const std::string& detail)
{
    if (reachable == m_unreachable)
        logEvent(reachable ? events::storeRecovered : events::storeLost, detail);
    m_unreachable = !reachable;
    m_context.metrics.setGauge("store_reachable", reachable ? 1 : 0);
}

} // namespace egrettrestle
