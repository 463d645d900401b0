#include <egrettrestle/store/detail/conversions/etcd_json.hpp>

#include <sstream>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <nlohmann/json.hpp>

namespace egrettrestle::detail {

namespace {

    using nlohmann::json;

    std::string encode(const std::string& text)
    {
        std::ostringstream stream;
        Poco::Base64Encoder encoder(stream);
        encoder.rdbuf()->setLineLength(0);
        encoder << text;
        encoder.close();
        return stream.str();
    }

    std::string decode(const std::string& text)
    {
        std::istringstream stream(text);
        Poco::Base64Decoder decoder(stream);
        return { std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>() };
    }

    /// The end of the range of keys that begin with a prefix: the prefix with its last byte raised.
    std::string prefixEnd(std::string prefix)
    {
        if (!prefix.empty())
            ++prefix.back();
        return prefix;
    }

    /// A 64-bit number, which the gateway writes as a string and leaves out when it is 0.
    std::uint64_t numberOf(const json& object, const char* key)
    {
        const auto found = object.find(key);
        if (found == object.end())
            return 0;
        return found->is_string() ? std::stoull(found->get<std::string>()) : found->get<std::uint64_t>();
    }

    json entryJson(const StoreEntry& entry)
    {
        return { { "key", encode(entry.key) }, { "value", encode(entry.value) }, { "mod_revision", std::to_string(entry.modRevision) } };
    }

    StoreEntry entryOf(const json& value)
    {
        return { decode(value.at("key").get<std::string>()), decode(value.value("value", "")), numberOf(value, "mod_revision") };
    }

    json headerJson(std::uint64_t revision) { return { { "revision", std::to_string(revision) } }; }

    /// Parses a text and reads it; any error of form or type gives nothing.
    template <typename Result, typename Read>
    std::optional<Result> parsed(std::string_view text, Read read)
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
    json value { { "key", encode(request.key) } };
    if (request.isPrefix)
        value["range_end"] = encode(prefixEnd(request.key));
    return value.dump();
}

std::optional<RangeRequest> parseRangeRequest(std::string_view text)
{
    return parsed<RangeRequest>(text, [](const json& value) {
        return RangeRequest { decode(value.at("key").get<std::string>()), value.contains("range_end") };
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
    return parsed<RangeReply>(text, [](const json& value) {
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
    const std::string key = encode(request.key);
    const json value {
        { "compare", { { { "key", key }, { "target", "MOD" }, { "result", "EQUAL" }, { "mod_revision", std::to_string(request.expectedModRevision) } } } },
        { "success", { { { "request_put", { { "key", key }, { "value", encode(request.value) } } } } } },
    };
    return value.dump();
}

std::optional<SwapRequest> parseSwapRequest(std::string_view text)
{
    return parsed<SwapRequest>(text, [](const json& value) {
        const json& compare = value.at("compare").at(0);
        const json& put = value.at("success").at(0).at("request_put");
        return SwapRequest { decode(put.at("key").get<std::string>()), numberOf(compare, "mod_revision"), decode(put.at("value").get<std::string>()) };
    });
}

std::string swapReplyText(std::uint64_t revision, bool succeeded)
{
    json value { { "header", headerJson(revision) } };
    // The gateway leaves out fields that are false.
    if (succeeded)
        value["succeeded"] = true;
    return value.dump();
}

std::optional<bool> parseSwapReply(std::string_view text)
{
    return parsed<bool>(text, [](const json& value) {
        value.at("header");
        return value.value("succeeded", false);
    });
}

std::string toText(const WatchRequest& request)
{
    const json value { { "create_request", { { "key", encode(request.prefix) }, { "range_end", encode(prefixEnd(request.prefix)) }, { "start_revision", std::to_string(request.fromRevision) } } } };
    return value.dump();
}

std::optional<WatchRequest> parseWatchRequest(std::string_view text)
{
    return parsed<WatchRequest>(text, [](const json& value) {
        const json& create = value.at("create_request");
        return WatchRequest { decode(create.at("key").get<std::string>()), numberOf(create, "start_revision") };
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
    return parsed<std::vector<StoreEntry>>(line, [](const json& value) {
        std::vector<StoreEntry> entries;
        const json events = value.at("result").value("events", json::array());
        for (const json& event : events) {
            // Nothing of ours is ever deleted, so a deletion is no news.
            if (event.value("type", "PUT") == "PUT")
                entries.push_back(entryOf(event.at("kv")));
        }
        return entries;
    });
}

} // namespace egrettrestle::detail
