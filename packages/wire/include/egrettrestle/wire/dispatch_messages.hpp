#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>
#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// What one VM sends another in one request: what has gathered since the last one, and what every message carries.
struct DispatchBatch {
    VmId from;
    /// Names one life of the sender's process.
    std::uint64_t life = 0;
    /// The life that it is meant for; 0 before the first reply.
    std::uint64_t receiverLife = 0;
    /// Counts the batches of this life to this receiver; a repeated one is not acted on again.
    std::uint64_t sequence = 0;
    std::string address;
    Epoch epoch;
    std::uint64_t configurationVersion = 0;
    /// The receiver's mark of its last reply. Too old a mark shows that the batch was held up on the way.
    std::uint64_t mark = 0;
    RoomReport room;
    std::vector<PeerMessage> messages;
};

/// Answer to a batch.
struct DispatchReply {
    std::uint64_t life = 0;
    Epoch epoch;
    std::uint64_t configurationVersion = 0;
    std::uint64_t mark = 0;
    /// Whether the messages were acted on, now or before.
    bool taken = false;
};

std::string toText(const DispatchBatch& batch, TimePoint now);
std::optional<DispatchBatch> parseDispatchBatch(std::string_view text, TimePoint now);

std::string toText(const DispatchReply& reply);
std::optional<DispatchReply> parseDispatchReply(std::string_view text);

} // namespace egrettrestle
