#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/base/ids.hpp>

namespace egrettrestle {

/// A task as an upstream gets it: `POST /v1/tasks/<task id>`. docs/UPSTREAM.md gives the JSON form.
struct UpstreamTask {
    std::string taskId;
    std::string kind;
    /// JSON text.
    std::string payload;
    Milliseconds timeLeft { 0 };
};

/// An upstream's whole reply to a task.
struct UpstreamAnswer {
    std::string taskId;
    /// JSON text.
    std::string answer;
};

/// Whether the platform wants an instance to get work.
enum class InstanceState {
    Live,
    Leaving,
};

/// One upstream instance of the platform's VM list.
struct Instance {
    UpstreamId id;
    std::string service;
    DataCentreId dataCentre;
    std::string address;
    std::size_t slots = 0;
    InstanceState state = InstanceState::Live;
};

/// The platform's list of upstream VMs at one version. docs/PLATFORM.md gives the JSON form.
struct InstanceList {
    std::uint64_t version = 0;
    std::vector<Instance> instances;
};

/// @name conversions
/// Reading gives nothing for a malformed text.
/// @{
std::string toText(const UpstreamTask& task);
std::optional<UpstreamTask> parseUpstreamTask(std::string_view taskId, std::string_view text);
std::string toText(const UpstreamAnswer& answer);
std::optional<UpstreamAnswer> parseUpstreamAnswer(std::string_view text);
std::string toText(const InstanceList& list);
std::optional<InstanceList> parseInstanceList(std::string_view text);
/// @}

} // namespace egrettrestle
