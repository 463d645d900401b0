#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <egrettrestle/decision/manifest.hpp>
#include <egrettrestle/services/node.hpp>

namespace egrettrestle {

/// Holds the manifest in force. Its revision never goes back.
class ManifestService : public KernelService {
public:
    explicit ManifestService(Node& node)
        : m_node(node)
    {
    }

    std::string name() const override { return serviceNames::manifest; }
    absl::Status start() override { return absl::OkStatus(); }
    void stop() override { }

    /// The manifest in force, or null while there is none. It does not change; a newer one takes its place.
    std::shared_ptr<const Manifest> current() const;
    std::uint64_t revision() const;
    /// The text of the manifest in force, for a peer that does not have it.
    std::string text() const;

    /// Puts a manifest in force if it passes the checks and its revision is higher. True if it is in force now.
    bool offer(const std::string& text, const std::string& source);

    /// Fetches a peer's manifest if the peer says that it has a higher revision.
    void learnFrom(const std::string& peerAddress, std::uint64_t theirRevision);

    /// Called after each change, without any lock held. Set before start.
    void onChange(std::function<void(const Manifest&)> listener);

private:
    Node& m_node;
    mutable std::mutex m_mutex;
    std::shared_ptr<const Manifest> m_current;
    std::string m_text;
    std::string m_rejected;
    std::function<void(const Manifest&)> m_listener;
};

} // namespace egrettrestle
