#include <egrettrestle/services/upstreams_service.hpp>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/decision/slot_share.hpp>
#include <egrettrestle/services/executor_service.hpp>
#include <egrettrestle/services/platform_service.hpp>

namespace egrettrestle {

namespace {

    // An upstream must get no new work 2 s after the list shows it as leaving.
    constexpr Milliseconds pollInterval { 1'000 };

}

absl::Status UpstreamsService::start()
{
    pollList();
    m_thread = std::thread([this] { run(); });
    return absl::OkStatus();
}

void UpstreamsService::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    if (m_thread.joinable())
        m_thread.join();
}

void UpstreamsService::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_changed.wait_for(lock, pollInterval, [this] { return m_stopping; })) {
        lock.unlock();
        pollList();
        lock.lock();
    }
}

void UpstreamsService::pollList()
{
    VmList& source = m_context.kernel.find<PlatformService>(serviceNames::platform).vmList();
    std::uint64_t knownVersion = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        knownVersion = m_list.version;
    }
    absl::StatusOr<InstanceList> list = source.read(knownVersion);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!list.ok() && !m_listUnavailable)
            logEvent(events::vmListLost, std::string(list.status().message()));
        m_listUnavailable = !list.ok();
        if (!list.ok() || list->version == knownVersion)
            return;
        for (const Instance& instance : list->instances) {
            if (instance.state == InstanceState::Leaving)
                logEvent(events::upstreamLeaving, "upstream=" + instance.id);
        }
        m_list = *std::move(list);
    }
    updateShares();
}

void UpstreamsService::setView(const View& view)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_view = view;
    }
    updateShares();
}

std::vector<Instance> UpstreamsService::instances() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_list.instances;
}

void UpstreamsService::updateShares()
{
    std::vector<UpstreamShare> shares;
    std::size_t members = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::vector<VmId> ids = memberIds(m_view);
        members = ids.size();
        for (const Instance& instance : m_list.instances) {
            if (!instance.dataCentre.empty() && instance.dataCentre != m_context.settings.dataCentre)
                continue;
            UpstreamShare share;
            share.id = instance.id;
            share.service = instance.service;
            share.address = instance.address;
            share.slots = ownedSlots(instance.id, instance.slots, ids, m_context.settings.id);
            share.draining = instance.state == InstanceState::Leaving;
            shares.push_back(std::move(share));
        }
    }
    ExecutorService& executor = m_context.kernel.find<ExecutorService>(serviceNames::executor);
    executor.setUpstreams(shares);
    executor.setMemberCount(members);
}

} // namespace egrettrestle
