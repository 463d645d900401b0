#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include <egrettrestle/decision/dispatch_types.hpp>

namespace egrettrestle {

/// Header of a batch of messages from one VM to another: identifies both processes and numbers the messages.
struct BatchHeader {
    /// Identifies one start of the sender's process; never 0. Later starts have higher numbers unless the clock is set back.
    std::uint64_t processIncarnation = 0;
    /// Identifies the process that the batch is addressed to; 0 before the first reply.
    std::uint64_t receiverProcessIncarnation = 0;
    /// The time-stamp of the receiver's last reply, in milliseconds of the receiver's own clock. If it is too old, the batch
    /// was delayed on the way.
    std::uint64_t echoedTimestamp = 0;
    /// Number of the first message. One process numbers its messages to each receiver from 1.
    std::uint64_t firstMessage = 1;
};

/// Reply to a batch.
struct BatchReply {
    /// Identifies the receiver's process.
    std::uint64_t processIncarnation = 0;
    /// Time-stamp to be echoed in the next batch, in milliseconds of the receiver's own clock.
    std::uint64_t timestamp = 0;
    /// Whether every message of the batch has been processed, now or before.
    bool accepted = false;
};

/// Limits of a channel.
struct ChannelLimits {
    /// Messages that were in transit for longer, by the receiver's own clock, are not processed.
    Milliseconds maxMessageAge { 600 };
};

/// Both ends of the messages between this process and another VM. Each message is processed at most once, in the order
/// sent, and only by the process that it is addressed to, even if batches and replies are lost, delayed or repeated.
/// Batches may overlap: a repeated one may contain more messages than the one before. Not thread-safe.
class PeerChannel {
public:
    PeerChannel(std::uint64_t processIncarnation, ChannelLimits limits)
        : m_limits(limits)
        , m_processIncarnation(processIncarnation)
    {
    }

    /// @name sending
    /// @{
    /// Queues a message.
    void send(PeerMessage message) { m_pending.push_back(std::move(message)); }
    /// Whether no message is pending.
    bool isEmpty() const { return m_pending.empty(); }
    /// Discards the pending messages and returns their number. Those that were already sent may still be processed, until
    /// they are too old.
    std::size_t discardPending();
    /// Replaces the pending requests by withdrawals of the same runs, because the peer does not reply and the tasks are started
    /// elsewhere. The numbers of the messages stay. All other messages are kept, since the peer cannot learn otherwise what has
    /// become of its runs here, and which runs this VM claims: that it does not reply does not mean that it has lost them.
    void withdrawPendingRequests();
    /// The header for a batch of all pending messages.
    BatchHeader batchHeader() const;
    /// The messages that have not been confirmed by a reply.
    std::vector<PeerMessage> pendingMessages() const { return { m_pending.begin(), m_pending.end() }; }

    struct ReplyResult {
        /// Whether the reply was used. It is ignored if the peer has restarted since the batch was made, and the reply is not
        /// from its current process.
        bool accepted = false;
        /// Whether the reply came from another process than the one known before; the messages pending for that one have
        /// been discarded.
        bool peerRestarted = false;
    };
    /// Processes the reply to a batch of `count` messages that was sent with the header `sent`. Removes the messages that the
    /// reply confirms.
    ReplyResult onReply(const BatchHeader& sent, std::size_t count, const BatchReply& reply);
    /// @}

    struct BatchResult {
        /// Whether the batch may be processed; the reply must report the same.
        bool accepted = false;
        /// Whether the batch came from another process than the one known before.
        bool peerRestarted = false;
        /// The number of messages at the start of the batch that were already processed and must be skipped.
        std::size_t duplicates = 0;
        /// The batch was made at most this long ago: after the reply whose time-stamp it echoes.
        Milliseconds maxAge { 0 };
    };
    /// Checks a batch of `count` messages and records its messages as processed. The caller must process them before anything
    /// else that concerns the other VM.
    BatchResult onBatch(const BatchHeader& stamp, std::size_t count, TimePoint now);

    /// The time-stamp for a reply that is sent at `time`.
    static std::uint64_t timestampAt(TimePoint time) { return static_cast<std::uint64_t>(toMilliseconds(time.time_since_epoch()).count()); }

private:
    bool isRecent(std::uint64_t timestamp, TimePoint now) const;
    bool updatePeerProcess(std::uint64_t processIncarnation);

    ChannelLimits m_limits;
    std::uint64_t m_processIncarnation;
    /// Identifies the other VM's current process; 0 before the first contact.
    std::uint64_t m_peerProcessIncarnation = 0;
    /// Time-stamp of the peer's last reply.
    std::uint64_t m_peerTimestamp = 0;
    TimePoint m_lastBatchAt {};
    /// Messages that have not been confirmed by a reply.
    std::deque<PeerMessage> m_pending;
    /// Number of the first pending message.
    std::uint64_t m_firstPending = 1;
    /// Number of the last message that was processed from the peer's current process.
    std::uint64_t m_lastProcessed = 0;
};

} // namespace egrettrestle
