#include <egrettrestle/decision/need_sample.hpp>

#include <algorithm>
#include <limits>
#include <numeric>

namespace egrettrestle {

namespace {

    // The counts are updated after this many new needs, so that most results can be reused.
    constexpr std::size_t refreshInterval = 16;
    // Upper bound of the results that are kept: the capacities of 60 upstreams change some times between two updates.
    constexpr std::size_t maxCounts = 512;
    // Needs this far apart in the order of arrival become neighbours: farther than a usual job's number of tasks.
    constexpr std::size_t shuffleStride = 37;
    // In percent.
    constexpr std::size_t percentiles[] = { 10, 30, 50, 70, 90, 100 };

}

void NeedSample::add(const Resources& need)
{
    const Resources counted { need.milliCores, need.memoryMb, 0 };
    if (m_needs.size() < maxSize) {
        m_needs.push_back(counted);
    } else {
        m_needs[m_oldest] = counted;
        m_oldest = (m_oldest + 1) % maxSize;
    }
    ++m_addedSinceRefresh;
    // A small sample changes much with each need.
    if (m_needs.size() < refreshInterval || m_addedSinceRefresh >= refreshInterval)
        refresh();
}

void NeedSample::refresh()
{
    m_addedSinceRefresh = 0;
    m_counts.clear();
    m_shuffled.clear();
    m_sizes.clear();
    m_sum = {};
    m_medianMemoryMb = 0;
    const std::size_t size = m_needs.size();
    if (size == 0)
        return;
    std::size_t stride = shuffleStride % size;
    while (std::gcd(stride, size) != 1)
        ++stride;
    std::vector<std::int64_t> sorted;
    std::vector<std::int64_t> memory;
    for (std::size_t index = 0; index < size; ++index) {
        const Resources& need = m_needs[index * stride % size];
        m_shuffled.push_back({ need.milliCores, need.memoryMb });
        m_sum.milliCores += need.milliCores;
        m_sum.memoryMb += need.memoryMb;
        sorted.push_back(need.milliCores);
        memory.push_back(need.memoryMb);
    }
    std::sort(sorted.begin(), sorted.end());
    std::sort(memory.begin(), memory.end());
    m_medianMemoryMb = memory[(size - 1) / 2];
    for (const std::size_t percentile : percentiles) {
        const std::int64_t value = sorted[(size - 1) * percentile / 100];
        if (m_sizes.empty() || value > m_sizes.back())
            m_sizes.push_back(value);
    }
}

double NeedSample::tasksThatFit(const Resources& capacity) const
{
    if (m_shuffled.empty())
        return 0;
    const std::pair<std::int64_t, std::int64_t> key { capacity.milliCores, capacity.memoryMb };
    const auto known = m_counts.find(key);
    if (known != m_counts.end())
        return known->second;
    if (m_counts.size() >= maxCounts)
        m_counts.clear();
    const double result = count({ capacity.milliCores, capacity.memoryMb });
    m_counts.emplace(key, result);
    return result;
}

double NeedSample::count(const Amount& capacity) const
{
    // Tasks that need nothing do not limit a capacity, which then counts as none, as in tasksThatFit() of one need.
    if ((m_sum.milliCores <= 0 && m_sum.memoryMb <= 0) || capacity.milliCores < 0 || capacity.memoryMb < 0)
        return 0;
    const std::size_t size = m_shuffled.size();
    // Whole rounds through the sample, whatever the first task is.
    std::int64_t rounds = std::numeric_limits<std::int64_t>::max();
    if (m_sum.milliCores > 0)
        rounds = std::min(rounds, capacity.milliCores / m_sum.milliCores);
    if (m_sum.memoryMb > 0)
        rounds = std::min(rounds, capacity.memoryMb / m_sum.memoryMb);
    const Amount rest { capacity.milliCores - rounds * m_sum.milliCores, capacity.memoryMb - rounds * m_sum.memoryMb };
    // For each first task, the number of tasks in sequence that fit. The window only moves forward.
    std::size_t tasks = 0;
    std::size_t end = 0;
    Amount window;
    for (std::size_t begin = 0; begin < size; ++begin) {
        while (end < begin + size) {
            const Amount& next = m_shuffled[end % size];
            if (window.milliCores + next.milliCores > rest.milliCores || window.memoryMb + next.memoryMb > rest.memoryMb)
                break;
            window.milliCores += next.milliCores;
            window.memoryMb += next.memoryMb;
            ++end;
        }
        tasks += end - begin;
        if (end == begin) {
            ++end;
            continue;
        }
        window.milliCores -= m_shuffled[begin].milliCores;
        window.memoryMb -= m_shuffled[begin].memoryMb;
    }
    return static_cast<double>(rounds) * static_cast<double>(size) + static_cast<double>(tasks) / static_cast<double>(size);
}

} // namespace egrettrestle
