#include <egrettrestle/tools/shipping.hpp>

#include <algorithm>
#include <thread>

#include <egrettrestle/wire/manifest_json.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds retryDelay { 100 };

    /// The revision of a change that is a manifest's own or in its history; nothing for other changes.
    std::optional<std::uint64_t> revisionOf(const Manifest& manifest, const std::string& changeId)
    {
        if (manifest.changeId == changeId)
            return manifest.revision;
        const auto found = std::find_if(manifest.history.begin(), manifest.history.end(), [&changeId](const ChangeRecord& record) { return record.changeId == changeId; });
        if (found == manifest.history.end())
            return std::nullopt;
        return found->revision;
    }

    /// Sets the revision and the history of `manifest` to follow the current one.
    void makeSuccessor(Manifest& manifest, const std::optional<Manifest>& current)
    {
        manifest.revision = 1;
        manifest.history.clear();
        if (!current)
            return;
        manifest.revision = current->revision + 1;
        manifest.history = current->history;
        manifest.history.push_back({ current->revision, current->changeId, current->author });
        if (manifest.history.size() > changeHistoryLimit)
            manifest.history.erase(manifest.history.begin(), manifest.history.end() - changeHistoryLimit);
    }

    ShipResult conflictWith(const std::optional<Manifest>& current, const std::string& detail)
    {
        ShipResult result;
        result.verdict = ShipVerdict::Conflict;
        result.detail = detail;
        if (current) {
            result.revision = current->revision;
            result.otherChangeId = current->changeId;
            result.otherAuthor = current->author;
        }
        return result;
    }

    ShipResult shipped(std::uint64_t revision)
    {
        ShipResult result;
        result.verdict = ShipVerdict::Shipped;
        result.revision = revision;
        return result;
    }

}

absl::StatusOr<StoredManifest> readStoredManifest(Store& store)
{
    const absl::StatusOr<StoreEntry> entry = store.read(storeKeys::manifest);
    if (!entry.ok())
        return entry.status();
    StoredManifest stored;
    stored.modRevision = entry->modRevision;
    if (entry->modRevision != 0)
        stored.manifest = parseManifest(entry->value).manifest;
    return stored;
}

ShipResult shipManifest(Store& store, Manifest manifest, std::optional<std::uint64_t> expectedRevision, Milliseconds retryTimeout)
{
    const TimePoint end = SteadyClock::now() + retryTimeout;
    bool writeAttempted = false;
    std::optional<std::uint64_t> attemptedModRevision;
    ShipResult last;
    while (true) {
        const absl::StatusOr<StoredManifest> stored = readStoredManifest(store);
        if (stored.ok()) {
            const std::optional<Manifest>& current = stored->manifest;
            const std::optional<std::uint64_t> shippedRevision = current ? revisionOf(*current, manifest.changeId) : std::nullopt;
            if (shippedRevision)
                return shipped(*shippedRevision);
            const std::uint64_t revision = current ? current->revision : 0;
            if (expectedRevision && revision != *expectedRevision)
                return conflictWith(current, "revision " + std::to_string(revision) + " is in force, expected " + std::to_string(*expectedRevision));
            // Another change was written between two attempts of this one.
            if (attemptedModRevision && *attemptedModRevision != stored->modRevision)
                return conflictWith(current, "another change was shipped at the same time");
            attemptedModRevision = stored->modRevision;
            makeSuccessor(manifest, current);
            writeAttempted = true;
            const absl::StatusOr<bool> swapped = store.compareAndSwap(storeKeys::manifest, stored->modRevision, manifestText(manifest));
            if (swapped.ok() && *swapped)
                return shipped(manifest.revision);
            last.detail = swapped.ok() ? "the store changed meanwhile" : std::string(swapped.status().message());
        } else {
            last.detail = std::string(stored.status().message());
        }
        if (SteadyClock::now() + retryDelay >= end)
            break;
        std::this_thread::sleep_for(retryDelay);
    }
    last.verdict = writeAttempted ? ShipVerdict::Unknown : ShipVerdict::NotShipped;
    return last;
}

} // namespace egrettrestle
