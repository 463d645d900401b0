#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egrettrestle/decision/claim.hpp>
#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// The header of every message between VMs. A VM refuses messages that are addressed to another incarnation.
struct PeerHeader {
    Epoch epoch;
    Incarnation sender;
    Incarnation receiver;
};

/// Claim requests of an executor to the primary of their claims, sent in one message.
struct ClaimBatch {
    PeerHeader header;
    std::vector<ClaimRequest> requests;
};

/// The answers, one per request and in the same order.
struct ClaimBatchReply {
    Epoch epoch;
    std::vector<ClaimReply> answers;
};

/// Claim records that a primary replicates to a backup, sent in one message.
struct RecordBatch {
    PeerHeader header;
    std::vector<RecordRequest> requests;
};

/// The backup's answers, one per request and in the same order.
struct RecordBatchReply {
    Epoch epoch;
    std::vector<RecordReply> answers;
};

/// Handovers of several buckets of claims to one VM.
struct HandoverBatch {
    PeerHeader header;
    std::vector<Handover> handovers;
};

/// A VM's announcement that its incarnation no longer grants claims, with all claims that it knows.
struct Resignation {
    Epoch epoch;
    Incarnation resigner;
    std::vector<Claim> claims;
};

/// A heartbeat, with the epoch and the manifest revision that the peer should also have.
struct Heartbeat {
    PeerHeader header;
    std::uint64_t manifestRevision = 0;
};

/// The receiver's reply to a heartbeat.
struct HeartbeatReply {
    Epoch epoch;
    Incarnation incarnation;
    std::uint64_t manifestRevision = 0;
};

/// @name conversions
/// Points in time are sent as milliseconds from `now`. Parsing returns nothing for a malformed text.
/// @{
std::string toText(const ClaimBatch& batch);
std::string toText(const ClaimBatchReply& reply);
std::string toText(const RecordBatch& batch, TimePoint now);
std::string toText(const RecordBatchReply& reply, TimePoint now);
std::string toText(const HandoverBatch& batch, TimePoint now);
std::string toText(const Resignation& resignation, TimePoint now);
std::string toText(const Heartbeat& heartbeat);
std::string toText(const HeartbeatReply& reply);
std::string toText(const View& view);

std::optional<ClaimBatch> parseClaimBatch(std::string_view text);
std::optional<ClaimBatchReply> parseClaimBatchReply(std::string_view text);
std::optional<RecordBatch> parseRecordBatch(std::string_view text, TimePoint now);
std::optional<RecordBatchReply> parseRecordBatchReply(std::string_view text, TimePoint now);
std::optional<HandoverBatch> parseHandoverBatch(std::string_view text, TimePoint now);
std::optional<Resignation> parseResignation(std::string_view text, TimePoint now);
std::optional<Heartbeat> parseHeartbeat(std::string_view text);
std::optional<HeartbeatReply> parseHeartbeatReply(std::string_view text);
std::optional<View> parseView(std::string_view text);
/// @}

} // namespace egrettrestle
