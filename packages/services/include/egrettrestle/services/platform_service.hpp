#pragma once

#include <memory>

#include <egrettrestle/services/node.hpp>
#include <egrettrestle/store/embedded_store.hpp>
#include <egrettrestle/store/vm_list.hpp>

namespace egrettrestle {

/// Holds the store and the VM list that the settings name, and counts every call to them.
class PlatformService : public KernelService {
public:
    explicit PlatformService(Node& node);

    std::string name() const override { return serviceNames::platform; }
    absl::Status start() override;
    void stop() override { }

    Store& store() { return *m_store; }
    VmList& vmList() { return *m_vmList; }
    /// The embedded store, or null with a platform of another kind.
    EmbeddedStore* embeddedStore() { return m_embedded; }

private:
    Node& m_node;
    std::unique_ptr<Store> m_store;
    std::unique_ptr<VmList> m_vmList;
    EmbeddedStore* m_embedded = nullptr;
};

} // namespace egrettrestle
