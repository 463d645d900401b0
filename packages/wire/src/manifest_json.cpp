#include <egrettrestle/wire/manifest_json.hpp>

#include <egrettrestle/wire/detail/input/object_reader.hpp>

namespace egrettrestle {

namespace {

    using nlohmann::json;

    constexpr detail::ErrorCodeRange manifestErrorCodes { 200 };

    template <typename Item, typename Read>
    std::vector<Item> readList(detail::ObjectReader& reader, const char* key, std::vector<ValidationError>& errors, Read read)
    {
        std::vector<Item> items;
        for (const json& element : reader.array(key)) {
            detail::ObjectReader itemReader(element, reader.pointer(key, items.size()), manifestErrorCodes, errors);
            items.push_back(read(itemReader));
            itemReader.rejectUnknown();
        }
        return items;
    }

    DataCentre readDataCentre(detail::ObjectReader& reader)
    {
        return { reader.text("name"), reader.text("region") };
    }

    UrgencyClass readUrgencyClass(detail::ObjectReader& reader)
    {
        UrgencyClass urgencyClass;
        urgencyClass.name = reader.text("name");
        urgencyClass.rank = static_cast<int>(reader.number("rank") & 0xFFFF);
        urgencyClass.reservedShare = reader.realOr("reservedShare", 0);
        urgencyClass.ageAfter = reader.millisecondsOr("ageAfterMs", Milliseconds(0));
        return urgencyClass;
    }

    Service readService(detail::ObjectReader& reader)
    {
        return { reader.text("name"), reader.number("slots"), reader.number("connections") };
    }

    TaskKind readKind(detail::ObjectReader& reader)
    {
        TaskKind kind;
        kind.name = reader.text("name");
        kind.service = reader.text("service");
        kind.urgencyClass = reader.text("urgencyClass");
        kind.idempotent = reader.boolean("idempotent");
        kind.expectedRunTime = reader.milliseconds("expectedRunTimeMs");
        kind.sizeLimitBytes = reader.number("sizeLimitBytes");
        return kind;
    }

    CallerRule readCaller(detail::ObjectReader& reader)
    {
        CallerRule caller;
        caller.name = reader.text("name");
        caller.team = reader.textOr("team", caller.name);
        caller.homeDataCentre = reader.textOr("homeDataCentre", "");
        caller.maxTasksInFlight = reader.number("maxTasksInFlight");
        caller.startsPerSecond = reader.real("startsPerSecond");
        return caller;
    }

    JobLimits readLimits(detail::ObjectReader& reader, std::vector<ValidationError>& errors)
    {
        const json* value = reader.value("limits");
        if (!value)
            return {};
        detail::ObjectReader limitReader(*value, "/limits", manifestErrorCodes, errors);
        JobLimits limits { limitReader.number("maxTasksPerJob"), limitReader.milliseconds("maxDeadlineMs") };
        limitReader.rejectUnknown();
        return limits;
    }

    std::vector<ChangeRecord> readHistory(detail::ObjectReader& reader, std::vector<ValidationError>& errors)
    {
        std::vector<ChangeRecord> history;
        for (const json& element : reader.arrayOrEmpty("history")) {
            detail::ObjectReader recordReader(element, reader.pointer("history", history.size()), manifestErrorCodes, errors);
            history.push_back({ recordReader.number("revision"), recordReader.text("changeId"), recordReader.text("author") });
            recordReader.rejectUnknown();
        }
        return history;
    }

    Manifest readManifest(const json& value, std::vector<ValidationError>& errors)
    {
        detail::ObjectReader reader(value, "", manifestErrorCodes, errors);
        Manifest manifest;
        manifest.revision = reader.numberOr("revision", 0);
        manifest.changeId = reader.text("changeId");
        manifest.author = reader.textOr("author", "");
        manifest.claimWindow = reader.milliseconds("claimWindowMs");
        manifest.limits = readLimits(reader, errors);
        manifest.dataCentres = readList<DataCentre>(reader, "dataCentres", errors, readDataCentre);
        manifest.urgencyClasses = readList<UrgencyClass>(reader, "urgencyClasses", errors, readUrgencyClass);
        manifest.services = readList<Service>(reader, "services", errors, readService);
        manifest.kinds = readList<TaskKind>(reader, "kinds", errors, readKind);
        manifest.callers = readList<CallerRule>(reader, "callers", errors, readCaller);
        manifest.history = readHistory(reader, errors);
        reader.rejectUnknown();
        return manifest;
    }

}

ManifestParseResult parseManifest(std::string_view text)
{
    ManifestParseResult result;
    const std::optional<json> value = detail::parseJson(text, manifestErrorCodes, result.errors);
    if (!value)
        return result;
    Manifest manifest = readManifest(*value, result.errors);
    // Semantic checks run only on a well-formed manifest; on others they would report misleading errors.
    if (result.errors.empty())
        result.errors = validateManifest(manifest);
    if (result.errors.empty())
        result.manifest = std::move(manifest);
    return result;
}

std::string manifestText(const Manifest& manifest)
{
    json value {
        { "revision", manifest.revision },
        { "changeId", manifest.changeId },
        { "author", manifest.author },
        { "claimWindowMs", manifest.claimWindow.count() },
        { "limits", { { "maxTasksPerJob", manifest.limits.maxTasksPerJob }, { "maxDeadlineMs", manifest.limits.maxDeadline.count() } } },
        { "dataCentres", json::array() },
        { "urgencyClasses", json::array() },
        { "services", json::array() },
        { "kinds", json::array() },
        { "callers", json::array() },
        { "history", json::array() },
    };
    for (const DataCentre& item : manifest.dataCentres)
        value["dataCentres"].push_back({ { "name", item.name }, { "region", item.region } });
    for (const UrgencyClass& item : manifest.urgencyClasses)
        value["urgencyClasses"].push_back({ { "name", item.name }, { "rank", item.rank }, { "reservedShare", item.reservedShare }, { "ageAfterMs", item.ageAfter.count() } });
    for (const Service& item : manifest.services)
        value["services"].push_back({ { "name", item.name }, { "slots", item.slots }, { "connections", item.connections } });
    for (const TaskKind& item : manifest.kinds)
        value["kinds"].push_back({ { "name", item.name }, { "service", item.service }, { "urgencyClass", item.urgencyClass }, { "idempotent", item.idempotent }, { "expectedRunTimeMs", item.expectedRunTime.count() }, { "sizeLimitBytes", item.sizeLimitBytes } });
    for (const CallerRule& item : manifest.callers)
        value["callers"].push_back({ { "name", item.name }, { "team", item.team }, { "homeDataCentre", item.homeDataCentre }, { "maxTasksInFlight", item.maxTasksInFlight }, { "startsPerSecond", item.startsPerSecond } });
    for (const ChangeRecord& item : manifest.history)
        value["history"].push_back({ { "revision", item.revision }, { "changeId", item.changeId }, { "author", item.author } });
    return value.dump();
}

} // namespace egrettrestle
