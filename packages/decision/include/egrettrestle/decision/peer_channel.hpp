#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>

namespace egrettrestle {

/// What a batch of messages from one VM to another says about the two processes and the order of messages.
struct BatchHeader {
    /// Names one life of the sender's process; never 0.
    std::uint64_t processIncarnation = 0;
    /// The life that the batch is meant for; 0 before the first reply.
    std::uint64_t receiverProcessIncarnation = 0;
    /// The receiver's mark of its last reply, in milliseconds of its own clock. Too old a mark shows that the batch was
    /// held up on the way.
    std::uint64_t echoedTimestamp = 0;
    /// Number of the first message. Those that one life sends to one receiver are counted from 1.
    std::uint64_t firstMessage = 1;
};

/// What the reply to a batch says about the receiver's process.
struct BatchReply {
    std::uint64_t processIncarnation = 0;
    std::uint64_t timestamp = 0;
    /// Whether every message of the batch was acted on, now or before.
    bool accepted = false;
};

/// Bounds of a channel.
struct ChannelLimits {
    /// Messages that were on their way for longer, by the receiver's own clock, are not acted on.
    Milliseconds maxMessageAge { 600 };
};

/// Messages between this process and another VM: each is acted on once by the life of the process that it was meant for,
/// in the order sent, or not at all, although batches and replies are lost, held up and repeated. Batches may overlap: a
/// repeated one may hold more messages than the one before. Not safe for use by several threads.
class PeerChannel {
public:
    PeerChannel(std::uint64_t ownLife, ChannelLimits limits)
        : m_limits(limits)
        , m_ownLife(ownLife)
    {
    }

    /// @name sending
    /// @{
    void send(PeerMessage message) { m_outbox.push_back(std::move(message)); }
    bool isEmpty() const { return m_outbox.empty(); }
    /// Drops what waits; what is on its way may still arrive, for `oldestMessage` at most.
    void discardPending();
    /// The stamp of a batch of all messages that wait.
    BatchHeader batchHeader() const;
    std::vector<PeerMessage> pendingMessages() const { return { m_outbox.begin(), m_outbox.end() }; }

    struct ReplyResult {
        /// Whether the reply counts: one to a batch that was made before another life was heard of tells nothing.
        bool accepted = false;
        /// Whether it came from another life than the one known before; what waited for that one has been dropped.
        bool peerRestarted = false;
    };
    /// Takes the reply to a batch of so many messages.
    ReplyResult onReply(const BatchHeader& sent, std::size_t count, const BatchReply& reply);
    /// @}

    struct BatchResult {
        /// Whether the batch counts; otherwise it is to be answered as not taken.
        bool accepted = false;
        bool peerRestarted = false;
        /// How many of the first messages were acted on before.
        std::size_t duplicates = 0;
    };
    /// Takes a batch of so many messages, which the caller acts on before anything else that concerns the other VM.
    BatchResult onBatch(const BatchHeader& stamp, std::size_t count, TimePoint now);

    /// This VM's mark for a reply.
    static std::uint64_t timestampAt(TimePoint time) { return static_cast<std::uint64_t>(toMilliseconds(time.time_since_epoch()).count()); }

private:
    bool isRecent(std::uint64_t mark, TimePoint now) const;
    bool noteLife(std::uint64_t life);

    ChannelLimits m_limits;
    std::uint64_t m_ownLife;
    /// The other process's present life; 0 before it was heard.
    std::uint64_t m_life = 0;
    std::uint64_t m_mark = 0;
    TimePoint m_heardAt {};
    std::deque<PeerMessage> m_outbox;
    /// Number of the first message that waits.
    std::uint64_t m_firstWaiting = 1;
    /// Number of the last message taken from the other's present life.
    std::uint64_t m_lastTaken = 0;
};

} // namespace egrettrestle
