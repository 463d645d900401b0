#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egrettrestle/base/validation_error.hpp>
#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/evacuations.hpp>
#include <egrettrestle/decision/peer_channel.hpp>
#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// What one VM sends to another in one request: the messages queued since the last request, and the sender's state.
struct DispatchBatch {
    VmId sender;
    BatchHeader stamp;
    std::string address;
    Epoch epoch;
    std::uint64_t configurationVersion = 0;
    CapacityReport capacity;
    std::vector<PeerMessage> messages;
    /// The data centres that are being evacuated. Empty if the sender has never known of any evacuation.
    std::optional<Evacuations> evacuations = {};
    /// How long ago the sender last knew which of its callers are connected, and whose time is over.
    Milliseconds executorLag { 0 };
};

/// The reply to a batch.
struct DispatchReply {
    BatchReply channel;
    Epoch epoch;
    std::uint64_t configurationVersion = 0;
};

/// @name conversions
/// Points in time are sent as milliseconds from `now`. Parsing returns nothing for a malformed text.
/// @{
std::string toText(const DispatchBatch& batch, TimePoint now);
std::optional<DispatchBatch> parseDispatchBatch(std::string_view text, TimePoint now);
/// The same, and adds what is wrong to `errors`, which must be empty.
std::optional<DispatchBatch> parseDispatchBatch(std::string_view text, TimePoint now, std::vector<ValidationError>& errors);

std::string toText(const DispatchReply& reply);
std::optional<DispatchReply> parseDispatchReply(std::string_view text);
/// @}

} // namespace egrettrestle
