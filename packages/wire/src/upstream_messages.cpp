#include <egrettrestle/wire/upstream_messages.hpp>

#include <egrettrestle/wire/detail/conversions/parse_message.hpp>

namespace egrettrestle {

namespace {

    using nlohmann::json;

    constexpr detail::ErrorCodeRange upstreamErrorCodes { 600 };
    constexpr detail::ErrorCodeRange platformErrorCodes { 400 };

    std::string quoted(const std::string& text) { return json(text).dump(-1, ' ', false, json::error_handler_t::replace); }

}

std::string toText(const UpstreamTask& task)
{
    // The payload is already JSON text.
    return "{\"kind\":" + quoted(task.kind) + ",\"timeLeftMs\":" + std::to_string(task.timeLeft.count()) + ",\"payload\":" + task.payload + '}';
}

std::optional<UpstreamTask> parseUpstreamTask(std::string_view taskId, std::string_view text)
{
    return detail::parseMessage<UpstreamTask>(text, upstreamErrorCodes, [taskId](detail::ObjectReader& reader, std::vector<ValidationError>&) {
        UpstreamTask task;
        task.taskId = taskId;
        task.kind = reader.text("kind");
        task.timeLeft = reader.milliseconds("timeLeftMs");
        const json* payload = reader.value("payload");
        task.payload = payload ? payload->dump() : "null";
        return task;
    });
}

std::string toText(const UpstreamAnswer& answer)
{
    return "{\"taskId\":" + quoted(answer.taskId) + ",\"answer\":" + answer.answer + '}';
}

std::optional<UpstreamAnswer> parseUpstreamAnswer(std::string_view text)
{
    return detail::parseMessage<UpstreamAnswer>(text, upstreamErrorCodes, [](detail::ObjectReader& reader, std::vector<ValidationError>&) {
        UpstreamAnswer answer;
        answer.taskId = reader.text("taskId");
        const json* found = reader.value("answer");
        answer.answer = found ? found->dump() : "null";
        return answer;
    });
}

std::string toText(const InstanceList& list)
{
    json value { { "version", list.version }, { "vms", json::array() } };
    for (const Instance& instance : list.instances) {
        value["vms"].push_back({ { "id", instance.id }, { "service", instance.service }, { "dataCentre", instance.dataCentre }, { "address", instance.address },
            { "slots", instance.slots }, { "state", instance.state == InstanceState::Live ? "live" : "leaving" } });
    }
    return value.dump();
}

std::optional<InstanceList> parseInstanceList(std::string_view text)
{
    return detail::parseMessage<InstanceList>(text, platformErrorCodes, [](detail::ObjectReader& reader, std::vector<ValidationError>& errors) {
        InstanceList list;
        list.version = reader.numberOr("version", 0);
        for (const json& element : reader.array("vms")) {
            detail::ObjectReader item(element, reader.pointer("vms", list.instances.size()), platformErrorCodes, errors);
            Instance instance;
            instance.id = item.text("id");
            instance.service = item.text("service");
            instance.dataCentre = item.textOr("dataCentre", "");
            instance.address = item.text("address");
            instance.slots = item.number("slots");
            instance.state = item.textOr("state", "live") == "leaving" ? InstanceState::Leaving : InstanceState::Live;
            list.instances.push_back(std::move(instance));
        }
        return list;
    });
}

} // namespace egrettrestle
