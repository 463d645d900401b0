#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include <egrettrestle/decision/view.hpp>
#include <egrettrestle/services/service_context.hpp>
#include <egrettrestle/wire/upstream_messages.hpp>

namespace egrettrestle {

/// Polls the platform's VM list for upstreams and divides their slots among the members of the view. Passes this VM's
/// share to the executor.
class UpstreamsService : public KernelService {
public:
    explicit UpstreamsService(ServiceContext& context)
        : m_context(context)
    {
    }
    ~UpstreamsService() override { stop(); }

    std::string name() const override { return serviceNames::upstreams; }
    absl::Status start() override;
    void stop() override;

    /// Divides the slots anew among the members of a view.
    void setView(const View& view);

    /// The upstream instances of the last list that was read.
    std::vector<Instance> instances() const;

private:
    void run();
    void pollList();
    void updateShares();

    ServiceContext& m_context;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    InstanceList m_list;
    View m_view;
    bool m_listUnavailable = false;
    std::thread m_thread;
};

} // namespace egrettrestle
