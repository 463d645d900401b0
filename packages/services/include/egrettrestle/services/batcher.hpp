#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

namespace egrettrestle {

/// Joins the questions of many threads into few messages. While one message is under way, further questions gather and
/// go out together in the next one, so batching adds no wait of its own. Safe for use by several threads.
template <typename Request, typename Answer>
class Batcher {
public:
    /// Sends a batch and gives one answer a request, in order.
    using Send = std::function<std::vector<Answer>(const std::vector<Request>&)>;

    explicit Batcher(Send send)
        : m_send(std::move(send))
    {
    }

    std::vector<Answer> ask(const std::vector<Request>& requests)
    {
        Entry entry { &requests, {}, false };
        std::unique_lock<std::mutex> lock(m_mutex);
        m_waiting.push_back(&entry);
        while (!entry.done) {
            if (m_sending)
                m_changed.wait(lock);
            else
                sendWaiting(lock);
        }
        return std::move(entry.answers);
    }

private:
    struct Entry {
        const std::vector<Request>* requests;
        std::vector<Answer> answers;
        bool done;
    };

    void sendWaiting(std::unique_lock<std::mutex>& lock)
    {
        std::vector<Entry*> entries;
        std::vector<Request> batch;
        while (!m_waiting.empty() && batch.size() < mostRequests) {
            entries.push_back(m_waiting.front());
            m_waiting.erase(m_waiting.begin());
            batch.insert(batch.end(), entries.back()->requests->begin(), entries.back()->requests->end());
        }
        m_sending = true;
        lock.unlock();
        const std::vector<Answer> answers = m_send(batch);
        lock.lock();
        m_sending = false;
        std::size_t next = 0;
        for (Entry* entry : entries) {
            const std::size_t count = entry->requests->size();
            entry->answers.assign(answers.begin() + static_cast<std::ptrdiff_t>(next), answers.begin() + static_cast<std::ptrdiff_t>(next + count));
            entry->done = true;
            next += count;
        }
        m_changed.notify_all();
    }

    static constexpr std::size_t mostRequests = 512;

    Send m_send;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Entry*> m_waiting;
    bool m_sending = false;
};

} // namespace egrettrestle
