#include <catch2/catch.hpp>

#include <optional>

#include <egrettrestle/decision/peer_channel.hpp>

using namespace egrettrestle;

namespace {

constexpr std::uint64_t senderLife = 100;
constexpr std::uint64_t receiverLife = 200;

PeerMessage messageNumbered(int number)
{
    PeerMessage message;
    message.returned = RunReturned { { { "j" + std::to_string(number), 0, 0 }, 1 }, ReturnReason::Withdrawn };
    return message;
}

/// A batch as it is on its way.
struct Batch {
    BatchHeader stamp;
    std::vector<PeerMessage> messages;
};

/// Two channels that face each other, and the jobs whose messages the receiver acted on.
struct ChannelPair {
    TimePoint now { std::chrono::hours { 1 } };
    PeerChannel sender { senderLife, {} };
    PeerChannel receiver { receiverLife, {} };
    std::uint64_t presentLife = receiverLife;
    std::vector<std::string> seen;
    int rebirths = 0;

    Batch batch() const { return { sender.batchHeader(), sender.pendingMessages() }; }

    BatchReply deliver(const Batch& batch)
    {
        const PeerChannel::BatchResult taken = receiver.onBatch(batch.stamp, batch.messages.size(), now);
        if (taken.accepted) {
            for (std::size_t place = taken.duplicates; place < batch.messages.size(); ++place)
                seen.push_back(batch.messages[place].returned->run.task.job);
        }
        return { presentLife, PeerChannel::timestampAt(now), taken.accepted };
    }

    void answer(const Batch& batch, const BatchReply& reply)
    {
        if (sender.onReply(batch.stamp, batch.messages.size(), reply).peerRestarted)
            ++rebirths;
    }

    void exchange()
    {
        const Batch sent = batch();
        answer(sent, deliver(sent));
    }

    void restartReceiver()
    {
        presentLife += 50;
        receiver = PeerChannel { presentLife, {} };
    }

    /// The receiver's process speaks first.
    void receiverSpeaks()
    {
        const BatchHeader stamp { presentLife, senderLife, PeerChannel::timestampAt(now), 1 };
        if (sender.onBatch(stamp, 0, now).peerRestarted)
            ++rebirths;
    }
};

}

TEST_CASE("messages between VMs arrive once and in order")
{
    ChannelPair pair;
    pair.exchange();
    pair.sender.send(messageNumbered(1));

    SECTION("where nothing is lost")
    {
        pair.exchange();
        CHECK(pair.seen == std::vector<std::string> { "j1" });
        CHECK(pair.sender.isEmpty());
    }

    SECTION("where a batch is lost")
    {
        pair.batch();
        pair.sender.send(messageNumbered(2));
        pair.exchange();
        CHECK(pair.seen == std::vector<std::string> { "j1", "j2" });
    }

    SECTION("where a reply is lost and the repeated batch holds more")
    {
        // Pattern: a VM held off its processor answers too late, while new tasks are sent to it.
        pair.deliver(pair.batch());
        pair.sender.send(messageNumbered(2));
        pair.exchange();
        CHECK(pair.seen == std::vector<std::string> { "j1", "j2" });
        CHECK(pair.sender.isEmpty());
    }

    SECTION("where the first batch comes after the repeated one")
    {
        const Batch late = pair.batch();
        pair.sender.send(messageNumbered(2));
        pair.exchange();
        pair.deliver(late);
        CHECK(pair.seen == std::vector<std::string> { "j1", "j2" });
    }

    SECTION("where a batch comes too late and is then repeated")
    {
        const Batch sent = pair.batch();
        pair.now += Milliseconds { 700 };
        pair.answer(sent, pair.deliver(sent));
        CHECK(pair.seen.empty());
        pair.exchange();
        CHECK(pair.seen == std::vector<std::string> { "j1" });
    }

    SECTION("where what waited was dropped meanwhile")
    {
        // Pattern: a VM is cut off, is taken for lost, and comes back in the same life.
        pair.exchange();
        pair.sender.send(messageNumbered(2));
        pair.sender.discardPending();
        pair.sender.send(messageNumbered(3));
        pair.exchange();
        CHECK(pair.seen == std::vector<std::string> { "j1", "j3" });
    }
}

TEST_CASE("messages between VMs are acted on only by the life that they were meant for")
{
    ChannelPair pair;
    pair.exchange();

    SECTION("what waits is dropped when the reply shows another life")
    {
        pair.sender.send(messageNumbered(1));
        pair.restartReceiver();
        pair.exchange();
        CHECK(pair.rebirths == 1);
        CHECK(pair.sender.isEmpty());
        pair.exchange();
        CHECK(pair.seen.empty());
    }

    SECTION("a late reply of the life before does not bring it back")
    {
        // Pattern: VMs restarted in turn under load; a reply is read after the new process has spoken.
        const Batch old = pair.batch();
        const BatchReply late = pair.deliver(old);
        pair.restartReceiver();
        pair.receiverSpeaks();
        REQUIRE(pair.rebirths == 1);
        pair.sender.send(messageNumbered(1));
        pair.answer(old, late);
        CHECK(pair.rebirths == 1);
        pair.exchange();
        pair.exchange();
        CHECK(pair.seen == std::vector<std::string> { "j1" });
        pair.receiverSpeaks();
        CHECK(pair.rebirths == 1);
    }

    SECTION("a batch of the sender's life before is not acted on once the present one has spoken")
    {
        pair.exchange();
        PeerChannel next { senderLife + 1, {} };
        next.onReply(next.batchHeader(), 0, pair.deliver({ next.batchHeader(), {} }));
        pair.sender.send(messageNumbered(1));
        const Batch late = pair.batch();
        REQUIRE(pair.receiver.onBatch(next.batchHeader(), 0, pair.now).peerRestarted);
        CHECK_FALSE(pair.deliver(late).accepted);
        CHECK(pair.seen.empty());
    }

    SECTION("a mark ahead of the receiver's clock is another life's")
    {
        BatchHeader stamp = pair.sender.batchHeader();
        stamp.echoedTimestamp += 5'000;
        CHECK_FALSE(pair.receiver.onBatch(stamp, 0, pair.now).accepted);
    }
}
