#include <egrettrestle/services/store_watch_service.hpp>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/services/jobs_service.hpp>
#include <egrettrestle/services/manifest_service.hpp>
#include <egrettrestle/services/membership_service.hpp>
#include <egrettrestle/services/platform_service.hpp>

namespace egrettrestle {

namespace {

    // A watch whose connection has silently died is found at its next renewal; peers tell of changes meanwhile.
    constexpr Milliseconds watchLength { 60'000 };
    constexpr Milliseconds retryPause { 1'000 };
    constexpr Milliseconds stopPollInterval { 50 };

}

absl::Status StoreWatchService::start()
{
    std::uint64_t revision = 0;
    readAll(revision);
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
    Store& store = m_node.kernel.find<PlatformService>(serviceNames::platform).store();
    while (!m_stopping) {
        std::uint64_t revision = 0;
        if (readAll(revision)) {
            const absl::Status status = store.watch(storeKeys::prefix, revision + 1, watchLength, Milliseconds { 0 }, m_stopping, [this](const StoreEntry& entry) { note(entry); });
            if (status.ok())
                continue;
            noteStore(false, std::string(status.message()));
        }
        const TimePoint next = SteadyClock::now() + retryPause;
        while (!m_stopping && SteadyClock::now() < next)
            std::this_thread::sleep_for(stopPollInterval);
    }
}

bool StoreWatchService::readAll(std::uint64_t& revision)
{
    Store& store = m_node.kernel.find<PlatformService>(serviceNames::platform).store();
    const absl::StatusOr<StoreSnapshot> snapshot = store.readPrefix(storeKeys::prefix);
    noteStore(snapshot.ok(), snapshot.ok() ? std::string() : std::string(snapshot.status().message()));
    if (!snapshot.ok())
        return false;
    for (const StoreEntry& entry : snapshot->entries)
        note(entry);
    revision = snapshot->revision;
    return true;
}

void StoreWatchService::note(const StoreEntry& entry)
{
    if (entry.key == storeKeys::manifest) {
        m_node.kernel.find<ManifestService>(serviceNames::manifest).offer(entry.value, "store");
        return;
    }
    if (entry.key.compare(0, storeKeys::viewPrefix.size(), storeKeys::viewPrefix) != 0)
        return;
    const DataCentreId dataCentre = entry.key.substr(storeKeys::viewPrefix.size());
    if (dataCentre == m_node.settings.dataCentre) {
        m_node.kernel.find<MembershipService>(serviceNames::membership).noteStoredView(entry);
        return;
    }
    const std::optional<View> view = parseView(entry.value);
    if (view)
        m_node.kernel.find<JobsService>(serviceNames::jobs).noteOtherView(dataCentre, *view);
}

void StoreWatchService::noteStore(bool reachable, const std::string& detail)
{
    if (reachable == m_lost)
        logEvent(reachable ? events::storeRecovered : events::storeLost, detail);
    m_lost = !reachable;
    m_node.metrics.setGauge("store_reachable", reachable ? 1 : 0);
}

} // namespace egrettrestle
