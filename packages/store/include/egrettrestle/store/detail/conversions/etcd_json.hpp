#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egrettrestle/store/store.hpp>

namespace egrettrestle::detail {

/// Request to `/v3/kv/range` for one key or, with `isPrefix`, for all keys that begin with it.
struct RangeRequest {
    std::string key;
    bool isPrefix = false;
};

/// Reply of `/v3/kv/range`: the entries at a revision of the store.
struct RangeReply {
    std::uint64_t revision = 0;
    std::vector<StoreEntry> entries;
};

/// Request to `/v3/kv/txn`: one comparison of the MOD revision and one put.
struct SwapRequest {
    std::string key;
    std::uint64_t expectedModRevision = 0;
    std::string value;
};

/// Request to `/v3/watch` for all keys under a prefix.
struct WatchRequest {
    std::string prefix;
    std::uint64_t fromRevision = 0;
};

/// @name conversions
/// Conversions to and from the gateway's JSON, which has keys and values in base64 and 64-bit numbers as strings. Parsing a
/// malformed text gives nothing.
/// @{
std::string toText(const RangeRequest& request);
std::string toText(const RangeReply& reply);
std::string toText(const SwapRequest& request);
std::string swapReplyText(std::uint64_t revision, bool succeeded);
std::string toText(const WatchRequest& request);
std::string watchCreatedText(std::uint64_t revision);
std::string watchEventsText(std::uint64_t revision, const std::vector<StoreEntry>& entries);

std::optional<RangeRequest> parseRangeRequest(std::string_view text);
std::optional<RangeReply> parseRangeReply(std::string_view text);
std::optional<SwapRequest> parseSwapRequest(std::string_view text);
std::optional<bool> parseSwapReply(std::string_view text);
std::optional<WatchRequest> parseWatchRequest(std::string_view text);
std::optional<std::vector<StoreEntry>> parseWatchEvents(std::string_view line);
/// @}

} // namespace egrettrestle::detail
