#include <egrettrestle/base/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace egrettrestle {

namespace {

    const prometheus::Histogram::BucketBoundaries responseBuckets { 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30 };

    prometheus::Family<prometheus::Counter>& counterFamily(prometheus::Registry& registry, const std::string& name, const std::string& help)
    {
        return prometheus::BuildCounter().Name("egrettrestle_" + name).Help(help).Register(registry);
    }

}

struct Metrics::Families {
    explicit Families(prometheus::Registry& registry)
        : jobs(counterFamily(registry, "jobs_total", "Jobs by outcome"))
        , messages(counterFamily(registry, "messages_total", "Messages sent, by use"))
        , wasted(counterFamily(registry, "wasted_messages_total", "Messages that contributed nothing to an answer, by use"))
        , messageBytes(counterFamily(registry, "message_bytes_total", "Bytes of message bodies sent and received, by use"))
        , starts(counterFamily(registry, "task_starts_total", "Tasks sent to an upstream"))
        , rejectedBatches(counterFamily(registry, "rejected_batches_total", "Batches of messages from other VMs that could not be read"))
        , discardedMessages(counterFamily(registry, "discarded_messages_total", "Messages to other VMs that were discarded, by cause"))
        , withheldStarts(counterFamily(registry, "withheld_starts_total", "Start orders that no longer stood when they were to be sent"))
        , lostRuns(counterFamily(registry, "lost_runs_total", "Runs lost with their upstream, by route and cause"))
        , resentRuns(counterFamily(registry, "runs_sent_again_total", "Tasks that were sent again, by the statement that their earlier run is over"))
        , runsPastEnd(counterFamily(registry, "runs_past_end_total", "Runs that had to be over and were found at work or have ended later"))
        , unclaimedRuns(counterFamily(registry, "unclaimed_runs_total", "Runs found at an upstream that its owner does not know"))
        , waits(counterFamily(registry, "placement_waits_total", "Runs that waited for a better place, by outcome"))
        , inputRefused(counterFamily(registry, "input_refused_total", "Requests and connections refused or closed because of a server's limits, by port and reason"))
        , unansweredRequests(counterFamily(registry, "unanswered_requests_total", "Connections that ended without a complete reply to a request, by port and cause"))
        , responses(prometheus::BuildHistogram().Name("egrettrestle_response_seconds").Help("Response time of jobs").Register(registry))
        , workTime(prometheus::BuildGauge().Name("egrettrestle_work_seconds").Help("Time since the start by kind of work; 'process' is the processor time of the whole process").Register(registry))
        , workCount(prometheus::BuildGauge().Name("egrettrestle_work_count").Help("Units of work since the start, by kind").Register(registry))
        , gauges(prometheus::BuildGauge().Name("egrettrestle_state").Help("Current values by name").Register(registry))
    {
    }

    prometheus::Family<prometheus::Counter>& jobs;
    prometheus::Family<prometheus::Counter>& messages;
    prometheus::Family<prometheus::Counter>& wasted;
    prometheus::Family<prometheus::Counter>& messageBytes;
    prometheus::Family<prometheus::Counter>& starts;
    prometheus::Family<prometheus::Counter>& rejectedBatches;
    prometheus::Family<prometheus::Counter>& discardedMessages;
    prometheus::Family<prometheus::Counter>& withheldStarts;
    prometheus::Family<prometheus::Counter>& lostRuns;
    prometheus::Family<prometheus::Counter>& resentRuns;
    prometheus::Family<prometheus::Counter>& runsPastEnd;
    prometheus::Family<prometheus::Counter>& unclaimedRuns;
    prometheus::Family<prometheus::Counter>& waits;
    prometheus::Family<prometheus::Counter>& inputRefused;
    prometheus::Family<prometheus::Counter>& unansweredRequests;
    prometheus::Family<prometheus::Histogram>& responses;
    prometheus::Family<prometheus::Gauge>& workTime;
    prometheus::Family<prometheus::Gauge>& workCount;
    prometheus::Family<prometheus::Gauge>& gauges;
};

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_families(std::make_unique<Families>(*m_registry))
{
}

Metrics::~Metrics() = default;

void Metrics::countJob(const std::string& urgencyClass, const std::string& outcome, const std::string& reason)
{
    m_families->jobs.Add({ { "class", urgencyClass }, { "outcome", outcome }, { "reason", reason } }).Increment();
}

void Metrics::countMessage(const std::string& use, bool wasted, double bytes)
{
    m_families->messages.Add({ { "use", use } }).Increment();
    m_families->messageBytes.Add({ { "use", use } }).Increment(bytes);
    if (wasted)
        m_families->wasted.Add({ { "use", use } }).Increment();
}

void Metrics::countStart(const std::string& kind)
{
    m_families->starts.Add({ { "kind", kind } }).Increment();
}

void Metrics::countRejectedBatch()
{
    m_families->rejectedBatches.Add({}).Increment();
}

void Metrics::countDiscardedMessages(const std::string& cause, std::size_t count)
{
    m_families->discardedMessages.Add({ { "cause", cause } }).Increment(static_cast<double>(count));
}

void Metrics::countWithheldStart()
{
    m_families->withheldStarts.Add({}).Increment();
}

void Metrics::countLostRun(const std::string& route, const std::string& cause)
{
    m_families->lostRuns.Add({ { "class", route }, { "cause", cause } }).Increment();
}

void Metrics::countResentRun(const std::string& statement)
{
    m_families->resentRuns.Add({ { "statement", statement } }).Increment();
}

void Metrics::countRunsPastEnd(const std::string& seen, std::uint64_t count)
{
    m_families->runsPastEnd.Add({ { "seen", seen } }).Increment(static_cast<double>(count));
}

void Metrics::countUnclaimedRuns(const std::string& found, std::uint64_t count)
{
    m_families->unclaimedRuns.Add({ { "found", found } }).Increment(static_cast<double>(count));
}

void Metrics::countWaits(const std::string& outcome, std::uint64_t count)
{
    m_families->waits.Add({ { "outcome", outcome } }).Increment(static_cast<double>(count));
}

void Metrics::countInputRefused(const std::string& port, const std::string& reason, double count)
{
    m_families->inputRefused.Add({ { "port", port }, { "reason", reason } }).Increment(count);
}

void Metrics::countUnanswered(const std::string& port, const std::string& cause, double count)
{
    m_families->unansweredRequests.Add({ { "port", port }, { "cause", cause } }).Increment(count);
}

void Metrics::observeResponse(const std::string& urgencyClass, Duration responseTime)
{
    m_families->responses.Add({ { "class", urgencyClass } }, responseBuckets).Observe(toSeconds(responseTime));
}

void Metrics::setGauge(const std::string& name, double value)
{
    m_families->gauges.Add({ { "name", name } }).Set(value);
}

void Metrics::setWork(const WorkMeter& work)
{
    for (std::size_t number = 0; number < workKindCount; ++number) {
        const WorkKind kind = static_cast<WorkKind>(number);
        const WorkMeter::Total total = work.total(kind);
        m_families->workTime.Add({ { "kind", workKindName(kind) } }).Set(toSeconds(total.time));
        m_families->workCount.Add({ { "kind", workKindName(kind) } }).Set(static_cast<double>(total.count));
    }
    m_families->workTime.Add({ { "kind", "process" } }).Set(toSeconds(WorkMeter::processTime()));
}

std::string Metrics::render() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace egrettrestle
