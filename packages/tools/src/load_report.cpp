#include <egrettrestle/tools/load.hpp>

#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

namespace egrettrestle {

namespace {

    void writeCounts(std::ostream& out, const char* title, const std::map<std::string, double>& counts)
    {
        out << title;
        for (const auto& entry : counts) {
            if (entry.second != 0)
                out << ' ' << entry.first << '=' << static_cast<std::uint64_t>(entry.second);
        }
        out << '\n';
    }

}

std::string reportTable(const LoadReport& report)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    out << "response time relative to an idle system\n"
        << std::left << std::setw(16) << "stream" << std::right << std::setw(8) << "jobs" << std::setw(10) << "complete" << std::setw(8) << "failed" << std::setw(9) << "refused"
        << std::setw(10) << "no reply" << std::setw(8) << "wrong" << std::setw(9) << "p50" << std::setw(9) << "p90" << std::setw(9) << "p99" << std::setw(10) << "p99 ms" << '\n';
    for (const StreamReport& stream : report.streams) {
        out << std::left << std::setw(16) << stream.name << std::right << std::setw(8) << stream.jobs << std::setw(10) << stream.complete << std::setw(8) << stream.failed << std::setw(9) << stream.refused
            << std::setw(10) << stream.noReply << std::setw(8) << stream.wrongAnswers << std::setw(9) << stream.ratioP50 << std::setw(9) << stream.ratioP90 << std::setw(9) << stream.ratioP99 << std::setw(10) << stream.p99.count() << '\n';
        for (const auto& reason : stream.reasons)
            out << "    " << reason.first << ": " << reason.second << '\n';
    }
    out << "messages per task " << report.messagesPerTask() << ", wasted per task " << report.wastedPerTask() << ", starts per task " << report.startsPerTask() << '\n';
    writeCounts(out, "messages:", report.messages);
    writeCounts(out, "wasted:", report.wasted);
    return out.str();
}

std::string reportJson(const LoadReport& report)
{
    nlohmann::json value {
        { "seconds", report.seconds },
        { "tasks", report.tasks() },
        { "starts", report.starts },
        { "messages", report.messages },
        { "wasted", report.wasted },
        { "messagesPerTask", report.messagesPerTask() },
        { "wastedPerTask", report.wastedPerTask() },
        { "startsPerTask", report.startsPerTask() },
        { "streams", nlohmann::json::array() },
    };
    for (const StreamReport& stream : report.streams) {
        value["streams"].push_back({
            { "name", stream.name },
            { "jobs", stream.jobs },
            { "tasks", stream.tasks },
            { "complete", stream.complete },
            { "completeTasks", stream.completeTasks },
            { "failed", stream.failed },
            { "refused", stream.refused },
            { "noReply", stream.noReply },
            { "wrongAnswers", stream.wrongAnswers },
            { "resubmitted", stream.resubmitted },
            { "reasons", stream.reasons },
            { "ratio", { { "p50", stream.ratioP50 }, { "p90", stream.ratioP90 }, { "p99", stream.ratioP99 } } },
            { "responseMs", { { "p50", stream.p50.count() }, { "p99", stream.p99.count() } } },
        });
    }
    return value.dump(2);
}

} // namespace egrettrestle
