#include <egrettrestle/decision/peer_channel.hpp>

#include <algorithm>

namespace egrettrestle {

void PeerChannel::discardPending()
{
    m_firstWaiting += m_outbox.size();
    m_outbox.clear();
}

BatchHeader PeerChannel::batchHeader() const
{
    return { m_ownLife, m_life, m_mark, m_firstWaiting };
}

bool PeerChannel::isRecent(std::uint64_t mark, TimePoint now) const
{
    const std::uint64_t present = timestampAt(now);
    return mark <= present && present - mark <= static_cast<std::uint64_t>(m_limits.maxMessageAge.count());
}

/// True if an earlier life was known.
bool PeerChannel::noteLife(std::uint64_t life)
{
    if (m_life == life)
        return false;
    const bool reborn = m_life != 0;
    m_life = life;
    m_lastTaken = 0;
    m_mark = 0;
    if (reborn)
        discardPending();
    return reborn;
}

PeerChannel::ReplyResult PeerChannel::onReply(const BatchHeader& sent, std::size_t count, const BatchReply& reply)
{
    const bool overtaken = m_life != sent.receiverProcessIncarnation && m_life != reply.processIncarnation;
    if (overtaken && m_life != 0)
        return {};
    ReplyResult answered { true, noteLife(reply.processIncarnation) };
    m_mark = reply.timestamp;
    const std::uint64_t behind = sent.firstMessage + count;
    if (reply.accepted && behind > m_firstWaiting) {
        const std::size_t done = std::min<std::size_t>(behind - m_firstWaiting, m_outbox.size());
        m_outbox.erase(m_outbox.begin(), m_outbox.begin() + static_cast<std::ptrdiff_t>(done));
        m_firstWaiting += done;
    }
    return answered;
}

PeerChannel::BatchResult PeerChannel::onBatch(const BatchHeader& stamp, std::size_t count, TimePoint now)
{
    if (stamp.receiverProcessIncarnation != m_ownLife || !isRecent(stamp.echoedTimestamp, now))
        return {};
    // A batch of the life before may have been on its way while the present one spoke.
    const bool earlierLife = stamp.processIncarnation < m_life && now - m_heardAt < m_limits.maxMessageAge;
    if (earlierLife)
        return {};
    BatchResult taken;
    taken.accepted = true;
    taken.peerRestarted = noteLife(stamp.processIncarnation);
    m_heardAt = now;
    if (m_lastTaken >= stamp.firstMessage)
        taken.duplicates = std::min<std::size_t>(count, m_lastTaken - stamp.firstMessage + 1);
    if (count > 0)
        m_lastTaken = std::max(m_lastTaken, stamp.firstMessage + count - 1);
    return taken;
}

} // namespace egrettrestle
