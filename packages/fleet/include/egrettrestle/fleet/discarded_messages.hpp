#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include <egrettrestle/base/event_log.hpp>
#include <egrettrestle/base/ids.hpp>
#include <egrettrestle/base/metrics.hpp>

namespace egrettrestle {

/// Counts the messages to other VMs that were discarded, and reports them in the log and in the metrics. Not thread-safe.
class DiscardedMessages {
public:
    /// Adds messages to a VM. Metrics::countDiscardedMessages() lists the causes.
    void add(const VmId& vm, const std::string& cause, std::size_t count);

    /// Reports what has been added since the last call, in one line for each VM and cause.
    void report(EventLog& log, Metrics& metrics);

private:
    std::map<std::pair<VmId, std::string>, std::size_t> m_counts;
};

} // namespace egrettrestle
