#include <egrettrestle/kernel/kernel.hpp>

#include <glog/logging.h>

namespace egrettrestle {

void Kernel::add(std::unique_ptr<KernelService> service)
{
    CHECK(m_servicesByName.emplace(service->name(), service.get()).second) << "two services are named " << service->name();
    m_services.push_back(std::move(service));
}

absl::Status Kernel::start()
{
    for (; m_startedCount < m_services.size(); ++m_startedCount) {
        absl::Status status = m_services[m_startedCount]->start();
        if (!status.ok()) {
            stop();
            return status;
        }
    }
    return absl::OkStatus();
}

void Kernel::stop()
{
    for (std::size_t service = m_startedCount; service > 0; --service)
        m_services[service - 1]->prepareStop();
    while (m_startedCount > 0)
        m_services[--m_startedCount]->stop();
}

std::string Kernel::stoppingService() const
{
    const std::size_t started = m_startedCount;
    return started < m_services.size() ? m_services[started]->name() : std::string();
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
