#include <egrettrestle/fleet/store_watcher.hpp>

#include <egrettrestle/fleet/dispatch_service.hpp>
#include <egrettrestle/fleet/membership.hpp>

namespace egrettrestle {

namespace {

    constexpr Milliseconds retryInterval { 150 };
    // Upstreams write their entry with every heartbeat: batching the changes saves calls, and a draining upstream is still
    // noticed in time.
    constexpr Milliseconds heartbeatBatchInterval { 500 };
    // Practically unlimited: a watch ends when it fails.
    constexpr Milliseconds watchDuration { 3'600'000 };
    // Duration of the first watch after a failure: its success shows that the store is available again.
    constexpr Milliseconds probeWatchDuration { 200 };
    // Lower bound for a draining VM, which watches only until its reply deadline.
    constexpr Milliseconds minWatchDuration { 50 };

    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

}

StoreWatcher::StoreWatcher(FleetContext& context)
    : m_context(context)
{
}

StoreWatcher::~StoreWatcher()
{
    stop();
}

absl::Status StoreWatcher::start()
{
    const StoreFormats& formats = *m_context.platform.formats;
    m_streams.push_back({ formats.configurationPrefix(), Milliseconds { 0 }, false, 0, {}, false, {}, {} });
    m_streams.push_back({ storeKeys::prefix, Milliseconds { 0 }, false, 0, {}, false, {}, {} });
    m_streams.push_back({ formats.upstreamPrefix(), heartbeatBatchInterval, false, 0, {}, false, {}, {} });
    for (Stream& stream : m_streams)
        stream.thread = std::thread([this, &stream] { watchLoop(stream); });
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

void StoreWatcher::watchLoop(Stream& stream)
{
    while (!m_stopping) {
        try {
            if (!readAndWatch(stream) && !m_stopping)
                std::this_thread::sleep_for(retryInterval);
        } catch (const std::exception& error) {
            // An entry that has an unforeseen effect must not end the process, nor hide the others.
            m_context.log.write(events::unexpectedError, { { "cause", error.what() }, { "prefix", stream.prefix }, { "revision", static_cast<std::int64_t>(stream.revision) } });
            stream.complete = false;
            std::this_thread::sleep_for(retryInterval);
        }
    }
}

/// Reads everything if that is necessary, then watches for changes. Returns false after a failure of the store.
bool StoreWatcher::readAndWatch(Stream& stream)
{
    absl::Status status = absl::OkStatus();
    if (!stream.complete)
        status = readAll(stream);
    if (status.ok()) {
        stream.complete = true;
        status = watch(stream);
    }
    if (status.ok()) {
        onStoreReply(stream);
        return true;
    }
    // The changes since the last revision are no longer in the store's history: everything is read again.
    if (errorCode(status) == platformErrors::storeHistoryCompacted)
        stream.complete = false;
    else
        onStoreUnavailable(stream, status);
    return false;
}

/// Applies changes until the store fails, this VM starts to drain or stops, or the duration of a probe watch is over.
absl::Status StoreWatcher::watch(Stream& stream)
{
    // A watch must not delay the shutdown: draining aborts the current watch, and the next one ends at the reply deadline.
    const bool draining = m_context.draining;
    const Milliseconds left = std::max(minWatchDuration, toMilliseconds(m_context.replyDeadline.load() - bootTimeNow()));
    const Milliseconds length = draining ? left : stream.storeUnavailable ? probeWatchDuration
                                                                          : watchDuration;
    const std::atomic<bool>& stop = draining ? m_stopping : m_context.draining;
    return m_context.platform.store->watch(stream.prefix, stream.revision + 1, length, length < watchDuration ? Milliseconds { 0 } : stream.batchInterval, stop, [this, &stream](const StoreEntry& entry) {
        onStoreReply(stream);
        stream.revision = std::max(stream.revision, entry.modRevision);
        applyEntry(stream, entry);
    });
}

absl::Status StoreWatcher::readAll(Stream& stream)
{
    absl::StatusOr<StoreSnapshot> snapshot = m_context.platform.store->readPrefix(stream.prefix);
    if (!snapshot.ok())
        return snapshot.status();
    std::set<std::string> present;
    for (const StoreEntry& entry : snapshot->entries) {
        present.insert(entry.key);
        applyEntry(stream, entry);
    }
    std::vector<std::string> absent;
    for (const auto& upstream : stream.upstreams) {
        if (present.count(upstream.first) == 0)
            absent.push_back(upstream.first);
    }
    for (const std::string& key : absent)
        removeUpstream(stream, key);
    stream.revision = std::max(stream.revision, snapshot->revision);
    return absl::OkStatus();
}

void StoreWatcher::applyEntry(Stream& stream, const StoreEntry& entry)
{
    const StoreFormats& formats = *m_context.platform.formats;
    if (!entry.fault.empty()) {
        m_context.log.write(events::entryRejected, { { "key", entry.key }, { "revision", static_cast<std::int64_t>(entry.modRevision) }, { "fault", entry.fault } });
        removeUpstream(stream, entry.key);
        return;
    }
    if (entry.key == formats.configurationKey()) {
        if (!entry.removed)
            applyConfiguration(entry.value, "store");
    } else if (startsWith(entry.key, formats.upstreamPrefix())) {
        if (entry.removed)
            removeUpstream(stream, entry.key);
        else
            applyUpstream(stream, entry);
    } else if (startsWith(entry.key, storeKeys::prefix)) {
        m_context.kernel.find<FleetMembership>(fleetServices::membership).onStoreEntry(entry);
    }
}

void StoreWatcher::applyConfiguration(const std::string& text, const char* source)
{
    std::vector<ValidationError> errors;
    std::optional<Configuration> configuration = m_context.platform.formats->readConfiguration(text, errors);
    if (!configuration) {
        m_context.log.write(events::configurationRejected, { { "source", source }, { "fault", errors.empty() ? std::string() : toString(errors.front()) } });
        return;
    }
    m_context.kernel.find<DispatchService>(fleetServices::dispatch).setConfiguration(std::make_shared<const Configuration>(std::move(*configuration)), text, source);
}

void StoreWatcher::applyUpstream(Stream& stream, const StoreEntry& entry)
{
    // Most entries are heartbeats of upstreams that are known.
    const std::size_t digest = m_context.platform.formats->upstreamDigest(entry.value);
    const auto listed = stream.upstreams.find(entry.key);
    if (listed != stream.upstreams.end() && listed->second == digest)
        return;
    std::vector<ValidationError> errors;
    const std::optional<UpstreamInfo> upstream = m_context.platform.formats->readUpstream(entry.key, entry.value, errors);
    if (!upstream) {
        m_context.log.write(events::entryRejected, { { "key", entry.key }, { "revision", static_cast<std::int64_t>(entry.modRevision) }, { "fault", errors.empty() ? std::string() : toString(errors.front()) } });
        removeUpstream(stream, entry.key);
        return;
    }
    stream.upstreams[entry.key] = digest;
    const bool changed = m_context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&upstream](Dispatcher& dispatcher, TimePoint now) {
        const UpstreamInfo* known = dispatcher.upstream(upstream->id);
        const bool differs = !known || *known != *upstream;
        dispatcher.setUpstream(*upstream, now);
        return differs;
    });
    if (changed)
        m_context.log.write(events::upstreamListed, { { "upstream", upstream->id }, { "revision", static_cast<std::int64_t>(entry.modRevision) }, { "address", upstream->address }, { "state", upstream->draining ? "draining" : "ready" }, { "startedAt", upstream->startedAt.count() }, { "milliCores", upstream->capacity.milliCores } });
}

