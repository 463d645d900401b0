#include <egrettrestle/services/submission_table.hpp>

namespace egrettrestle {

namespace {

    // Until a manifest says otherwise.
    constexpr Seconds initialWindow { 600 };

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
    , m_window(initialWindow)
{
}

void SubmissionTable::setWindow(Duration window)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_window = window;
}

EntryResult SubmissionTable::outcome(const Entry& entry)
{
    EntryResult result;
    result.verdict = entry.reply ? EntryVerdict::Answered : EntryVerdict::AnswerDropped;
    if (entry.reply)
        result.reply = *entry.reply;
    return result;
}

EntryResult SubmissionTable::enter(const SubmissionKey& key, std::uint64_t body, bool joinOnly, TimePoint deadline)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    expire(SteadyClock::now());
    EntryResult result;
    while (true) {
        const auto found = m_entries.find(key);
        if (found == m_entries.end()) {
            if (joinOnly)
                return result;
            Entry& entry = m_entries[key];
            entry.body = body;
            result.verdict = EntryVerdict::Owner;
            return result;
        }
        Entry& entry = found->second;
        if (entry.body != body) {
            result.verdict = EntryVerdict::Conflict;
            return result;
        }
        if (entry.state == SubmissionState::Ended)
            return outcome(entry);
        if (entry.state == SubmissionState::NotStarted) {
            entry.state = SubmissionState::Active;
            result.verdict = EntryVerdict::Owner;
            return result;
        }
        const std::uint64_t turn = entry.turn;
        const bool moved = m_changed.wait_until(lock, deadline, [&] {
            const auto present = m_entries.find(key);
            return present == m_entries.end() || present->second.turn != turn;
        });
        if (!moved) {
            result.verdict = EntryVerdict::StillActive;
            return result;
        }
        // A request that waited takes the owner's answer, also a refusal, and does not try again by itself.
        const auto present = m_entries.find(key);
        if (present != m_entries.end() && present->second.state == SubmissionState::NotStarted && present->second.reply)
            return outcome(present->second);
    }
}

void SubmissionTable::leave(const SubmissionKey& key, SubmissionState state, const JobReply& reply)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Entry& entry = m_entries[key];
    entry.state = state;
    entry.expiry = SteadyClock::now() + m_window;
    ++entry.turn;
    m_expiries.push_back({ key, entry.expiry });
    keepReply(entry, key, reply);
    m_changed.notify_all();
}

void SubmissionTable::forget(const SubmissionKey& key)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_entries.erase(key);
    m_changed.notify_all();
}

void SubmissionTable::keepReply(Entry& entry, const SubmissionKey& key, const JobReply& reply)
{
    m_replyBytes -= entry.bytes;
    entry.reply = std::make_shared<const JobReply>(reply);
    entry.bytes = replyBytes(reply);
    m_replyBytes += entry.bytes;
    m_replies.push_back(key);
    while (m_replyBytes > m_answerMemoryBytes && m_replies.size() > 1) {
        const auto oldest = m_entries.find(m_replies.front());
        m_replies.pop_front();
        if (oldest == m_entries.end() || &oldest->second == &entry)
            continue;
        m_replyBytes -= oldest->second.bytes;
        oldest->second.bytes = 0;
        oldest->second.reply.reset();
    }
}

void SubmissionTable::expire(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.front().expiry <= now) {
        const auto found = m_entries.find(m_expiries.front().key);
        m_expiries.pop_front();
        // One that was taken up again has a later expiry of its own.
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

std::uint64_t SubmissionTable::body(const SubmissionKey& key) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? 0 : found->second.body;
}

std::size_t SubmissionTable::size() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_entries.size();
}

} // namespace egrettrestle
