#include <egrettrestle/tools/load.hpp>

#include <egrettrestle/wire/detail/input/object_reader.hpp>

namespace egrettrestle {

namespace {

    constexpr detail::ErrorCodeRange loadErrorCodes { 800 };

    LoadStream readStream(detail::ObjectReader& reader)
    {
        LoadStream stream;
        stream.name = reader.text("name");
        stream.caller = reader.text("caller");
        stream.service = reader.text("service");
        stream.kind = reader.text("kind");
        stream.jobsPerSecond = reader.real("jobsPerSecond");
        stream.tasksPerJob = reader.numberOr("tasksPerJob", 1);
        stream.shortestRun = reader.milliseconds("shortestRunMs");
        stream.longestRun = reader.milliseconds("longestRunMs");
        stream.deadline = reader.milliseconds("deadlineMs");
        stream.burst = reader.numberOr("burst", 1);
        stream.resubmissions = static_cast<int>(reader.numberOr("resubmissions", 0));
        return stream;
    }

    void checkStream(const LoadStream& stream, const std::string& pointer, std::vector<ValidationError>& errors)
    {
        if (stream.jobsPerSecond <= 0)
            errors.push_back({ loadErrorCodes.outOfRange(), pointer + "/jobsPerSecond", std::to_string(stream.jobsPerSecond), "more than 0" });
        if (stream.tasksPerJob < 1 || stream.burst < 1)
            errors.push_back({ loadErrorCodes.outOfRange(), pointer, "0 tasks per job or 0 jobs per burst", "at least 1" });
        if (stream.shortestRun > stream.longestRun || stream.longestRun.count() < 1)
            errors.push_back({ loadErrorCodes.outOfRange(), pointer + "/longestRunMs", std::to_string(stream.longestRun.count()), "at least 1 and at least shortestRunMs" });
    }

}

LoadProfileParseResult parseLoadProfile(const std::string& text)
{
    LoadProfileParseResult result;
    const std::optional<nlohmann::json> value = detail::parseJson(text, loadErrorCodes, result.errors);
    if (!value)
        return result;
    detail::ObjectReader reader(*value, "", loadErrorCodes, result.errors);
    LoadProfile profile;
    profile.seed = reader.numberOr("seed", 1);
    profile.length = Seconds(reader.number("seconds"));
    for (const nlohmann::json& element : reader.array("streams")) {
        const std::string pointer = reader.pointer("streams", profile.streams.size());
        detail::ObjectReader streamReader(element, pointer, loadErrorCodes, result.errors);
        profile.streams.push_back(readStream(streamReader));
        streamReader.rejectUnknown();
        if (result.errors.empty())
            checkStream(profile.streams.back(), pointer, result.errors);
    }
    reader.rejectUnknown();
    if (result.errors.empty())
        result.profile = std::move(profile);
    return result;
}

} // namespace egrettrestle
