#include <egrettrestle/services/platform_service.hpp>

#include <fstream>
#include <sstream>

#include <egrettrestle/store/etcd_store.hpp>
#include <egrettrestle/wire/manifest_json.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds connectTimeout { 300 };

    absl::StatusOr<std::string> initialManifest(const std::string& path)
    {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        if (!file)
            return makeStatus(absl::StatusCode::kNotFound, { settingsErrors::unreadable, "[platform] manifestFile", path, "a readable file" });
        ManifestParseResult parse = parseManifest(text.str());
        if (!parse.manifest)
            return absl::InvalidArgumentError(path + ":\n" + toString(parse.errors));
        if (parse.manifest->revision == 0)
            parse.manifest->revision = 1;
        return manifestText(*parse.manifest);
    }

}

PlatformService::PlatformService(ServiceContext& context)
    : m_context(context)
{
    const Settings& settings = context.settings;
    const HttpTimeouts timeouts { connectTimeout, settings.storeTimeout };
    Metrics& metrics = context.metrics;
    if (settings.platform == PlatformKind::Embedded) {
        std::unique_ptr<EmbeddedStore> store = std::make_unique<EmbeddedStore>();
        m_embedded = store.get();
        m_store = std::move(store);
        m_vmList = std::make_unique<FileVmList>(settings.vmListFile);
        return;
    }
    m_store = std::make_unique<EtcdStore>(settings.storeAddress, timeouts, [&metrics](const char*, std::size_t bytes) { metrics.countMessage("store", false, static_cast<double>(bytes)); });
    m_vmList = std::make_unique<HttpVmList>(settings.vmListAddress, settings.dataCentre, timeouts, [&metrics](const char*, std::size_t bytes) { metrics.countMessage("vm-list", false, static_cast<double>(bytes)); });
}

absl::Status PlatformService::start()
{
    if (!m_embedded)
        return absl::OkStatus();
    const absl::StatusOr<std::string> manifest = initialManifest(m_context.settings.manifestFile);
    if (!manifest.ok())
        return manifest.status();
    return m_embedded->compareAndSwap(storeKeys::manifest, 0, *manifest).status();
}

} // namespace egrettrestle
