#pragma once

#include <memory>

#include <egrettrestle/services/service_context.hpp>
#include <egrettrestle/store/embedded_store.hpp>
#include <egrettrestle/store/vm_list.hpp>

namespace egrettrestle {

/// Owns the clients of the platform's store and VM list that the settings select, and counts their messages in the
/// metrics.
class PlatformService : public KernelService {
public:
    explicit PlatformService(ServiceContext& context);

    std::string name() const override { return serviceNames::platform; }
    absl::Status start() override;
    void stop() override { }

    /// Valid for the lifetime of this service.
    Store& store() { return *m_store; }
    VmList& vmList() { return *m_vmList; }
    /// The embedded store, or null if the settings select another platform.
    EmbeddedStore* embeddedStore() { return m_embedded; }

private:
    ServiceContext& m_context;
    std::unique_ptr<Store> m_store;
    std::unique_ptr<VmList> m_vmList;
    EmbeddedStore* m_embedded = nullptr;
};

} // namespace egrettrestle
