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

/// State of a submission on this VM.
enum class SubmissionState {
    /// A request is being processed: it obtains the claim and runs the job.
    Active,
    /// This VM may hold the claim, but no task was started. The next request processes the submission again.
    NotStarted,
    /// The job ran here and has ended. The reply is kept within the memory limit.
    Ended,
};

/// The outcome of acquire().
enum class AcquireOutcome {
    /// The calling thread is now the only one that processes the submission. It must call finish() or forget().
    Acquired,
    /// The submission was already processed; `reply` is the answer.
    Answered,
    /// The job ended here, but its reply was evicted to free memory.
    AnswerDropped,
    /// The submission is known here with a different body.
    Conflict,
    /// Another request was still processing the submission at the deadline.
    WaitTimedOut,
    /// The submission is not known here, and `joinOnly` was set.
    NotFound,
};

struct AcquireResult {
    AcquireOutcome outcome = AcquireOutcome::NotFound;
    /// Set with `Answered`.
    std::optional<JobReply> reply;
};

/// The submissions that this VM has processed, with their replies, so that a resubmission gets the reply of the first
/// request. At most one thread processes a submission at a time. Entries expire one claim window after they were last
/// processed. Thread-safe.
class SubmissionTable {
public:
    /// Replies are evicted, oldest first, while they take more than `answerMemoryBytes`; the newest is always kept.
    explicit SubmissionTable(std::size_t answerMemoryBytes);

    /// Sets how long submissions finished from now on are kept.
    void setClaimWindow(Duration window);

    /// Acquires a submission for processing. If another request is processing it, waits for that one until the deadline
    /// and takes over its reply. With `joinOnly` an unknown submission is not added.
    AcquireResult acquire(const SubmissionKey& key, std::uint64_t bodyDigest, bool joinOnly, TimePoint deadline);

    /// Ends the processing that acquire() began and passes the reply to the waiting requests. With `Ended` later
    /// requests get the reply too; with `NotStarted` the next request processes the submission again.
    void finish(const SubmissionKey& key, SubmissionState state, const JobReply& reply);

    /// Removes a submission that this VM neither runs nor holds. If acquire() began its processing, that ends, and one
    /// of the waiting requests acquires the submission anew.
    void forget(const SubmissionKey& key);

    /// The state of a submission, or nothing if it is not known here.
    std::optional<SubmissionState> state(const SubmissionKey& key) const;

    /// The submissions in state `NotStarted`, whose claims this VM may hold.
    std::vector<SubmissionKey> notStarted() const;
    /// The digest of a submission's body, or 0 if the submission is not known here.
    std::uint64_t bodyDigest(const SubmissionKey& key) const;

    std::size_t size() const;

private:
    struct Entry {
        SubmissionState state = SubmissionState::Active;
        std::uint64_t bodyDigest = 0;
        TimePoint expiry;
        std::shared_ptr<const JobReply> reply;
        /// Memory of the reply; 0 if there is none.
        std::size_t bytes = 0;
        /// Incremented by finish(), so that waiting requests notice it.
        std::uint64_t completions = 0;
    };

    struct ExpiryEntry {
        SubmissionKey key;
        TimePoint expiry;
    };

    static AcquireResult replyResult(const Entry& entry);
    void storeReply(Entry& entry, const SubmissionKey& key, const JobReply& reply);
    void expire(TimePoint now);

    std::size_t m_answerMemoryBytes;
    Duration m_claimWindow;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::unordered_map<SubmissionKey, Entry> m_entries;
    /// Submissions in the order in which their replies were stored, for eviction.
    std::deque<SubmissionKey> m_replyOrder;
    /// In the order of finishing. An entry that was finished again has a later one too.
    std::deque<ExpiryEntry> m_expiryQueue;
    std::size_t m_replyBytes = 0;
};

} // namespace egrettrestle
