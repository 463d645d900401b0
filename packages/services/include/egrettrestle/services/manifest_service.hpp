#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <egrettrestle/decision/manifest.hpp>
#include <egrettrestle/services/service_context.hpp>

namespace egrettrestle {

/// Holds the manifest in force. Its revision never decreases. Thread-safe.
class ManifestService : public KernelService {
public:
    explicit ManifestService(ServiceContext& context)
        : m_context(context)
    {
    }

    std::string name() const override { return serviceNames::manifest; }
    absl::Status start() override { return absl::OkStatus(); }
    void stop() override { }

    /// The manifest in force, or null if there is none yet. The object is immutable; a newer manifest replaces it.
    std::shared_ptr<const Manifest> current() const;
    /// The revision in force, or 0 if there is none yet.
    std::uint64_t revision() const;
    /// The JSON text of the manifest in force, for peers that fetch it. Empty if there is none yet.
    std::string text() const;

    /// Puts a manifest in force if it is valid and its revision is higher than the current one. Returns whether it was
    /// put in force by this call; a rejected manifest is logged. `source` names its origin in the log.
    bool applyIfNewer(const std::string& text, const std::string& source);

    /// Fetches the manifest of a peer that has reported a higher revision. Errors are ignored; a later heartbeat
    /// retries.
    void fetchIfNewer(const std::string& peerAddress, std::uint64_t peerRevision);

    /// Sets the function that is called after each change, without a lock held. Must be set before start().
    void onChange(std::function<void(const Manifest&)> listener);

private:
    ServiceContext& m_context;
    mutable std::mutex m_mutex;
    std::shared_ptr<const Manifest> m_current;
    std::string m_text;
    /// The manifest rejected last, so that it is not parsed and logged again each time it is read.
    std::string m_rejectedText;
    std::function<void(const Manifest&)> m_listener;
};

} // namespace egrettrestle
