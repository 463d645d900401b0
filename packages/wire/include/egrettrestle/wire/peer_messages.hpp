#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egrettrestle/decision/claim.hpp>
#include <egrettrestle/decision/view.hpp>

namespace egrettrestle {

/// What every message between VMs says of its sender. Messages to another incarnation are refused.
struct PeerHeader {
    Epoch epoch;
    Incarnation sender;
    Incarnation receiver;
};

/// Questions of an executor to a registrar, sent in one message.
struct ClaimBatch {
    PeerHeader header;
    std::vector<ClaimRequest> requests;
};

/// The answers, one a question and in the same order.
struct ClaimBatchReply {
    Epoch epoch;
    std::vector<ClaimReply> answers;
};

/// Records of a registrar for a mirror, sent in one message.
struct RecordBatch {
    PeerHeader header;
    std::vector<RecordRequest> requests;
};

struct RecordBatchReply {
    Epoch epoch;
    std::vector<RecordReply> answers;
};

/// Hand-overs of several buckets to one VM.
struct HandoverBatch {
    PeerHeader header;
    std::vector<Handover> handovers;
};

/// A VM states that its incarnation grants nothing any more, with every claim it knows.
struct Resignation {
    Epoch epoch;
    Incarnation resigner;
    std::vector<Claim> claims;
};

/// A sign of life, with what the peer should have heard of.
struct Heartbeat {
    PeerHeader header;
    std::uint64_t manifestRevision = 0;
};

/// The addressee's side of a heartbeat.
struct HeartbeatReply {
    Epoch epoch;
    Incarnation incarnation;
    std::uint64_t manifestRevision = 0;
};

/// @name conversions
/// Times travel as milliseconds left, counted from `now`. Reading gives nothing for a malformed text.
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
