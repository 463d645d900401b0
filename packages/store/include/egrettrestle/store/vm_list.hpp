#pragma once

#include <functional>
#include <string>

#include <absl/status/statusor.h>

#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/http/client.hpp>
#include <egrettrestle/store/etcd_store.hpp>
#include <egrettrestle/wire/upstream_messages.hpp>

namespace egrettrestle {

/// The platform's list of running and leaving upstream VMs. It may lag behind the actual state.
class VmList {
public:
    virtual ~VmList() = default;

    /// Reads the list if its version differs from `knownVersion`; otherwise an empty list with `knownVersion`. Errors are
    /// Unavailable with a code of platformErrors.
    virtual absl::StatusOr<InstanceList> read(std::uint64_t knownVersion) = 0;
};

/// Reads the list over HTTP: `GET /v1/vms?dataCentre=<id>&since=<version>`.
class HttpVmList : public VmList {
public:
    HttpVmList(std::string address, DataCentreId dataCentre, HttpTimeouts timeouts, PlatformCallObserver observer = {});

    absl::StatusOr<InstanceList> read(std::uint64_t knownVersion) override;

private:
    std::string m_address;
    DataCentreId m_dataCentre;
    HttpTimeouts m_timeouts;
    PlatformCallObserver m_observer;
    HttpClient m_client;
};

/// Reads the list from a file, for a stand-alone VM. The version is a digest of the file's content.
class FileVmList : public VmList {
public:
    explicit FileVmList(std::string path)
        : m_path(std::move(path))
    {
    }

    absl::StatusOr<InstanceList> read(std::uint64_t knownVersion) override;

private:
    std::string m_path;
};

} // namespace egrettrestle
