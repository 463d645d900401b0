#include <egrettrestle/tools/shipping.hpp>

#include <algorithm>
#include <thread>

#include <egrettrestle/wire/manifest_json.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds retryPause { 100 };

    /// The revision under which a change is in a manifest or its history, if it is.
    std::optional<std::uint64_t> revisionOf(const Manifest& manifest, const std::string& changeId)
    {
        if (manifest.changeId == changeId)
            return manifest.revision;
        const auto found = std::find_if(manifest.history.begin(), manifest.history.end(), [&changeId](const ChangeRecord& record) { return record.changeId == changeId; });
        if (found == manifest.history.end())
            return std::nullopt;
        return found->revision;
    }

    /// Makes `manifest` the successor of what is in the store.
    void follow(Manifest& manifest, const std::optional<Manifest>& present)
    {
        manifest.revision = 1;
        manifest.history.clear();
        if (!present)
            return;
        manifest.revision = present->revision + 1;
        manifest.history = present->history;
        manifest.history.push_back({ present->revision, present->changeId, present->author });
        if (manifest.history.size() > changeHistoryLimit)
            manifest.history.erase(manifest.history.begin(), manifest.history.end() - changeHistoryLimit);
    }

    ShipResult conflictWith(const std::optional<Manifest>& present, const std::string& detail)
    {
        ShipResult result;
        result.verdict = ShipVerdict::Conflict;
        result.detail = detail;
        if (present) {
            result.revision = present->revision;
            result.otherChangeId = present->changeId;
            result.otherAuthor = present->author;
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

ShipResult shipManifest(Store& store, Manifest manifest, std::optional<std::uint64_t> expectedRevision, Milliseconds patience)
{
    const TimePoint end = SteadyClock::now() + patience;
    bool triedToWrite = false;
    std::optional<std::uint64_t> base;
    ShipResult last;
    while (true) {
        const absl::StatusOr<StoredManifest> stored = readStoredManifest(store);
        if (stored.ok()) {
            const std::optional<Manifest>& present = stored->manifest;
            const std::optional<std::uint64_t> ours = present ? revisionOf(*present, manifest.changeId) : std::nullopt;
            if (ours)
                return shipped(*ours);
            const std::uint64_t revision = present ? present->revision : 0;
            if (expectedRevision && revision != *expectedRevision)
                return conflictWith(present, "revision " + std::to_string(revision) + " is in force, expected " + std::to_string(*expectedRevision));
            // Somebody else's change came between two tries of this one.
            if (base && *base != stored->modRevision)
                return conflictWith(present, "another change was shipped at the same time");
            base = stored->modRevision;
            follow(manifest, present);
            triedToWrite = true;
            const absl::StatusOr<bool> swapped = store.compareAndSwap(storeKeys::manifest, stored->modRevision, manifestText(manifest));
            if (swapped.ok() && *swapped)
                return shipped(manifest.revision);
            last.detail = swapped.ok() ? "the store changed meanwhile" : std::string(swapped.status().message());
        } else {
            last.detail = std::string(stored.status().message());
        }
        if (SteadyClock::now() + retryPause >= end)
            break;
        std::this_thread::sleep_for(retryPause);
    }
    last.verdict = triedToWrite ? ShipVerdict::Unknown : ShipVerdict::NotShipped;
    return last;
}

} // namespace egrettrestle
