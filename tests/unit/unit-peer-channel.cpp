#include <catch2/catch.hpp>

#include <optional>

#include <egrettrestle/decision/peer_channel.hpp>

using namespace egrettrestle;

namespace {

constexpr std::uint64_t senderIncarnation = 100;
constexpr std::uint64_t receiverIncarnation = 200;

PeerMessage numberedMessage(int number)
{
    PeerMessage message;
    message.returned = RunReturned { { { "j" + std::to_string(number), 0, 0 }, 1 }, ReturnReason::Withdrawn };
    return message;
}

/// A batch in transit.
struct Batch {
    BatchHeader stamp;
    std::vector<PeerMessage> messages;
};

/// The two ends of a channel, and the jobs whose messages the receiver has processed.
struct ChannelPair {
    TimePoint now { std::chrono::hours { 1 } };
    PeerChannel sender { senderIncarnation, {} };
    PeerChannel receiver { receiverIncarnation, {} };
    std::uint64_t currentIncarnation = receiverIncarnation;
    std::vector<std::string> processed;
    int restarts = 0;

    Batch batch() const { return { sender.batchHeader(), sender.pendingMessages() }; }

    BatchReply deliver(const Batch& batch)
    {
        const PeerChannel::BatchResult batchResult = receiver.onBatch(batch.stamp, batch.messages.size(), now);
        if (batchResult.accepted) {
            for (std::size_t index = batchResult.duplicates; index < batch.messages.size(); ++index)
                processed.push_back(batch.messages[index].returned->run.task.job);
        }
        return { currentIncarnation, PeerChannel::timestampAt(now), batchResult.accepted };
    }

    void deliverReply(const Batch& batch, const BatchReply& reply)
    {
        if (sender.onReply(batch.stamp, batch.messages.size(), reply).peerRestarted)
            ++restarts;
    }

    void exchange()
    {
        const Batch sent = batch();
        deliverReply(sent, deliver(sent));
    }

    void restartReceiver()
    {
        currentIncarnation += 50;
        receiver = PeerChannel { currentIncarnation, {} };
    }

    /// Lets the receiver's process send a batch to the sender.
    void receiverSendsBatch()
    {
        const BatchHeader stamp { currentIncarnation, senderIncarnation, PeerChannel::timestampAt(now), 1 };
        if (sender.onBatch(stamp, 0, now).peerRestarted)
            ++restarts;
    }
};

}

// Guards against messages that are processed twice, out of order or not at all.
TEST_CASE("messages between VMs are processed once and in order")
{
    ChannelPair pair;
    pair.exchange();
    pair.sender.send(numberedMessage(1));

    SECTION("without losses")
    {
        pair.exchange();
        CHECK(pair.processed == std::vector<std::string> { "j1" });
        CHECK(pair.sender.isEmpty());
    }

    SECTION("after the loss of a batch")
    {
        pair.batch();
        pair.sender.send(numberedMessage(2));
        pair.exchange();
        CHECK(pair.processed == std::vector<std::string> { "j1", "j2" });
    }

    SECTION("after the loss of a reply, if the repeated batch contains more messages")
    {
        // Occurs if a VM that is starved of CPU replies too late while new tasks are sent to it.
        pair.deliver(pair.batch());
        pair.sender.send(numberedMessage(2));
        pair.exchange();
        CHECK(pair.processed == std::vector<std::string> { "j1", "j2" });
        CHECK(pair.sender.isEmpty());
    }

    SECTION("if the first batch arrives after the repeated one")
    {
        const Batch lateBatch = pair.batch();
        pair.sender.send(numberedMessage(2));
        pair.exchange();
        pair.deliver(lateBatch);
        CHECK(pair.processed == std::vector<std::string> { "j1", "j2" });
    }

    SECTION("if a batch arrives too late and is then repeated")
    {
        const Batch sent = pair.batch();
        pair.now += Milliseconds { 700 };
        pair.deliverReply(sent, pair.deliver(sent));
        CHECK(pair.processed.empty());
        pair.exchange();
        CHECK(pair.processed == std::vector<std::string> { "j1" });
    }

    SECTION("after pending messages were discarded")
    {
        // Occurs if a VM is partitioned, taken for lost, and reconnected without a restart.
        pair.exchange();
        pair.sender.send(numberedMessage(2));
        pair.sender.discardPending();
        pair.sender.send(numberedMessage(3));
        pair.exchange();
        CHECK(pair.processed == std::vector<std::string> { "j1", "j3" });
    }
}

