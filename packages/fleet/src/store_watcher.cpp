#include <egrettrestle/fleet/store_watcher.hpp>

#include <egrettrestle/fleet/decision_log.hpp>
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
    // Every batch of messages between VMs carries the names of the data centres that are being evacuated. A platform has a
    // few; more are an error of their writer, and the first ones by name count.
    constexpr int maxEvacuations = 64;

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
    struct Watched {
        std::string prefix;
        Milliseconds batchInterval;
        WorkKind work;
    };
    for (const Watched& watched : { Watched { formats.operatorPrefix(), Milliseconds { 0 }, WorkKind::OperatorWatch }, Watched { storeKeys::prefix, Milliseconds { 0 }, WorkKind::ViewWatch }, Watched { formats.upstreamPrefix(), heartbeatBatchInterval, WorkKind::UpstreamWatch } }) {
        m_streams.emplace_back();
        m_streams.back().prefix = watched.prefix;
        m_streams.back().batchInterval = watched.batchInterval;
        m_streams.back().work = watched.work;
    }
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
        // Not before all changes of a transaction have been applied: other VMs ignore a second set of the same revision.
        if (stream.evacuationsChanged && !entry.moreFollow)
            publishEvacuations(stream, std::max(stream.revision, entry.deliveredUntil));
        if (!entry.moreFollow)
            countWork(stream);
    });
}

absl::Status StoreWatcher::readAll(Stream& stream)
{
    absl::StatusOr<StoreSnapshot> snapshot = m_context.platform.store->readPrefix(stream.prefix);
    if (!snapshot.ok())
        return snapshot.status();
    std::set<std::string> present;
    // An evacuation that is absent now has ended.
    stream.evacuated.clear();
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
    if (startsWith(m_context.platform.formats->evacuationPrefix(), stream.prefix))
        publishEvacuations(stream, snapshot->revision);
    return absl::OkStatus();
}

/// Called on the stream's thread, whose whole time since the last call counts: also that of the call to the store.
void StoreWatcher::countWork(Stream& stream)
{
    const Duration time = WorkMeter::threadTime();
    m_context.work.add(stream.work, time - stream.workCounted);
    stream.workCounted = time;
}

void StoreWatcher::applyEntry(Stream& stream, const StoreEntry& entry)
{
    const StoreFormats& formats = *m_context.platform.formats;
    if (startsWith(entry.key, formats.evacuationPrefix())) {
        applyEvacuation(stream, entry);
        return;
    }
    // Operators have other keys there, which mean nothing here.
    const bool isForeign = !entry.key.empty() && startsWith(entry.key, formats.operatorPrefix()) && entry.key != formats.configurationKey();
    if (isForeign)
        return;
    if (!entry.fault.empty()) {
        rejectEntry(entry, entry.fault);
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

void StoreWatcher::rejectEntry(const StoreEntry& entry, const std::string& fault)
{
    m_context.log.write(events::entryRejected, { { "key", entry.key }, { "revision", static_cast<std::int64_t>(entry.modRevision) }, { "fault", fault } });
}

/// The key is the request, so one with an unreadable value counts as well.
void StoreWatcher::applyEvacuation(Stream& stream, const StoreEntry& entry)
{
    std::vector<ValidationError> errors;
    const std::optional<DataCentreId> dataCentre = m_context.platform.formats->readEvacuation(entry.key, errors);
    if (!dataCentre) {
        if (!entry.removed)
            rejectEntry(entry, errors.empty() ? std::string() : toString(errors.front()));
        return;
    }
    if (!entry.fault.empty())
        m_context.log.write(events::entryFieldIgnored, { { "key", entry.key }, { "revision", static_cast<std::int64_t>(entry.modRevision) }, { "fault", entry.fault } });
    if (entry.removed)
        stream.evacuated.erase(*dataCentre);
    else
        stream.evacuated.insert(*dataCentre);
    stream.evacuationsChanged = true;
}

void StoreWatcher::publishEvacuations(Stream& stream, std::uint64_t revision)
{
    stream.evacuationsChanged = false;
    Evacuations evacuations { revision, stream.evacuated };
    if (evacuations.dataCentres.size() > maxEvacuations)
        evacuations.dataCentres.erase(std::next(evacuations.dataCentres.begin(), maxEvacuations), evacuations.dataCentres.end());
    m_context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&evacuations](Dispatcher& dispatcher, TimePoint now) { dispatcher.setEvacuations(evacuations, EvacuationSource::Store, now); });
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
        rejectEntry(entry, errors.empty() ? std::string() : toString(errors.front()));
        removeUpstream(stream, entry.key);
        return;
    }
    stream.upstreams[entry.key] = digest;
    if (errors.empty())
        stream.keysWithIgnoredFields.erase(entry.key);
    else if (stream.keysWithIgnoredFields.insert(entry.key).second)
        m_context.log.write(events::entryFieldIgnored, { { "key", entry.key }, { "revision", static_cast<std::int64_t>(entry.modRevision) }, { "fault", toString(errors.front()) } });
    const bool changed = m_context.kernel.find<DispatchService>(fleetServices::dispatch).withDispatcher([&upstream](Dispatcher& dispatcher, TimePoint now) {
        const UpstreamInfo* known = dispatcher.upstream(upstream->id);
        const bool differs = !known || *known != *upstream;
        dispatcher.setUpstream(*upstream, now);
        return differs;
    });
    if (changed)
        m_context.log.write(events::upstreamListed, { { "upstream", upstream->id }, { "revision", static_cast<std::int64_t>(entry.modRevision) }, { "address", upstream->address }, { "state", upstream->draining ? "draining" : "ready" }, { "startedAt", upstream->startedAt.count() }, { "service", upstream->service }, { "labels", labelsToString(*upstream) }, { "milliCores", upstream->capacity.milliCores } });
}

void StoreWatcher::removeUpstream(Stream& stream, const std::string& key)
{
    if (stream.upstreams.erase(key) == 0)
        return;
    stream.keysWithIgnoredFields.erase(key);
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
