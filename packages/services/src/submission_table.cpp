#include <egrettrestle/services/submission_table.hpp>

namespace egrettrestle {

namespace {

    // Applies until the first manifest is in force.
    constexpr Seconds defaultClaimWindow { 600 };

    std::size_t replyBytes(const JobReply& reply)
    {
        std::size_t bytes = sizeof(JobReply) + reply.detail.size();
        for (const std::string& answer : reply.answers)
            bytes += answer.size() + sizeof(std::string);
        return bytes;
    }

}

SubmissionTable::SubmissionTable(std::size_t answerMemoryBytes)
    : m_answerMemoryBytes(answerMemoryBytes)
    , m_claimWindow(defaultClaimWindow)
{
}

void SubmissionTable::setClaimWindow(Duration window)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_claimWindow = window;
}

AcquireResult SubmissionTable::replyResult(const Entry& entry)
{
    AcquireResult result;
    result.outcome = entry.reply ? AcquireOutcome::Answered : AcquireOutcome::AnswerDropped;
    if (entry.reply)
        result.reply = *entry.reply;
    return result;
}

AcquireResult SubmissionTable::acquire(const SubmissionKey& key, std::uint64_t bodyDigest, bool joinOnly, TimePoint deadline)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    expire(SteadyClock::now());
    AcquireResult result;
    while (true) {
        const auto found = m_entries.find(key);
        if (found == m_entries.end()) {
            if (joinOnly)
                return result;
            Entry& entry = m_entries[key];
            entry.bodyDigest = bodyDigest;
            result.outcome = AcquireOutcome::Acquired;
            return result;
        }
        Entry& entry = found->second;
        if (entry.bodyDigest != bodyDigest) {
            result.outcome = AcquireOutcome::Conflict;
            return result;
        }
        if (entry.state == SubmissionState::Ended)
            return replyResult(entry);
        if (entry.state == SubmissionState::NotStarted) {
            entry.state = SubmissionState::Active;
            result.outcome = AcquireOutcome::Acquired;
            return result;
        }
        const std::uint64_t completions = entry.completions;
        const bool changed = m_changed.wait_until(lock, deadline, [&] {
            const auto present = m_entries.find(key);
            return present == m_entries.end() || present->second.completions != completions;
        });
        if (!changed) {
            result.outcome = AcquireOutcome::WaitTimedOut;
            return result;
        }
        // A request that waited takes over the reply of the request it waited for, even a refusal, and does not retry.
        const auto present = m_entries.find(key);
        if (present != m_entries.end() && present->second.state == SubmissionState::NotStarted && present->second.reply)
            return replyResult(present->second);
    }
}

void SubmissionTable::finish(const SubmissionKey& key, SubmissionState state, const JobReply& reply)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Entry& entry = m_entries[key];
    entry.state = state;
    entry.expiry = SteadyClock::now() + m_claimWindow;
    ++entry.completions;
    m_expiryQueue.push_back({ key, entry.expiry });
    storeReply(entry, key, reply);
    m_changed.notify_all();
}

void SubmissionTable::forget(const SubmissionKey& key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_entries.erase(key);
    m_changed.notify_all();
}

void SubmissionTable::storeReply(Entry& entry, const SubmissionKey& key, const JobReply& reply)
{
    m_replyBytes -= entry.bytes;
    entry.reply = std::make_shared<const JobReply>(reply);
    entry.bytes = replyBytes(reply);
    m_replyBytes += entry.bytes;
    m_replyOrder.push_back(key);
    while (m_replyBytes > m_answerMemoryBytes && m_replyOrder.size() > 1) {
        const auto oldest = m_entries.find(m_replyOrder.front());
        m_replyOrder.pop_front();
        if (oldest == m_entries.end() || &oldest->second == &entry)
            continue;
        m_replyBytes -= oldest->second.bytes;
        oldest->second.bytes = 0;
        oldest->second.reply.reset();
    }
}

void SubmissionTable::expire(TimePoint now)
{
    while (!m_expiryQueue.empty() && m_expiryQueue.front().expiry <= now) {
        const auto found = m_entries.find(m_expiryQueue.front().key);
        m_expiryQueue.pop_front();
        // A submission that was acquired again gets a later expiry when it is finished.
        if (found == m_entries.end() || found->second.state == SubmissionState::Active || found->second.expiry > now)
            continue;
        m_replyBytes -= found->second.bytes;
        m_entries.erase(found);
    }
}

std::optional<SubmissionState> SubmissionTable::state(const SubmissionKey& key) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return std::nullopt;
    return found->second.state;
}

std::vector<SubmissionKey> SubmissionTable::notStarted() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<SubmissionKey> keys;
    for (const auto& entry : m_entries) {
        if (entry.second.state == SubmissionState::NotStarted)
            keys.push_back(entry.first);
    }
    return keys;
}

std::uint64_t SubmissionTable::bodyDigest(const SubmissionKey& key) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? 0 : found->second.bodyDigest;
}

std::size_t SubmissionTable::size() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_entries.size();
}

} // namespace egrettrestle
