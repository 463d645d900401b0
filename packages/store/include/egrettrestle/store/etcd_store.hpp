#pragma once

#include <atomic>
#include <memory>

#include <egrettrestle/http/client.hpp>
#include <egrettrestle/store/store.hpp>

namespace egrettrestle {

/// Called after each call to the platform with the call's path and the total size of the request and reply bodies; used for
/// metrics.
using PlatformCallObserver = std::function<void(const char* call, std::size_t bytes)>;

/// Client of the etcd v3 JSON gateway (etcd 3.5): `/v3/kv/range`, `/v3/kv/txn` and `/v3/watch`.
class EtcdStore : public Store {
public:
    EtcdStore(std::string address, HttpTimeouts timeouts, PlatformCallObserver observer = {});

    absl::StatusOr<StoreEntry> read(const std::string& key) override;
    absl::StatusOr<StoreSnapshot> readPrefix(const std::string& prefix) override;
    absl::StatusOr<bool> compareAndSwap(const std::string& key, std::uint64_t expectedModRevision, const std::string& value) override;
    absl::Status watch(const std::string& prefix, std::uint64_t fromRevision, Milliseconds duration, Milliseconds batchInterval, const std::atomic<bool>& stop,
        const std::function<void(const StoreEntry&)>& onChange) override;

private:
    HttpResult post(const char* path, const std::string& body);

    std::string m_address;
    HttpTimeouts m_timeouts;
    PlatformCallObserver m_observer;
    HttpClient m_client;
};

} // namespace egrettrestle
