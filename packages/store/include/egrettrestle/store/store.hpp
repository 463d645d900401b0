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

/// One key of the store. `modRevision` is the store's revision at its last change, 0 for a key that does not exist.
struct StoreEntry {
    std::string key;
    std::string value;
    std::uint64_t modRevision = 0;
    /// Set by a watch for a key that has been deleted; its value is empty.
    bool removed = false;
    /// Why the store's item could not be decoded; empty if it was. The value is then empty, and so is a key that could not be
    /// read.
    std::string fault = {};
    /// Set by a watch that delivers several changes at once, for all but the last of them. Changes of one transaction have
    /// one revision and are delivered together.
    bool moreFollow = false;
    /// Set by a watch for the last change of a delivery: the store's revision up to which all changes have been delivered; 0
    /// if the store does not tell.
    std::uint64_t deliveredUntil = 0;
};

/// All keys under a prefix at one revision of the store.
struct StoreSnapshot {
    std::uint64_t revision = 0;
    std::vector<StoreEntry> entries;
};

/// Error codes of calls to the platform; errorCode() reads them from a status.
namespace platformErrors {

    /// The call was not sent.
    inline constexpr int storeUnreachable = 411;
    /// The call was sent but no reply received: it may have taken effect.
    inline constexpr int storeOutcomeUnknown = 412;
    /// The reply has an unexpected status or a malformed body.
    inline constexpr int storeBadReply = 413;
    /// The list of VMs could not be read: no reply, or no readable file.
    inline constexpr int vmListUnreachable = 421;
    /// The list of VMs is malformed.
    inline constexpr int vmListBadReply = 422;
    /// The history no longer reaches back to the revision that a watch starts from.
    inline constexpr int storeHistoryCompacted = 431;
    /// The store rejected the call, as it is overloaded or unavailable.
    inline constexpr int storeOverloaded = 432;

}

/// The platform's key-value store, which is meant for small amounts of data and limits the rate of calls; a watch that
/// waits counts as one call. Errors are Unavailable with a code of platformErrors. Safe for use by several threads.
class Store {
public:
    virtual ~Store() = default;

    /// Reads one key. A key that does not exist gives an entry with revision 0.
    virtual absl::StatusOr<StoreEntry> read(const std::string& key) = 0;
    /// Reads all keys that begin with a prefix.
    virtual absl::StatusOr<StoreSnapshot> readPrefix(const std::string& prefix) = 0;

    /// Writes `value` if the key is still at `expectedModRevision` (0: does not exist). True if this call wrote it, false
    /// if the key was at another revision. After an error the write may or may not have taken effect.
    virtual absl::StatusOr<bool> compareAndSwap(const std::string& key, std::uint64_t expectedModRevision, const std::string& value) = 0;

    /// Calls `onChange` for each change of a key under a prefix, from `fromRevision` on, until `stop` is set, `duration`
    /// is over or the store fails, which gives an error. A store that counts each delivery of changes as a call waits for
    /// `batchInterval` between deliveries. Blocks meanwhile.
    virtual absl::Status watch(const std::string& prefix, std::uint64_t fromRevision, Milliseconds duration, Milliseconds batchInterval, const std::atomic<bool>& stop,
        const std::function<void(const StoreEntry&)>& onChange)
        = 0;
};

/// The keys that egrettrestle writes to the store.
namespace storeKeys {

    inline const std::string prefix = "/egrettrestle/";
    inline const std::string manifest = "/egrettrestle/manifest";
    inline const std::string viewPrefix = "/egrettrestle/view/";

}

} // namespace egrettrestle
