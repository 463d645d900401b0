#include <egrettrestle/services/manifest_service.hpp>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/wire/manifest_json.hpp>

namespace egrettrestle {

namespace {

    constexpr HttpTimeouts fetchTimeouts { Milliseconds(300), Milliseconds(2'000) };

}

std::shared_ptr<const Manifest> ManifestService::current() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_current;
}

std::uint64_t ManifestService::revision() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_current ? m_current->revision : 0;
}

std::string ManifestService::text() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_text;
}

void ManifestService::onChange(std::function<void(const Manifest&)> listener)
{
    m_listener = std::move(listener);
}

bool ManifestService::applyIfNewer(const std::string& text, const std::string& source)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (text == m_text || text == m_rejectedText)
            return false;
    }
    ManifestParseResult parse = parseManifest(text);
    if (!parse.manifest) {
        logEvent(events::manifestRejected, "source=" + source + " faults=" + std::to_string(parse.errors.size()) + " first=" + toString(parse.errors.front()));
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_rejectedText = text;
        return false;
    }
    const std::shared_ptr<const Manifest> manifest = std::make_shared<const Manifest>(*std::move(parse.manifest));
    std::uint64_t currentRevision = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        currentRevision = m_current ? m_current->revision : 0;
        if (manifest->revision > currentRevision) {
            m_current = manifest;
            m_text = text;
        }
    }
    if (manifest->revision <= currentRevision) {
        if (manifest->revision < currentRevision)
            logEvent(events::manifestOlder, "source=" + source + " revision=" + std::to_string(manifest->revision) + " in_force=" + std::to_string(currentRevision));
        return false;
    }
    logEvent(events::manifestInForce, "source=" + source + " revision=" + std::to_string(manifest->revision) + " change=" + manifest->changeId);
    m_context.metrics.setGauge("manifest_revision", static_cast<double>(manifest->revision));
    if (m_listener)
        m_listener(*manifest);
    return true;
}

void ManifestService::fetchIfNewer(const std::string& peerAddress, std::uint64_t peerRevision)
{
    if (peerRevision <= revision())
        return;
    HttpRequest request;
    request.path = peerPaths::manifest;
    const HttpResult result = m_context.peers.call(peerAddress, request, fetchTimeouts);
    m_context.metrics.countMessage("manifest", !result.ok(), static_cast<double>(result.response.body.size()));
    if (result.ok() && result.response.status == httpStatus::ok)
        applyIfNewer(result.response.body, "peer " + peerAddress);
}

} // namespace egrettrestle
