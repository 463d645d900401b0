#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// How long the runs of a VM's jobs have lately waited for capacity, by service and priority. The estimate consists of recent
/// samples only, so that it is 0 half a second after the last wait. Not thread-safe.
class QueueingDelay {
public:
    /// Records a run that has started, or was given up, after a wait. Waits up to the time that messages take count as none.
    void record(const std::string& service, int priority, Milliseconds wait, TimePoint now);

    /// Replaces what is known about the runs that wait at present; one entry for each run, with the time since it was sent.
    void setWaiting(std::map<std::pair<std::string, int>, std::vector<Milliseconds>> waiting) { m_waiting = std::move(waiting); }

    /// The wait that a run of the service and priority has to expect: the median of the recent and present waits, or
    /// that of priority 0, which goes first, if it is longer. 0 with too few samples.
    Milliseconds expectedWait(const std::string& service, int priority, TimePoint now) const;

    /// Whether a job that the expected wait rules out is to be admitted nevertheless. Admits as large a part of these jobs
    /// as the tolerated wait is of the expected one: refusing all of them would let the queue run empty and then fill again.
    /// At least a small part is admitted, to obtain samples.
    bool admitsAnyway(const std::string& service, int priority, Milliseconds tolerated, Milliseconds expected);

private:
    using Key = std::pair<std::string, int>;

    struct Sample {
        TimePoint at;
        Milliseconds wait { 0 };
    };

    Milliseconds quantileOf(const Key& key, TimePoint now) const;

    std::map<Key, std::deque<Sample>> m_samples;
    std::map<Key, std::vector<Milliseconds>> m_waiting;
    /// The parts of jobs that were to be admitted, less the jobs that were.
    std::map<Key, double> m_credit;
};

} // namespace egrettrestle
