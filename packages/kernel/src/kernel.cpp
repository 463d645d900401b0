#include <egrettrestle/kernel/kernel.hpp>

#include <glog/logging.h>

#include <egrettrestle/base/validation_error.hpp>

namespace egrettrestle {

namespace {

    constexpr int unexpectedException = 951;

    /// Calls a step of the start; an exception, as for want of threads, becomes an error.
    absl::Status callStep(KernelService& service, absl::Status (KernelService::*step)())
    {
        try {
            return (service.*step)();
        } catch (const std::exception& error) {
            return makeStatus(absl::StatusCode::kInternal, { unexpectedException, "service " + service.name(), error.what(), "a service that starts" });
        }
    }

}

void Kernel::add(std::unique_ptr<KernelService> service)
{
    CHECK(m_servicesByName.emplace(service->name(), service.get()).second) << "two services are named " << service->name();
    m_services.push_back(std::move(service));
}

absl::Status Kernel::start()
{
    for (const std::unique_ptr<KernelService>& service : m_services) {
        ++m_activeCount;
        absl::Status status = callStep(*service, &KernelService::prepare);
        if (!status.ok())
            return status;
    }
    for (const std::unique_ptr<KernelService>& service : m_services) {
        absl::Status status = callStep(*service, &KernelService::start);
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

void Kernel::stop()
{
    for (std::size_t service = m_activeCount; service > 0; --service)
        m_services[service - 1]->prepareStop();
    while (m_activeCount > 0)
        m_services[--m_activeCount]->stop();
}

std::string Kernel::stoppingService() const
{
    const std::size_t active = m_activeCount;
    return active < m_services.size() ? m_services[active]->name() : std::string();
}

KernelService& Kernel::lookUp(const std::string& name) const
{
    const auto found = m_servicesByName.find(name);
    CHECK(found != m_servicesByName.end()) << "no service is named " << name;
    return *found->second;
}

void Kernel::wrongType(const std::string& name)
{
    LOG(FATAL) << "service " << name << " does not have the requested type";
}

} // namespace egrettrestle
