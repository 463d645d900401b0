#include <egrettrestle/wire/peer_messages.hpp>

#include <egrettrestle/wire/detail/conversions/parse_message.hpp>

namespace egrettrestle {

namespace {

    using nlohmann::json;

    constexpr detail::ErrorCodeRange peerErrorCodes { 500 };

    json headerJson(const PeerHeader& header)
    {
        return { { "epoch", header.epoch.value }, { "from", header.sender.value }, { "to", header.receiver.value } };
    }

    PeerHeader readHeader(detail::ObjectReader& reader)
    {
        return { { reader.number("epoch") }, { reader.number("from") }, { reader.number("to") } };
    }

    json claimJson(const Claim& claim, TimePoint now)
    {
        return {
            { "key", toHex(claim.key) },
            { "body", claim.bodyDigest },
            { "holder", claim.holder.value },
            { "leftMs", toMilliseconds(claim.expiry - now).count() },
            { "generation", claim.generation },
            { "state", static_cast<int>(claim.state) },
        };
    }

    SubmissionKey readKey(detail::ObjectReader& reader, std::vector<ValidationError>& errors)
    {
        SubmissionKey key;
        const std::string text = reader.text("key");
        if (!fromHex(text, key))
            errors.push_back({ peerErrorCodes.outOfRange(), reader.pointer("key"), text, "32 hexadecimal digits" });
        return key;
    }

    /// Reads an enumerator that is sent as a number. A number above `last` is an error and reads as `last`.
    template <typename Enum>
    Enum readEnum(detail::ObjectReader& reader, const char* key, Enum last, std::vector<ValidationError>& errors)
    {
        const std::uint64_t value = reader.number(key);
        if (value <= static_cast<std::uint64_t>(last))
            return static_cast<Enum>(value);
        errors.push_back({ peerErrorCodes.outOfRange(), reader.pointer(key), std::to_string(value), "a known value" });
        return last;
    }

    Claim readClaim(const json& value, const std::string& pointer, TimePoint now, std::vector<ValidationError>& errors)
    {
        detail::ObjectReader reader(value, pointer, peerErrorCodes, errors);
        Claim claim;
        claim.key = readKey(reader, errors);
        claim.bodyDigest = reader.number("body");
        claim.holder.value = reader.number("holder");
        claim.expiry = now + reader.milliseconds("leftMs");
        claim.generation = static_cast<std::uint8_t>(reader.number("generation"));
        claim.state = readEnum(reader, "state", ClaimState::Released, errors);
        return claim;
    }

    json claimsJson(const std::vector<Claim>& claims, TimePoint now)
    {
        json list = json::array();
        for (const Claim& claim : claims) {
            if (claim.expiry > now)
                list.push_back(claimJson(claim, now));
        }
        return list;
    }

