#include <egrettrestle/decision/peer_channel.hpp>

#include <algorithm>

namespace egrettrestle {

std::size_t PeerChannel::discardPending()
{
    const std::size_t count = m_pending.size();
    m_firstPending += count;
    m_pending.clear();
    return count;
}

void PeerChannel::withdrawPendingRequests()
{
    for (PeerMessage& message : m_pending) {
        if (!message.request)
            continue;
        RunWithdrawal withdrawal;
        withdrawal.run = message.request->run;
        message = { {}, {}, {}, {}, std::move(withdrawal), {} };
    }
}

BatchHeader PeerChannel::batchHeader() const
{
    return { m_processIncarnation, m_peerProcessIncarnation, m_peerTimestamp, m_firstPending };
}

bool PeerChannel::isRecent(std::uint64_t timestamp, TimePoint now) const
{
    const std::uint64_t current = timestampAt(now);
    return timestamp <= current && current - timestamp <= static_cast<std::uint64_t>(m_limits.maxMessageAge.count());
}

/// Records the peer's current process. If the peer has restarted, discards the pending messages and returns true.
bool PeerChannel::updatePeerProcess(std::uint64_t processIncarnation)
{
    if (m_peerProcessIncarnation == processIncarnation)
        return false;
    const bool restarted = m_peerProcessIncarnation != 0;
    m_peerProcessIncarnation = processIncarnation;
    m_lastProcessed = 0;
    m_peerTimestamp = 0;
    if (restarted)
        discardPending();
    return restarted;
}

PeerChannel::ReplyResult PeerChannel::onReply(const BatchHeader& sent, std::size_t count, const BatchReply& reply)
{
    const bool fromEarlierProcess = m_peerProcessIncarnation != sent.receiverProcessIncarnation && m_peerProcessIncarnation != reply.processIncarnation;
    if (fromEarlierProcess && m_peerProcessIncarnation != 0)
        return {};
    ReplyResult result { true, updatePeerProcess(reply.processIncarnation) };
    m_peerTimestamp = reply.timestamp;
    const std::uint64_t afterLast = sent.firstMessage + count;
    if (reply.accepted && afterLast > m_firstPending) {
        const std::size_t confirmed = std::min<std::size_t>(afterLast - m_firstPending, m_pending.size());
        m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(confirmed));
        m_firstPending += confirmed;
    }
    return result;
}

PeerChannel::BatchResult PeerChannel::onBatch(const BatchHeader& stamp, std::size_t count, TimePoint now)
{
    if (stamp.receiverProcessIncarnation != m_processIncarnation || !isRecent(stamp.echoedTimestamp, now))
        return {};
    // A batch of an earlier process may arrive after one of the current process. Later processes have higher numbers, except
    // after the clock was set back; so a lower number is accepted once no batch of the earlier process can be in transit.
    const bool fromEarlierProcess = stamp.processIncarnation < m_peerProcessIncarnation && now - m_lastBatchAt < m_limits.maxMessageAge;
    if (fromEarlierProcess)
        return {};
    BatchResult batchResult;
    batchResult.accepted = true;
    batchResult.maxAge = Milliseconds { static_cast<std::int64_t>(timestampAt(now) - stamp.echoedTimestamp) };
    batchResult.peerRestarted = updatePeerProcess(stamp.processIncarnation);
    m_lastBatchAt = now;
    if (m_lastProcessed >= stamp.firstMessage)
        batchResult.duplicates = std::min<std::size_t>(count, m_lastProcessed - stamp.firstMessage + 1);
    if (count > 0)
        m_lastProcessed = std::max(m_lastProcessed, stamp.firstMessage + count - 1);
    return batchResult;
}

} // namespace egrettrestle
