#include <egrettrestle/fleet/store_watcher.hpp>

#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/membership.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds retryPause { 150 };
    // Upstreams write at every heartbeat; gathering them saves calls and leaves time within the bound on draining.
    constexpr Milliseconds heartbeatGather { 500 };
    // A watch goes on until it fails.
    constexpr Milliseconds watchLength { 3'600'000 };
    // The first watch after the store was away: its end shows that the store is back.
    constexpr Milliseconds proofWatch { 200 };
    // After the last answer of a VM that ends, changes are of no use to it.
    constexpr Milliseconds shortestWatch { 50 };

    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

}

StoreWatcher::StoreWatcher(FleetContext& node)
    : m_node(node)
{
}

StoreWatcher::~StoreWatcher()
{
    stop();
}

absl::Status StoreWatcher::start()
{
    const StoreFormats& formats = *m_node.platform.formats;
    m_streams.push_back({ formats.configurationPrefix(), Milliseconds { 0 }, 0, {}, false, {}, {} });
    m_streams.push_back({ storeKeys::prefix, Milliseconds { 0 }, 0, {}, false, {}, {} });
    m_streams.push_back({ formats.upstreamPrefix(), heartbeatGather, 0, {}, false, {}, {} });
    for (Stream& stream : m_streams)
        stream.thread = std::thread([this, &stream] { follow(stream); });
    return absl::OkStatus();
}

void StoreWatcher::stop()
{
    m_stopping = true;
    for (Stream& stream : m_streams) {
        if (stream.thread.joinable())
            stream.thread.join();
    }
}

void StoreWatcher::follow(Stream& stream)
{
    bool complete = false;
    while (!m_stopping) {
        absl::Status status = absl::OkStatus();
        if (!complete)
            status = readAll(stream);
        if (status.ok()) {
            complete = true;
            status = watch(stream);
        }
        if (status.ok())
            storeAnswers(stream);
        if (status.ok() || m_stopping)
            continue;
        // What was missed cannot be had from the history any more.
        if (errorCode(status) == platformErrors::storeHistoryCompacted)
            complete = false;
        else
            storeLost(stream, status);
        std::this_thread::sleep_for(retryPause);
    }
}

/// Follows changes until the store fails, this VM ends, or a watch that had to show that the store is back is over.
absl::Status StoreWatcher::watch(Stream& stream)
{
    // A VM that ends must not be kept by a watch: the one under way is given up, the next ends with its last answer.
    const bool leaving = m_node.draining;
    const Milliseconds left = std::max(shortestWatch, toMilliseconds(m_node.replyDeadline.load() - bootTimeNow()));
    const Milliseconds length = leaving ? left : stream.lost ? proofWatch
                                                             : watchLength;
    const std::atomic<bool>& stop = leaving ? m_stopping : m_node.draining;
    return m_node.platform.store->watch(stream.prefix, stream.revision + 1, length, length < watchLength ? Milliseconds { 0 } : stream.gatherTime, stop, [this, &stream](const StoreEntry& entry) {
        storeAnswers(stream);
        stream.revision = std::max(stream.revision, entry.modRevision);
        take(stream, entry);
    });
}

absl::Status StoreWatcher::readAll(Stream& stream)
{
    absl::StatusOr<StoreSnapshot> snapshot = m_node.platform.store->readPrefix(stream.prefix);
    if (!snapshot.ok())
        return snapshot.status();
    std::set<std::string> present;
    for (const StoreEntry& entry : snapshot->entries) {
        present.insert(entry.key);
        take(stream, entry);
    }
    const std::set<std::string> before = stream.keys;
    for (const std::string& key : before) {
        if (present.count(key) == 0)
            dropUpstream(stream, key);
    }
    stream.revision = std::max(stream.revision, snapshot->revision);
    return absl::OkStatus();
}

void StoreWatcher::take(Stream& stream, const StoreEntry& entry)
{
    const StoreFormats& formats = *m_node.platform.formats;
    if (entry.key == formats.configurationKey()) {
        if (!entry.removed)
            applyConfiguration(entry.value, "store");
    } else if (startsWith(entry.key, formats.upstreamPrefix())) {
        if (entry.removed)
            dropUpstream(stream, entry.key);
        else
            takeUpstream(stream, entry);
    } else if (startsWith(entry.key, storeKeys::prefix)) {
        m_node.kernel.find<FleetMembership>(fleetServices::membership).onStoreEntry(entry);
    }
}

void StoreWatcher::applyConfiguration(const std::string& text, const char* source)
{
    std::vector<ValidationError> faults;
    std::optional<Configuration> configuration = m_node.platform.formats->readConfiguration(text, faults);
    if (!configuration) {
        m_node.log.write(events::configurationRejected, { { "source", source }, { "fault", faults.empty() ? std::string() : toString(faults.front()) } });
        return;
    }
    m_node.kernel.find<DispatchService>(fleetServices::dispatch).setConfiguration(std::make_shared<const Configuration>(std::move(*configuration)), text, source);
}

void StoreWatcher::takeUpstream(Stream& stream, const StoreEntry& entry)
{
    std::vector<ValidationError> faults;
    const std::optional<UpstreamInfo> upstream = m_node.platform.formats->readUpstream(entry.key, entry.value, faults);
    if (!upstream) {
        m_node.log.write(events::entryRejected, { { "key", entry.key }, { "revision", static_cast<std::int64_t>(entry.modRevision) }, { "fault", faults.empty() ? std::string() : toString(faults.front()) } });
        dropUpstream(stream, entry.key);
        return;
    }
    stream.keys.insert(entry.key);
    const bool changed = m_node.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&upstream](Dispatcher& dispatcher, TimePoint now) {
        const UpstreamInfo* known = dispatcher.upstream(upstream->id);
        const bool differs = !known || *known != *upstream;
        dispatcher.setUpstream(*upstream, now);
        return differs;
    });
    if (changed)
        m_node.log.write(events::upstreamListed, { { "upstream", upstream->id }, { "revision", static_cast<std::int64_t>(entry.modRevision) }, { "state", upstream->draining ? "draining" : "ready" }, { "startedAt", upstream->startedAt.count() } });
}

void StoreWatcher::dropUpstream(Stream& stream, const std::string& key)
{
    if (stream.keys.erase(key) == 0)
        return;
    const UpstreamId id = key.substr(m_node.platform.formats->upstreamPrefix().size());
    m_node.log.write(events::upstreamUnlisted, { { "upstream", id } });
    m_node.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&id](Dispatcher& dispatcher, TimePoint now) { dispatcher.onUpstreamUnlisted(id, now); });
}

void StoreWatcher::storeLost(Stream& stream, const absl::Status& status)
{
    if (stream.lost)
        return;
    stream.lost = true;
    stream.lostSince = bootTimeNow();
    m_node.log.write(events::storeLost, { { "prefix", stream.prefix }, { "cause", std::string(status.message()) }, { "revision", static_cast<std::int64_t>(stream.revision) } });
}

void StoreWatcher::storeAnswers(Stream& stream)
{
    if (!stream.lost)
        return;
    stream.lost = false;
    m_node.log.write(events::storeRecovered, { { "prefix", stream.prefix }, { "awayMs", toMilliseconds(bootTimeNow() - stream.lostSince).count() }, { "revision", static_cast<std::int64_t>(stream.revision) } });
}

} // namespace egrettrestle
