#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include <egrettrestle/decision/resources.hpp>

namespace egrettrestle {

/// The latest needs of requested tasks, from which capacity is counted in tasks. The mean need does not suffice for that: with
/// 64 cores and tasks of 32 cores on average, a mean of 31.9 gives two tasks and one of 32.1 gives one. Accelerators are
/// ignored. Not thread-safe.
class NeedSample {
public:
    /// With four tasks of equal need a job, the standard deviation of the counts was 9.6% with 64 needs and 4.4% with 256. An
    /// owner in a busy fleet receives as many requests within a few seconds.
    static constexpr std::size_t maxSize = 256;

    /// Adds a need in place of the oldest one. The counts follow within a sixteenth of the sample.
    void add(const Resources& need);

    /// Removes the needs for which the predicate is false.
    template <typename Predicate>
    void keepIf(const Predicate& predicate)
    {
        std::vector<Resources> kept;
        for (std::size_t index = 0; index < m_needs.size(); ++index) {
            const Resources& need = m_needs[(m_oldest + index) % m_needs.size()];
            if (predicate(need))
                kept.push_back(need);
        }
        if (kept.size() == m_needs.size())
            return;
        m_needs = std::move(kept);
        m_oldest = 0;
        refresh();
    }

    bool empty() const { return m_needs.empty(); }

    /// The mean number of tasks that fit into a capacity if tasks of the sample are started there until one does not fit. Equal
    /// to tasksThatFit() if all needs are alike; 0 without needs.
    double tasksThatFit(const Resources& capacity) const;

    /// Some sizes of tasks in thousandths of a core, in strictly ascending order: the 10th, 30th, 50th, 70th and 90th percentile
    /// and the maximum. One size if all needs are alike; none without needs.
    const std::vector<std::int64_t>& sizes() const { return m_sizes; }

    /// The median of the memory that tasks need, in megabytes; 0 without needs.
    std::int64_t medianMemoryMb() const { return m_medianMemoryMb; }

private:
    /// Sum of the needs from one position of the shuffled sample up to another, or a capacity.
    struct Amount {
        std::int64_t milliCores = 0;
        std::int64_t memoryMb = 0;
    };

    void refresh();
    double count(const Amount& capacity) const;

    std::vector<Resources> m_needs;
    /// Position of the oldest need once the sample is full.
    std::size_t m_oldest = 0;
    std::size_t m_addedSinceRefresh = 0;
    /// What the counts are based on: the sample in an order in which the tasks of one job do not follow each other.
    std::vector<Amount> m_shuffled;
    Amount m_sum;
    std::vector<std::int64_t> m_sizes;
    std::int64_t m_medianMemoryMb = 0;
    /// Results by capacity. Reports are made several times in 100 ms, and most upstreams are unchanged in between.
    mutable std::map<std::pair<std::int64_t, std::int64_t>, double> m_counts;
};

} // namespace egrettrestle
