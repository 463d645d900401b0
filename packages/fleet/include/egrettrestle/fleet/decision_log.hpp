#pragma once

#include <egrettrestle/base/event_log.hpp>
#include <egrettrestle/decision/dispatcher.hpp>

namespace egrettrestle {

/// @name Lines of the log about a dispatcher's decisions
/// @{

void writeEvent(EventLog& log, const OwnerEvent& event);
void writeEvent(EventLog& log, const JobEvent& event);
void writeEvent(EventLog& log, const EvacuationEvent& event);

/// @}

/// The labels of an upstream, separated by spaces.
std::string labelsToString(const UpstreamInfo& upstream);

/// Whether an event reports the outcome of a job.
bool isOutcome(JobEvent::Kind kind);

/// The name of the outcome that an event reports, in the log and the metrics.
const char* outcomeName(JobEvent::Kind kind);

} // namespace egrettrestle
