#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/decision/manifest.hpp>
#include <egrettrestle/store/store.hpp>

namespace egrettrestle {

/// What came of shipping a manifest.
enum class ShipVerdict {
    /// The store holds the change, or held it before others followed.
    Shipped,
    /// Another change was there first; nothing was written.
    Conflict,
    /// The store did not answer in time; the change may take effect or not.
    Unknown,
    /// The store was never reached, so nothing was written.
    NotShipped,
};

struct ShipResult {
    ShipVerdict verdict = ShipVerdict::Unknown;
    /// With `Shipped` the revision of the change, with `Conflict` that of the other one.
    std::uint64_t revision = 0;
    /// With `Conflict`: whose change is in force.
    std::string otherChangeId;
    std::string otherAuthor;
    std::string detail;
};

/// What is in the store.
struct StoredManifest {
    std::optional<Manifest> manifest;
    std::uint64_t modRevision = 0;
};

/// Ships a checked manifest by compare-and-swap, as the revision after the present one. The change id makes it safe to
/// repeat: whether an earlier try took effect is read back from the store. With `expectedRevision` the present revision
/// must be that one. Repeats after lost replies until `patience` is over.
ShipResult shipManifest(Store& store, Manifest manifest, std::optional<std::uint64_t> expectedRevision, Milliseconds patience);

/// Reads the manifest in the store; none if there is none yet.
absl::StatusOr<StoredManifest> readStoredManifest(Store& store);

} // namespace egrettrestle
