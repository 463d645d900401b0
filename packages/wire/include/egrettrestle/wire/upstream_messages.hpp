#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>

namespace egrettrestle {

/// A task as sent to an upstream with `POST /v1/tasks/<task id>`. docs/UPSTREAM.md describes the JSON form.
struct UpstreamTask {
    std::string taskId;
    std::string kind;
    /// JSON text.
    std::string payload;
    Milliseconds timeLeft { 0 };
};

/// An upstream's reply to a task.
struct UpstreamAnswer {
    std::string taskId;
    /// JSON text.
    std::string answer;
};

/// Whether an instance may be sent new tasks, according to the platform.
enum class InstanceState {
    Live,
    Leaving,
};

/// One upstream instance in the platform's VM list.
struct Instance {
    UpstreamId id;
    std::string service;
    DataCentreId dataCentre;
    std::string address;
    std::size_t slots = 0;
    InstanceState state = InstanceState::Live;
};

/// One version of the platform's list of upstream VMs. docs/PLATFORM.md describes the JSON form.
struct InstanceList {
    std::uint64_t version = 0;
    std::vector<Instance> instances;
};

/// @name conversions
/// Parsing returns nothing for a malformed text.
/// @{
std::string toText(const UpstreamTask& task);
std::optional<UpstreamTask> parseUpstreamTask(std::string_view taskId, std::string_view text);
std::string toText(const UpstreamAnswer& answer);
std::optional<UpstreamAnswer> parseUpstreamAnswer(std::string_view text);
std::string toText(const InstanceList& list);
std::optional<InstanceList> parseInstanceList(std::string_view text);
/// @}

} // namespace egrettrestle