// Guards against messages to or from an earlier process that are processed after a restart.
TEST_CASE("messages between VMs are processed only by the process that they are addressed to")
{
    ChannelPair pair;
    pair.exchange();

    SECTION("pending messages are discarded when the reply comes from a restarted process")
    {
        pair.sender.send(numberedMessage(1));
        pair.restartReceiver();
        pair.exchange();
        CHECK(pair.restarts == 1);
        CHECK(pair.sender.isEmpty());
        pair.exchange();
        CHECK(pair.processed.empty());
    }

    SECTION("a late reply of the previous process is ignored")
    {
        // Occurs if VMs are restarted in turn under load, and a reply is read after a batch of the new process.
        const Batch oldBatch = pair.batch();
        const BatchReply lateReply = pair.deliver(oldBatch);
        pair.restartReceiver();
        pair.receiverSendsBatch();
        REQUIRE(pair.restarts == 1);
        pair.sender.send(numberedMessage(1));
        pair.deliverReply(oldBatch, lateReply);
        CHECK(pair.restarts == 1);
        pair.exchange();
        pair.exchange();
        CHECK(pair.processed == std::vector<std::string> { "j1" });
        pair.receiverSendsBatch();
        CHECK(pair.restarts == 1);
    }

    SECTION("a batch of the sender's previous process is rejected after one of its current process")
    {
        pair.exchange();
        PeerChannel restartedSender { senderIncarnation + 1, {} };
        restartedSender.onReply(restartedSender.batchHeader(), 0, pair.deliver({ restartedSender.batchHeader(), {} }));
        pair.sender.send(numberedMessage(1));
        const Batch lateBatch = pair.batch();
        REQUIRE(pair.receiver.onBatch(restartedSender.batchHeader(), 0, pair.now).peerRestarted);
        CHECK_FALSE(pair.deliver(lateBatch).accepted);
        CHECK(pair.processed.empty());
    }

    SECTION("a batch whose echoed time-stamp is ahead of the receiver's clock is rejected")
    {
        BatchHeader stamp = pair.sender.batchHeader();
        stamp.echoedTimestamp += 5'000;
        CHECK_FALSE(pair.receiver.onBatch(stamp, 0, pair.now).accepted);
    }
}

// The times in a message are relative to the moment at which it was made, which only the sender knows.
TEST_CASE("a batch is at most as old as the reply whose time-stamp it echoes")
{
    ChannelPair channel;
    channel.exchange();
    channel.exchange();
    const Milliseconds sinceReply = GENERATE(Milliseconds { 0 }, Milliseconds { 40 }, Milliseconds { 600 });
    channel.sender.send(numberedMessage(1));
    const Batch sent = channel.batch();
    channel.now += sinceReply;
    const PeerChannel::BatchResult result = channel.receiver.onBatch(sent.stamp, sent.messages.size(), channel.now);
    CHECK(result.accepted);
    CHECK(result.maxAge == sinceReply);
}

// Guards against a VM that waits for the ends of its runs until its callers give up, because the owner has taken it for lost and
// discarded them: it may only be unable to read or confirm what the owner sends.
TEST_CASE("channel to a VM that does not reply keeps what that VM has to know about its runs")
{
    const TimePoint now { std::chrono::hours { 1 } };
    const auto runOf = [](const std::string& job) { return TaskRun { { job, 0, 0 }, 1 }; };
    RunRequest request;
    request.run = runOf("requested");
    PeerChannel sender(senderIncarnation, {});
    sender.send({ request, {}, {}, {}, {}, {} });
    sender.send({ {}, {}, RunEnded { runOf("ended"), "u", RunOutcome::Done }, {}, {}, {} });
    sender.send({ {}, {}, {}, {}, {}, RunClaim { runOf("claimed"), "u", { 6 } } });
    sender.send({ {}, {}, {}, RunReturned { runOf("returned"), ReturnReason::Expired }, {}, {} });
    const std::uint64_t firstMessage = sender.batchHeader().firstMessage;
    sender.withdrawPendingRequests();
    CHECK(sender.batchHeader().firstMessage == firstMessage);
    const std::vector<PeerMessage> pending = sender.pendingMessages();
    REQUIRE(pending.size() == 4);

    SECTION("its requests are withdrawn, since the tasks are started elsewhere")
    {
        CHECK_FALSE(pending[0].request);
        REQUIRE(pending[0].withdrawal);
        CHECK_FALSE(pending[0].withdrawal->onlyIfWaiting);
        CHECK(pending[0].withdrawal->run == runOf("requested"));
    }

    // Guards against a claimed run that its owner is told to withdraw, answers as lost and that is started again, while it is at
    // work: its executor goes on claiming it, as the owner before may keep it.
    SECTION("claims are kept, since their runs are not started elsewhere")
    {
        CHECK_FALSE(pending[2].withdrawal);
        REQUIRE(pending[2].claim);
        CHECK(pending[2].claim->run == runOf("claimed"));
    }

    SECTION("reports are delivered once it replies again")
    {
        PeerChannel receiver(receiverIncarnation, {});
        sender.onReply(sender.batchHeader(), 0, { receiverIncarnation, PeerChannel::timestampAt(now), false });
        const PeerChannel::BatchResult result = receiver.onBatch(sender.batchHeader(), pending.size(), now);
        CHECK(result.accepted);
        CHECK(result.duplicates == 0);
        CHECK(pending[1].ended->run == runOf("ended"));
        CHECK(pending[3].returned->run == runOf("returned"));
    }
}
