#include <egrettrestle/store/vm_list.hpp>

#include <fstream>
#include <sstream>

#include <egrettrestle/base/validation_error.hpp>

namespace egrettrestle {

namespace {

    absl::Status listError(int number, const std::string& where, const std::string& found)
    {
        return makeStatus(absl::StatusCode::kUnavailable, { number, "VM list " + where, found, "a list of VMs in the format of docs/PLATFORM.md" });
    }

}

HttpVmList::HttpVmList(std::string address, DataCentreId dataCentre, HttpTimeouts timeouts, PlatformCallObserver observer)
    : m_address(std::move(address))
    , m_dataCentre(std::move(dataCentre))
    , m_timeouts(timeouts)
    , m_observer(std::move(observer))
{
}

absl::StatusOr<InstanceList> HttpVmList::read(std::uint64_t knownVersion)
{
    HttpRequest request;
    request.path = "/v1/vms";
    request.query = "dataCentre=" + m_dataCentre + "&since=" + std::to_string(knownVersion);
    const HttpResult result = m_client.call(m_address, request, m_timeouts);
    if (m_observer)
        m_observer("/v1/vms", result.response.body.size());
    if (!result.ok())
        return listError(platformErrors::vmListUnreachable, m_address, "no reply");
    if (result.response.status == httpStatus::notModified)
        return InstanceList { knownVersion, {} };
    std::optional<InstanceList> list = parseInstanceList(result.response.body);
    if (result.response.status != httpStatus::ok || !list)
        return listError(platformErrors::vmListBadReply, m_address, "status " + std::to_string(result.response.status));
    return *std::move(list);
}

absl::StatusOr<InstanceList> FileVmList::read(std::uint64_t knownVersion)
{
    std::ifstream file(m_path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
        return listError(platformErrors::vmListUnreachable, m_path, "no readable file");
    const std::uint64_t version = bodyDigest(text.str());
    if (version == knownVersion)
        return InstanceList { knownVersion, {} };
    std::optional<InstanceList> list = parseInstanceList(text.str());
    if (!list)
        return listError(platformErrors::vmListBadReply, m_path, "a malformed file");
    list->version = version;
    return *std::move(list);
}

} // namespace egrettrestle
