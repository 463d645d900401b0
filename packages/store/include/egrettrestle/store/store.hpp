#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// One key of the store. `modRevision` is the store's revision at its last change, 0 for a key that is not there.
struct StoreEntry {
    std::string key;
    std::string value;
    std::uint64_t modRevision = 0;
    /// Set by a watch for a key that is no longer there; its value is empty.
    bool removed = false;
};

/// All keys under a prefix at one revision of the store.
struct StoreSnapshot {
    std::uint64_t revision = 0;
    std::vector<StoreEntry> entries;
};

/// The numbers of platform errors.
namespace platformErrors {

    inline constexpr int storeUnreachable = 411;
    inline constexpr int storeOutcomeUnknown = 412;
    inline constexpr int storeBadReply = 413;
    inline constexpr int vmListUnreachable = 421;
    inline constexpr int vmListBadReply = 422;
    inline constexpr int storeHistoryCompacted = 431;
    inline constexpr int storeOverloaded = 432;

}

/// The platform's small key-value store. Every call counts against its rates, a waiting watch as one. Errors are
/// Unavailable with a number of platformErrors. Safe for use by several threads.
class Store {
public:
    virtual ~Store() = default;

    virtual absl::StatusOr<StoreEntry> read(const std::string& key) = 0;
    virtual absl::StatusOr<StoreSnapshot> readPrefix(const std::string& prefix) = 0;

    /// Writes `value` if the key is still at `expectedModRevision` (0: is not there). True if this call wrote it, false if
    /// the key was at another revision. After an error the write may or may not have taken effect.
    virtual absl::StatusOr<bool> compareAndSwap(const std::string& key, std::uint64_t expectedModRevision, const std::string& value) = 0;

    /// Calls `onChange` for each change under a prefix from a revision on, until `stop` is set, `length` is over or the
    /// store is lost, which gives an error. Where the store counts each delivery as a call, changes are gathered for
    /// `gatherTime` between deliveries.
    virtual absl::Status watch(const std::string& prefix, std::uint64_t fromRevision, Milliseconds length, Milliseconds gatherTime, const std::atomic<bool>& stop,
        const std::function<void(const StoreEntry&)>& onChange)
        = 0;
};

/// The keys that egrettrestle keeps in the store.
namespace storeKeys {

    inline const std::string prefix = "/egrettrestle/";
    inline const std::string manifest = "/egrettrestle/manifest";
    inline const std::string viewPrefix = "/egrettrestle/view/";

}

} // namespace egrettrestle
