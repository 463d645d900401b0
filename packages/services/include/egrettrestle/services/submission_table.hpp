#pragma once

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/wire/job.hpp>

namespace egrettrestle {

/// How far a submission has come at this VM.
enum class SubmissionState {
    /// A thread is finding out whether it may run here, and runs it if so.
    Active,
    /// This VM may hold the claim, but has started nothing.
    NotStarted,
    /// It ran here, to its end; the reply is kept while memory lasts.
    Ended,
};

/// What a request finds when it enters a submission.
enum class EntryVerdict {
    /// The caller of `enter` now is the one thread that deals with the submission. It must call `leave`.
    Owner,
    /// Another request dealt with it meanwhile, and `reply` is its answer.
    Answered,
    /// It ended here, but its answer is kept no longer.
    AnswerDropped,
    /// It is known here with another body.
    Conflict,
    /// Another request deals with it and took longer than this one may wait.
    StillActive,
    /// It is not known here, and the request may only join, not begin.
    NotKnown,
};

struct EntryResult {
    EntryVerdict verdict = EntryVerdict::NotKnown;
    std::optional<JobReply> reply;
};

/// What this VM knows of the submissions it has dealt with, so that a resubmission joins the first one. At most one
/// thread deals with a submission at a time. A submission that was started is remembered for the claim window. Safe for
/// use by several threads.
class SubmissionTable {
public:
    explicit SubmissionTable(std::size_t answerMemoryBytes);

    void setWindow(Duration window);

    /// Enters a submission, waiting for another request that deals with it until the deadline. With `joinOnly` a
    /// submission that is not known here stays so.
    EntryResult enter(const SubmissionKey& key, std::uint64_t body, bool joinOnly, TimePoint deadline);

    /// Ends the owner's part. `Ended` keeps the reply; `NotStarted` lets the next request take the submission up again.
    void leave(const SubmissionKey& key, SubmissionState state, const JobReply& reply);

    /// Ends the owner's part and forgets the submission: this VM neither runs nor holds it. Waiting requests start over.
    void forget(const SubmissionKey& key);

    /// How far a submission has come here, or nothing if it is not known.
    std::optional<SubmissionState> state(const SubmissionKey& key) const;

    /// Submissions that this VM may hold and has not started.
    std::vector<SubmissionKey> notStarted() const;
    std::uint64_t body(const SubmissionKey& key) const;

    std::size_t size() const;

private:
    struct Entry {
        SubmissionState state = SubmissionState::Active;
        std::uint64_t body = 0;
        TimePoint expiry;
        std::shared_ptr<const JobReply> reply;
        std::size_t bytes = 0;
        /// Counts the owners, so that a waiting request sees that one has ended.
        std::uint64_t turn = 0;
    };

    struct Kept {
        SubmissionKey key;
        TimePoint expiry;
    };

    static EntryResult outcome(const Entry& entry);
    void keepReply(Entry& entry, const SubmissionKey& key, const JobReply& reply);
    void expire(TimePoint now);

    std::size_t m_answerMemoryBytes;
    Duration m_window;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::unordered_map<SubmissionKey, Entry> m_entries;
    std::deque<SubmissionKey> m_replies;
    std::deque<Kept> m_expiries;
    std::size_t m_replyBytes = 0;
};

} // namespace egrettrestle
