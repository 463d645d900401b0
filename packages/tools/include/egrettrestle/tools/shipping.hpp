#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/decision/manifest.hpp>
#include <egrettrestle/store/store.hpp>

namespace egrettrestle {

/// The outcome of shipping a manifest, that is, of publishing it in the store.
enum class ShipVerdict {
    /// The store holds the change, as its manifest or in the manifest's history.
    Shipped,
    /// Another change was written first; this one was not written.
    Conflict,
    /// The store did not answer a write in time; the change may or may not have been written.
    Unknown,
    /// The store did not answer, so no write was attempted.
    NotShipped,
};

/// The result of shipManifest().
struct ShipResult {
    ShipVerdict verdict = ShipVerdict::Unknown;
    /// With `Shipped`, the revision of the change; with `Conflict`, the revision in the store.
    std::uint64_t revision = 0;
    /// With `Conflict`, the change in the store and its author.
    std::string otherChangeId;
    std::string otherAuthor;
    std::string detail;
};

/// The manifest in the store, if there is a valid one, and the entry's modification revision, 0 if there is no entry.
struct StoredManifest {
    std::optional<Manifest> manifest;
    std::uint64_t modRevision = 0;
};

/// Ships a validated manifest by compare-and-swap, as the successor of the current revision. The change id makes the
/// call idempotent: the store's manifest and its history show whether an earlier attempt took effect. With
/// `expectedRevision`, any other current revision is a conflict. Retries failed attempts until `retryTimeout` has
/// passed.
ShipResult shipManifest(Store& store, Manifest manifest, std::optional<std::uint64_t> expectedRevision, Milliseconds retryTimeout);

/// Reads the manifest from the store. Returns the store's error if it cannot be read.
absl::StatusOr<StoredManifest> readStoredManifest(Store& store);

} // namespace egrettrestle
