#include <egrettrestle/store/detail/conversions/etcd_json.hpp>

#include <sstream>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <nlohmann/json.hpp>

namespace egrettrestle::detail {

namespace {

    using nlohmann::json;

    std::string encodeBase64(const std::string& text)
    {
        std::ostringstream stream;
        Poco::Base64Encoder encoder(stream);
        encoder.rdbuf()->setLineLength(0);
        encoder << text;
        encoder.close();
        return stream.str();
    }

    std::string decodeBase64(const std::string& text)
    {
        std::istringstream stream(text);
        Poco::Base64Decoder decoder(stream);
        return { std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>() };
    }

    /// The exclusive end of the range of keys that begin with a prefix: the prefix with its last byte incremented.
    std::string prefixEnd(std::string prefix)
    {
        if (!prefix.empty())
            ++prefix.back();
        return prefix;
    }

    /// Reads a 64-bit number, which the gateway writes as a string and omits if it is 0.
    std::uint64_t numberOf(const json& object, const char* key)
    {
        const auto found = object.find(key);
        if (found == object.end())
            return 0;
        return found->is_string() ? std::stoull(found->get<std::string>()) : found->get<std::uint64_t>();
    }

    json entryJson(const StoreEntry& entry)
    {
        return { { "key", encodeBase64(entry.key) }, { "value", encodeBase64(entry.value) }, { "mod_revision", std::to_string(entry.modRevision) } };
    }

    StoreEntry entryOf(const json& value)
    {
        return { decodeBase64(value.at("key").get<std::string>()), decodeBase64(value.value("value", "")), numberOf(value, "mod_revision") };
    }

    json headerJson(std::uint64_t revision) { return { { "revision", std::to_string(revision) } }; }

    /// Parses JSON and converts it with `read`; nothing if the text is malformed or a field is missing or of the wrong
    /// type.
    template <typename Result, typename Read>
    std::optional<Result> parseAs(std::string_view text, Read read)
    {
        try {
            return read(json::parse(text));
        } catch (const std::exception&) {
            return std::nullopt;
        }
    }

}

std::string toText(const RangeRequest& request)
{
    json value { { "key", encodeBase64(request.key) } };
    if (request.isPrefix)
        value["range_end"] = encodeBase64(prefixEnd(request.key));
    return value.dump();
}

std::optional<RangeRequest> parseRangeRequest(std::string_view text)
{
    return parseAs<RangeRequest>(text, [](const json& value) {
        return RangeRequest { decodeBase64(value.at("key").get<std::string>()), value.contains("range_end") };
    });
}

std::string toText(const RangeReply& reply)
{
    json value { { "header", headerJson(reply.revision) } };
    for (const StoreEntry& entry : reply.entries)
        value["kvs"].push_back(entryJson(entry));
    return value.dump();
}

std::optional<RangeReply> parseRangeReply(std::string_view text)
{
    return parseAs<RangeReply>(text, [](const json& value) {
        RangeReply reply;
        reply.revision = numberOf(value.at("header"), "revision");
        const json entries = value.value("kvs", json::array());
        for (const json& entry : entries)
            reply.entries.push_back(entryOf(entry));
        return reply;
    });
}

std::string toText(const SwapRequest& request)
{
    const std::string key = encodeBase64(request.key);
    const json value {
        { "compare", { { { "key", key }, { "target", "MOD" }, { "result", "EQUAL" }, { "mod_revision", std::to_string(request.expectedModRevision) } } } },
        { "success", { { { "request_put", { { "key", key }, { "value", encodeBase64(request.value) } } } } } },
    };
    return value.dump();
}

std::optional<SwapRequest> parseSwapRequest(std::string_view text)
{
    return parseAs<SwapRequest>(text, [](const json& value) {
        const json& compare = value.at("compare").at(0);
        const json& put = value.at("success").at(0).at("request_put");
        return SwapRequest { decodeBase64(put.at("key").get<std::string>()), numberOf(compare, "mod_revision"), decodeBase64(put.at("value").get<std::string>()) };
    });
}

std::string swapReplyText(std::uint64_t revision, bool succeeded)
{
    json value { { "header", headerJson(revision) } };
    // The gateway omits fields that are false.
    if (succeeded)
        value["succeeded"] = true;
    return value.dump();
}

std::optional<bool> parseSwapReply(std::string_view text)
{
    return parseAs<bool>(text, [](const json& value) {
        value.at("header");
        return value.value("succeeded", false);
    });
}

std::string toText(const WatchRequest& request)
{
    const json value { { "create_request", { { "key", encodeBase64(request.prefix) }, { "range_end", encodeBase64(prefixEnd(request.prefix)) }, { "start_revision", std::to_string(request.fromRevision) } } } };
    return value.dump();
}

std::optional<WatchRequest> parseWatchRequest(std::string_view text)
{
    return parseAs<WatchRequest>(text, [](const json& value) {
        const json& create = value.at("create_request");
        return WatchRequest { decodeBase64(create.at("key").get<std::string>()), numberOf(create, "start_revision") };
    });
}

std::string watchCreatedText(std::uint64_t revision)
{
    const json value { { "result", { { "header", headerJson(revision) }, { "created", true } } } };
    return value.dump();
}

std::string watchEventsText(std::uint64_t revision, const std::vector<StoreEntry>& entries)
{
    json events = json::array();
    for (const StoreEntry& entry : entries)
        events.push_back({ { "kv", entryJson(entry) } });
    const json value { { "result", { { "header", headerJson(revision) }, { "events", events } } } };
    return value.dump();
}

std::optional<std::vector<StoreEntry>> parseWatchEvents(std::string_view line)
{
    return parseAs<std::vector<StoreEntry>>(line, [](const json& value) {
        std::vector<StoreEntry> entries;
        const json events = value.at("result").value("events", json::array());
        for (const json& event : events) {
            // Deletions are ignored: this project never deletes its keys.
            if (event.value("type", "PUT") == "PUT")
                entries.push_back(entryOf(event.at("kv")));
        }
        return entries;
    });
}

} // namespace egrettrestle::detail
