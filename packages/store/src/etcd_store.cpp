#include <egrettrestle/store/etcd_store.hpp>

#include <egrettrestle/base/validation_error.hpp>
#include <egrettrestle/store/detail/conversions/etcd_json.hpp>

namespace egrettrestle {

namespace {

    absl::Status storeError(int number, const std::string& address, const std::string& found)
    {
        return makeStatus(absl::StatusCode::kUnavailable, { number, "store " + address, found, "a reply of the etcd v3 JSON gateway" });
    }

    /// Whether a failed call was not sent, so that it cannot have had an effect.
    bool notSent(HttpFailure failure)
    {
        return failure == HttpFailure::ConnectFailed || failure == HttpFailure::ConnectTimedOut || failure == HttpFailure::ClosedBeforeSend;
    }

    absl::Status callError(const HttpResult& result, const std::string& address)
    {
        if (notSent(result.failure))
            return storeError(platformErrors::storeUnreachable, address, "no connection");
        if (!result.ok())
            return storeError(platformErrors::storeOutcomeUnknown, address, "no reply");
        return storeError(platformErrors::storeBadReply, address, "status " + std::to_string(result.response.status));
    }

}

EtcdStore::EtcdStore(std::string address, HttpTimeouts timeouts, PlatformCallObserver observer)
    : m_address(std::move(address))
    , m_timeouts(timeouts)
    , m_observer(std::move(observer))
{
}

HttpResult EtcdStore::post(const char* path, const std::string& body)
{
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    HttpResult result = m_client.call(m_address, request, m_timeouts);
    if (m_observer)
        m_observer(path, body.size() + result.response.body.size());
    return result;
}

absl::StatusOr<StoreEntry> EtcdStore::read(const std::string& key)
{
    const HttpResult result = post("/v3/kv/range", detail::toText(detail::RangeRequest { key, false }));
    if (!result.ok() || result.response.status != httpStatus::ok)
        return callError(result, m_address);
    const std::optional<detail::RangeReply> reply = detail::parseRangeReply(result.response.body);
    if (!reply)
        return storeError(platformErrors::storeBadReply, m_address, "a malformed reply body");
    return reply->entries.empty() ? StoreEntry { key, {}, 0 } : reply->entries.front();
}

absl::StatusOr<StoreSnapshot> EtcdStore::readPrefix(const std::string& prefix)
{
    const HttpResult result = post("/v3/kv/range", detail::toText(detail::RangeRequest { prefix, true }));
    if (!result.ok() || result.response.status != httpStatus::ok)
        return callError(result, m_address);
    std::optional<detail::RangeReply> reply = detail::parseRangeReply(result.response.body);
    if (!reply)
        return storeError(platformErrors::storeBadReply, m_address, "a malformed reply body");
    return StoreSnapshot { reply->revision, std::move(reply->entries) };
}

absl::StatusOr<bool> EtcdStore::compareAndSwap(const std::string& key, std::uint64_t expectedModRevision, const std::string& value)
{
    const HttpResult result = post("/v3/kv/txn", detail::toText(detail::SwapRequest { key, expectedModRevision, value }));
    if (!result.ok() || result.response.status != httpStatus::ok)
        return callError(result, m_address);
    const std::optional<bool> succeeded = detail::parseSwapReply(result.response.body);
    if (!succeeded)
        return storeError(platformErrors::storeBadReply, m_address, "a malformed reply body");
    return *succeeded;
}

absl::Status EtcdStore::watch(const std::string& prefix, std::uint64_t fromRevision, Milliseconds duration, Milliseconds, const std::atomic<bool>& stop,
    const std::function<void(const StoreEntry&)>& onChange)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v3/watch";
    request.body = detail::toText(detail::WatchRequest { prefix, fromRevision });
    bool malformed = false;
    std::size_t bytes = request.body.size();
    const HttpResult result = m_client.stream(m_address, request, { m_timeouts.connect, duration }, stop, [&](const std::string& line) {
        bytes += line.size();
        const std::optional<std::vector<StoreEntry>> entries = detail::parseWatchEvents(line);
        malformed = !entries;
        if (malformed)
            return false;
        for (const StoreEntry& entry : *entries)
            onChange(entry);
        return true;
    });
    if (m_observer)
        m_observer("/v3/watch", bytes);
    if (malformed)
        return storeError(platformErrors::storeBadReply, m_address, "a malformed watch event");
    if (!result.ok() || result.response.status != httpStatus::ok)
        return callError(result, m_address);
    return absl::OkStatus();
}

} // namespace egrettrestle
