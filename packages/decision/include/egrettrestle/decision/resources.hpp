#pragma once

#include <cstdint>

namespace egrettrestle {

/// Resources that a task needs, or that an upstream provides.
struct Resources {
    /// CPU, in thousandths of a core.
    std::int64_t milliCores = 0;
    /// Memory, in megabytes.
    std::int64_t memoryMb = 0;
    /// Number of accelerators.
    std::int64_t accelerators = 0;

    friend bool operator==(const Resources& left, const Resources& right)
    {
        return left.milliCores == right.milliCores && left.memoryMb == right.memoryMb && left.accelerators == right.accelerators;
    }
};

inline Resources operator+(const Resources& left, const Resources& right)
{
    return { left.milliCores + right.milliCores, left.memoryMb + right.memoryMb, left.accelerators + right.accelerators };
}

inline Resources operator-(const Resources& left, const Resources& right)
{
    return { left.milliCores - right.milliCores, left.memoryMb - right.memoryMb, left.accelerators - right.accelerators };
}

/// Whether `available` covers `need` in every resource.
inline bool fits(const Resources& need, const Resources& available)
{
    return need.milliCores <= available.milliCores && need.memoryMb <= available.memoryMb && need.accelerators <= available.accelerators;
}

} // namespace egrettrestle
