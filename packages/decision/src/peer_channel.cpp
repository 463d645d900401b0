#include <egrettrestle/decision/peer_channel.hpp>

#include <algorithm>

namespace egrettrestle {

void PeerChannel::drop()
{
    m_firstWaiting += m_outbox.size();
    m_outbox.clear();
}

ChannelStamp PeerChannel::stamp() const
{
    return { m_ownLife, m_life, m_mark, m_firstWaiting };
}

bool PeerChannel::isRecent(std::uint64_t mark, TimePoint now) const
{
    const std::uint64_t present = markAt(now);
    return mark <= present && present - mark <= static_cast<std::uint64_t>(m_limits.oldestMessage.count());
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
        drop();
    return reborn;
}

PeerChannel::Answered PeerChannel::onReply(const ChannelStamp& sent, std::size_t count, const ChannelReply& reply)
{
    const bool overtaken = m_life != sent.receiverLife && m_life != reply.life;
    if (overtaken && m_life != 0)
        return {};
    Answered answered { true, noteLife(reply.life) };
    m_mark = reply.mark;
    const std::uint64_t behind = sent.firstMessage + count;
    if (reply.taken && behind > m_firstWaiting) {
        const std::size_t done = std::min<std::size_t>(behind - m_firstWaiting, m_outbox.size());
        m_outbox.erase(m_outbox.begin(), m_outbox.begin() + static_cast<std::ptrdiff_t>(done));
        m_firstWaiting += done;
    }
    return answered;
}

PeerChannel::Taken PeerChannel::onBatch(const ChannelStamp& stamp, std::size_t count, TimePoint now)
{
    if (stamp.receiverLife != m_ownLife || !isRecent(stamp.mark, now))
        return {};
    // A batch of the life before may have been on its way while the present one spoke.
    const bool earlierLife = stamp.life < m_life && now - m_heardAt < m_limits.oldestMessage;
    if (earlierLife)
        return {};
    Taken taken;
    taken.counts = true;
    taken.reborn = noteLife(stamp.life);
    m_heardAt = now;
    if (m_lastTaken >= stamp.firstMessage)
        taken.known = std::min<std::size_t>(count, m_lastTaken - stamp.firstMessage + 1);
    if (count > 0)
        m_lastTaken = std::max(m_lastTaken, stamp.firstMessage + count - 1);
    return taken;
}

} // namespace egrettrestle
