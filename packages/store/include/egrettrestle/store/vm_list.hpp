#pragma once

#include <functional>
#include <string>

#include <absl/status/statusor.h>

#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/http/client.hpp>
#include <egrettrestle/store/etcd_store.hpp>
#include <egrettrestle/wire/upstream_messages.hpp>

namespace egrettrestle {

/// The platform's list of live and leaving upstream VMs. It lags behind reality.
class VmList {
public:
    virtual ~VmList() = default;

    /// The list if its version differs from `knownVersion`, else an empty list with `knownVersion`. Errors are
    /// Unavailable with a number of platformErrors.
    virtual absl::StatusOr<InstanceList> read(std::uint64_t knownVersion) = 0;
};

/// Reads the list over HTTP: `GET /v1/vms?dataCentre=<id>&since=<version>`.
class HttpVmList : public VmList {
public:
    HttpVmList(std::string address, DataCentreId dataCentre, HttpTimeouts times, PlatformCallObserver observer = {});

    absl::StatusOr<InstanceList> read(std::uint64_t knownVersion) override;

private:
    std::string m_address;
    DataCentreId m_dataCentre;
    HttpTimeouts m_times;
    PlatformCallObserver m_observer;
    HttpClient m_client;
};

/// Reads the list from a file, for a stand-alone VM. The version is a digest of the file.
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
