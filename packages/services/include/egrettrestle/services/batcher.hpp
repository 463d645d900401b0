#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

namespace egrettrestle {

/// Combines the requests of concurrent callers into batches. At most one batch is in flight; requests that arrive
/// meanwhile are sent together in the next batch, so batching adds no delay of its own. Thread-safe.
template <typename Request, typename Answer>
class Batcher {
public:
    /// Sends a batch and returns one answer per request, in the order of the requests. Must not throw.
    using Send = std::function<std::vector<Answer>(const std::vector<Request>&)>;

    explicit Batcher(Send send)
        : m_send(std::move(send))
    {
    }

    /// Sends the requests as part of a batch and blocks until their answers are there. Returns one answer per request,
    /// in order. May call `Send` on the calling thread, with requests of other callers in the same batch.
    std::vector<Answer> execute(const std::vector<Request>& requests)
    {
        PendingCall call { &requests, {}, false };
        std::unique_lock<std::mutex> lock(m_mutex);
        m_pending.push_back(&call);
        while (!call.done) {
            if (m_sending)
                m_changed.wait(lock);
            else
                sendBatch(lock);
        }
        return std::move(call.answers);
    }

private:
    struct PendingCall {
        const std::vector<Request>* requests;
        std::vector<Answer> answers;
        bool done;
    };

    /// Sends one batch of pending calls. Called with the lock held; releases it while the batch is in flight.
    void sendBatch(std::unique_lock<std::mutex>& lock)
    {
        std::vector<PendingCall*> calls;
        std::vector<Request> batch;
        while (!m_pending.empty() && batch.size() < batchSizeLimit) {
            calls.push_back(m_pending.front());
            m_pending.erase(m_pending.begin());
            batch.insert(batch.end(), calls.back()->requests->begin(), calls.back()->requests->end());
        }
        m_sending = true;
        lock.unlock();
        const std::vector<Answer> answers = m_send(batch);
        lock.lock();
        m_sending = false;
        std::size_t next = 0;
        for (PendingCall* call : calls) {
            const std::size_t count = call->requests->size();
            call->answers.assign(answers.begin() + static_cast<std::ptrdiff_t>(next), answers.begin() + static_cast<std::ptrdiff_t>(next + count));
            call->done = true;
            next += count;
        }
        m_changed.notify_all();
    }

    /// No further call joins a batch that holds this many requests. The requests of one call are never split.
    static constexpr std::size_t batchSizeLimit = 512;

    Send m_send;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<PendingCall*> m_pending;
    bool m_sending = false;
};

} // namespace egrettrestle