void StoreWatcher::removeUpstream(Stream& stream, const std::string& key)
{
    if (stream.upstreams.erase(key) == 0)
        return;
    const UpstreamId id = key.substr(m_context.platform.formats->upstreamPrefix().size());
    m_context.log.write(events::upstreamUnlisted, { { "upstream", id } });
    m_context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&id](Dispatcher& dispatcher, TimePoint now) { dispatcher.onUpstreamUnlisted(id, now); });
}

void StoreWatcher::onStoreUnavailable(Stream& stream, const absl::Status& status)
{
    if (stream.storeUnavailable)
        return;
    stream.storeUnavailable = true;
    stream.unavailableSince = bootTimeNow();
    m_context.log.write(events::storeLost, { { "prefix", stream.prefix }, { "cause", std::string(status.message()) }, { "revision", static_cast<std::int64_t>(stream.revision) } });
}

void StoreWatcher::onStoreReply(Stream& stream)
{
    if (!stream.storeUnavailable)
        return;
    stream.storeUnavailable = false;
    m_context.log.write(events::storeRecovered, { { "prefix", stream.prefix }, { "awayMs", toMilliseconds(bootTimeNow() - stream.unavailableSince).count() }, { "revision", static_cast<std::int64_t>(stream.revision) } });
}

} // namespace egrettrestle