    std::vector<Claim> readClaims(detail::ObjectReader& reader, TimePoint now, std::vector<ValidationError>& errors)
    {
        std::vector<Claim> claims;
        for (const json& element : reader.array("claims"))
            claims.push_back(readClaim(element, reader.pointer("claims", claims.size()), now, errors));
        return claims;
    }

}

std::string toText(const ClaimBatch& batch)
{
    json value = headerJson(batch.header);
    json& requests = value["requests"] = json::array();
    for (const ClaimRequest& request : batch.requests)
        requests.push_back({ { "kind", static_cast<int>(request.kind) }, { "key", toHex(request.key) }, { "body", request.bodyDigest }, { "executor", request.executor.value }, { "firstSent", request.firstSent.value } });
    return value.dump();
}

std::optional<ClaimBatch> parseClaimBatch(std::string_view text)
{
    return detail::parseMessage<ClaimBatch>(text, peerErrorCodes, [](detail::ObjectReader& reader, std::vector<ValidationError>& errors) {
        ClaimBatch batch;
        batch.header = readHeader(reader);
        for (const json& element : reader.array("requests")) {
            detail::ObjectReader item(element, reader.pointer("requests", batch.requests.size()), peerErrorCodes, errors);
            ClaimRequest request;
            request.kind = readEnum(item, "kind", ClaimRequestKind::Release, errors);
            request.key = readKey(item, errors);
            request.bodyDigest = item.number("body");
            request.executor.value = item.number("executor");
            request.firstSent.value = item.number("firstSent");
            batch.requests.push_back(request);
        }
        return batch;
    });
}

std::string toText(const ClaimBatchReply& reply)
{
    json value { { "epoch", reply.epoch.value } };
    json& answers = value["answers"] = json::array();
    for (const ClaimReply& answer : reply.answers)
        answers.push_back({ { "verdict", static_cast<int>(answer.outcome) }, { "holder", answer.holder.value }, { "state", static_cast<int>(answer.state) }, { "neverRan", answer.neverRan } });
    return value.dump();
}

std::optional<ClaimBatchReply> parseClaimBatchReply(std::string_view text)
{
    return detail::parseMessage<ClaimBatchReply>(text, peerErrorCodes, [](detail::ObjectReader& reader, std::vector<ValidationError>& errors) {
        ClaimBatchReply reply;
        reply.epoch.value = reader.number("epoch");
        for (const json& element : reader.array("answers")) {
            detail::ObjectReader item(element, reader.pointer("answers", reply.answers.size()), peerErrorCodes, errors);
            ClaimReply answer;
            answer.outcome = readEnum(item, "verdict", ClaimOutcome::Unavailable, errors);
            answer.holder.value = item.number("holder");
            answer.state = readEnum(item, "state", ClaimState::Released, errors);
            answer.neverRan = item.boolean("neverRan");
            reply.answers.push_back(answer);
        }
        return reply;
    });
}

std::string toText(const RecordBatch& batch, TimePoint now)
{
    json value = headerJson(batch.header);
    json& requests = value["requests"] = json::array();
    for (const RecordRequest& request : batch.requests) {
        json item = claimJson(request.claim, now);
        item["firstSent"] = request.firstSent.value;
        item["wholeFrom"] = request.primaryCompleteFrom.value;
        requests.push_back(std::move(item));
    }
    return value.dump();
}

std::optional<RecordBatch> parseRecordBatch(std::string_view text, TimePoint now)
{
    return detail::parseMessage<RecordBatch>(text, peerErrorCodes, [now](detail::ObjectReader& reader, std::vector<ValidationError>& errors) {
        RecordBatch batch;
        batch.header = readHeader(reader);
        for (const json& element : reader.array("requests")) {
            const std::string pointer = reader.pointer("requests", batch.requests.size());
            detail::ObjectReader item(element, pointer, peerErrorCodes, errors);
            RecordRequest request;
            request.claim = readClaim(element, pointer, now, errors);
            request.firstSent.value = item.number("firstSent");
            request.primaryCompleteFrom.value = item.number("wholeFrom");
            batch.requests.push_back(request);
        }
        return batch;
    });
}

std::string toText(const RecordBatchReply& reply, TimePoint now)
{
    json value { { "epoch", reply.epoch.value } };
    json& answers = value["answers"] = json::array();
    for (const RecordReply& answer : reply.answers) {
        json item { { "verdict", static_cast<int>(answer.outcome) } };
        if (answer.outcome == RecordOutcome::Existing)
            item["existing"] = claimJson(answer.existing, now);
        answers.push_back(std::move(item));
    }
    return value.dump();
}

std::optional<RecordBatchReply> parseRecordBatchReply(std::string_view text, TimePoint now)
{
    return detail::parseMessage<RecordBatchReply>(text, peerErrorCodes, [now](detail::ObjectReader& reader, std::vector<ValidationError>& errors) {
        RecordBatchReply reply;
        reply.epoch.value = reader.number("epoch");
        for (const json& element : reader.array("answers")) {
            const std::string pointer = reader.pointer("answers", reply.answers.size());
            detail::ObjectReader item(element, pointer, peerErrorCodes, errors);
            RecordReply answer;
            answer.outcome = readEnum(item, "verdict", RecordOutcome::NoReply, errors);
            if (answer.outcome == RecordOutcome::Existing) {
                const json* existing = item.value("existing");
                if (existing)
                    answer.existing = readClaim(*existing, pointer + "/existing", now, errors);
            }
            reply.answers.push_back(answer);
        }
        return reply;
    });
}

std::string toText(const HandoverBatch& batch, TimePoint now)
{
    json value = headerJson(batch.header);
    json& handovers = value["handovers"] = json::array();
    for (const Handover& handover : batch.handovers)
        handovers.push_back({ { "epoch", handover.epoch.value }, { "bucket", handover.bucket }, { "wholeFrom", handover.completeFrom.value }, { "claims", claimsJson(handover.claims, now) } });
    return value.dump();
}

std::optional<HandoverBatch> parseHandoverBatch(std::string_view text, TimePoint now)
{
    return detail::parseMessage<HandoverBatch>(text, peerErrorCodes, [now](detail::ObjectReader& reader, std::vector<ValidationError>& errors) {
        HandoverBatch batch;
        batch.header = readHeader(reader);
        for (const json& element : reader.array("handovers")) {
            detail::ObjectReader item(element, reader.pointer("handovers", batch.handovers.size()), peerErrorCodes, errors);
            Handover handover;
            handover.epoch.value = item.number("epoch");
            handover.bucket = item.number("bucket");
            handover.completeFrom.value = item.number("wholeFrom");
            handover.claims = readClaims(item, now, errors);
            batch.handovers.push_back(std::move(handover));
        }
        return batch;
    });
}

std::string toText(const Resignation& resignation, TimePoint now)
{
    const json value { { "epoch", resignation.epoch.value }, { "resigner", resignation.resigner.value }, { "claims", claimsJson(resignation.claims, now) } };
    return value.dump();
}

std::optional<Resignation> parseResignation(std::string_view text, TimePoint now)
{
    return detail::parseMessage<Resignation>(text, peerErrorCodes, [now](detail::ObjectReader& reader, std::vector<ValidationError>& errors) {
        Resignation resignation;
        resignation.epoch.value = reader.number("epoch");
        resignation.resigner.value = reader.number("resigner");
        resignation.claims = readClaims(reader, now, errors);
        return resignation;
    });
}

std::string toText(const Heartbeat& heartbeat)
{
    json value = headerJson(heartbeat.header);
    value["manifest"] = heartbeat.manifestRevision;
    return value.dump();
}

std::optional<Heartbeat> parseHeartbeat(std::string_view text)
{
    return detail::parseMessage<Heartbeat>(text, peerErrorCodes, [](detail::ObjectReader& reader, std::vector<ValidationError>&) {
        Heartbeat heartbeat;
        heartbeat.header = readHeader(reader);
        heartbeat.manifestRevision = reader.number("manifest");
        return heartbeat;
    });
}

std::string toText(const HeartbeatReply& reply)
{
    const json value { { "epoch", reply.epoch.value }, { "incarnation", reply.incarnation.value }, { "manifest", reply.manifestRevision } };
    return value.dump();
}

std::optional<HeartbeatReply> parseHeartbeatReply(std::string_view text)
{
    return detail::parseMessage<HeartbeatReply>(text, peerErrorCodes, [](detail::ObjectReader& reader, std::vector<ValidationError>&) {
        HeartbeatReply reply;
        reply.epoch.value = reader.number("epoch");
        reply.incarnation.value = reader.number("incarnation");
        reply.manifestRevision = reader.number("manifest");
        return reply;
    });
}

std::string toText(const View& view)
{
    json value { { "epoch", view.epoch.value }, { "members", json::array() }, { "past", json::array() } };
    for (const Member& member : view.members)
        value["members"].push_back({ { "id", member.id }, { "peerAddress", member.peerAddress }, { "callerAddress", member.callerAddress }, { "incarnation", member.incarnation.value }, { "dataCentre", member.dataCentre }, { "weight", member.weight } });
    for (const PastView& past : view.past)
        value["past"].push_back({ { "epoch", past.epoch.value }, { "members", past.members } });
    return value.dump();
}

std::optional<View> parseView(std::string_view text)
{
    return detail::parseMessage<View>(text, peerErrorCodes, [](detail::ObjectReader& reader, std::vector<ValidationError>& errors) {
        View view;
        view.epoch.value = reader.number("epoch");
        for (const json& element : reader.array("members")) {
            detail::ObjectReader item(element, reader.pointer("members", view.members.size()), peerErrorCodes, errors);
            view.members.push_back({ item.text("id"), item.text("peerAddress"), item.text("callerAddress"), { item.number("incarnation") }, item.textOr("dataCentre", ""), item.has("weight") ? item.real("weight") : 1 });
            if (view.members.back().weight <= 0)
                errors.push_back({ peerErrorCodes.outOfRange(), item.pointer("weight"), std::to_string(view.members.back().weight), "a number above 0" });
        }
        for (const json& element : reader.array("past")) {
            detail::ObjectReader item(element, reader.pointer("past", view.past.size()), peerErrorCodes, errors);
            PastView past;
            past.epoch.value = item.number("epoch");
            for (const json& id : item.array("members"))
                past.members.push_back(id.is_string() ? id.get<std::string>() : std::string());
            view.past.push_back(std::move(past));
        }
        return view;
    });
}

} // namespace egrettrestle
