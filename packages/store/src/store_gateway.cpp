#include <egrettrestle/store/store_gateway.hpp>

#include <ostream>

#include <egrettrestle/store/detail/conversions/etcd_json.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds maxWatchDuration { 3'600'000 };

    HttpResponse badRequest()
    {
        HttpResponse response;
        response.status = httpStatus::badRequest;
        response.body = R"({"error":"malformed request","code":3})";
        return response;
    }

    HttpResponse jsonResponse(std::string body)
    {
        HttpResponse response;
        response.body = std::move(body);
        return response;
    }

    HttpResponse serveRange(EmbeddedStore& store, const std::string& body)
    {
        const std::optional<detail::RangeRequest> request = detail::parseRangeRequest(body);
        if (!request)
            return badRequest();
        StoreSnapshot snapshot = *store.readPrefix(request->key);
        detail::RangeReply reply;
        reply.revision = snapshot.revision;
        for (StoreEntry& entry : snapshot.entries) {
            if (request->isPrefix || entry.key == request->key)
                reply.entries.push_back(std::move(entry));
        }
        return jsonResponse(detail::toText(reply));
    }

    HttpResponse serveSwap(EmbeddedStore& store, const std::string& body)
    {
        const std::optional<detail::SwapRequest> request = detail::parseSwapRequest(body);
        if (!request)
            return badRequest();
        const bool succeeded = *store.compareAndSwap(request->key, request->expectedModRevision, request->value);
        return jsonResponse(detail::swapReplyText(store.revision(), succeeded));
    }

    HttpResponse serveWatch(EmbeddedStore& store, const std::string& body)
    {
        const std::optional<detail::WatchRequest> request = detail::parseWatchRequest(body);
        if (!request)
            return badRequest();
        HttpResponse response;
        response.stream = [&store, request = *request](std::ostream& stream, const std::atomic<bool>& stopping) {
            std::atomic<bool> ended { false };
            stream << detail::watchCreatedText(store.revision()) << '\n'
                   << std::flush;
            const std::function<void(const StoreEntry&)> writeEvent = [&](const StoreEntry& entry) {
                stream << detail::watchEventsText(entry.modRevision, { entry }) << '\n'
                       << std::flush;
                ended = !stream.good() || stopping;
            };
            constexpr Milliseconds slice { 200 };
            std::uint64_t next = request.fromRevision == 0 ? store.revision() + 1 : request.fromRevision;
            const TimePoint end = SteadyClock::now() + maxWatchDuration;
            while (!ended && !stopping && stream.good() && SteadyClock::now() < end) {
                const std::uint64_t seen = store.revision();
                // The next slice starts after the revision read here: changes during this slice may be reported twice, but
                // none is missed.
                if (!store.watch(request.prefix, next, slice, Milliseconds { 0 }, ended, writeEvent).ok())
                    return;
                next = std::max(next, seen + 1);
            }
        };
        return response;
    }

}

HttpResponse serveStoreGateway(EmbeddedStore& store, const HttpRequest& request)
{
    if (request.method == "POST" && request.path == "/v3/kv/range")
        return serveRange(store, request.body);
    if (request.method == "POST" && request.path == "/v3/kv/txn")
        return serveSwap(store, request.body);
    if (request.method == "POST" && request.path == "/v3/watch")
        return serveWatch(store, request.body);
    HttpResponse response;
    response.status = httpStatus::notFound;
    response.body = R"({"error":"no such path","code":5})";
    return response;
}

} // namespace egrettrestle
