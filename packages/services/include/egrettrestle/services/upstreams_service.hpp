#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include <egrettrestle/decision/view.hpp>
#include <egrettrestle/services/node.hpp>
#include <egrettrestle/wire/upstream_messages.hpp>

namespace egrettrestle {

/// Follows the platform's VM list and works out which slots of the upstreams belong to this VM.
class UpstreamsService : public KernelService {
public:
    explicit UpstreamsService(Node& node)
        : m_node(node)
    {
    }
    ~UpstreamsService() override { stop(); }

    std::string name() const override { return serviceNames::upstreams; }
    absl::Status start() override;
    void stop() override;

    /// Works the slots out anew for the members of a view.
    void setView(const View& view);

    /// The instances last read.
    std::vector<Instance> instances() const;

private:
    void run();
    void readList();
    void apply();

    Node& m_node;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    InstanceList m_list;
    View m_view;
    bool m_listLost = false;
    std::thread m_thread;
};

} // namespace egrettrestle
