#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/peer_channel.hpp>
#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// What one VM sends another in one request: what has gathered since the last one, and what every message carries.
struct DispatchBatch {
    VmId sender;
    BatchHeader stamp;
    std::string address;
    Epoch epoch;
    std::uint64_t configurationVersion = 0;
    CapacityReport capacity;
    std::vector<PeerMessage> messages;
};

/// Answer to a batch.
struct DispatchReply {
    BatchReply channel;
    Epoch epoch;
    std::uint64_t configurationVersion = 0;
};

std::string toText(const DispatchBatch& batch, TimePoint now);
std::optional<DispatchBatch> parseDispatchBatch(std::string_view text, TimePoint now);

std::string toText(const DispatchReply& reply);
std::optional<DispatchReply> parseDispatchReply(std::string_view text);

} // namespace egrettrestle
