// Stand-in for an upstream: each task takes the time in its payload (`runMs`) and is answered with an echo of the
// payload.
//
//   --starts FILE  file to which the id of each started task is appended, one per line
//   POST /control  sets the behaviour: slowFactor (factor on run times), fail (HTTP status of each reply), dropAfterStart
//                  (number of tasks that start and get no reply), wrongId (number of tasks answered with another task's
//                  id), refuse (503 with X-Not-Run), extraMs (added to each run time)

#include <fstream>
#include <mutex>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <egrettrestle/wire/upstream_messages.hpp>

#include "standin_main.hpp"

namespace {

using namespace egrettrestle;

constexpr const char* tasksPath = "/v1/tasks/";

struct Behaviour {
    double slowFactor = 1;
    int fail = 0;
    int dropAfterStart = 0;
    int wrongId = 0;
    bool refuse = false;
    Milliseconds extra { 0 };
};

class Upstream {
public:
    Upstream(std::string id, std::size_t slots, const std::string& startsFile)
        : m_id(std::move(id))
        , m_slots(slots)
        , m_starts(startsFile, std::ios::app)
    {
    }

    HttpResponse handle(const HttpRequest& request)
    {
        if (request.path == "/control")
            return control(request);
        if (request.path.rfind(tasksPath, 0) != 0)
            return standin::jsonResponse("{}", httpStatus::notFound);
        const std::string taskId = request.path.substr(std::string(tasksPath).size());
        const std::optional<UpstreamTask> task = parseUpstreamTask(taskId, request.body);
        if (!task)
            return standin::jsonResponse("{}", httpStatus::badRequest);
        Behaviour behaviour;
        if (!startTask(taskId, behaviour))
            return notRun();
        HttpResponse response = run(*task, behaviour);
        const std::lock_guard<std::mutex> lock(m_mutex);
        --m_busy;
        return response;
    }

private:
    static HttpResponse notRun()
    {
        HttpResponse response = standin::jsonResponse("{}", httpStatus::unavailable);
        response.headers.push_back({ "X-Not-Run", "true" });
        return response;
    }

    /// Acquires a slot, records the start and stores the behaviour for this task in `behaviour`. False if the task is
    /// refused or no slot is free.
    bool startTask(const std::string& taskId, Behaviour& behaviour)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_behaviour.refuse || m_busy >= m_slots)
            return false;
        ++m_busy;
        m_starts << taskId << std::endl;
        behaviour = m_behaviour;
        m_behaviour.dropAfterStart = std::max(0, m_behaviour.dropAfterStart - 1);
        m_behaviour.wrongId = std::max(0, m_behaviour.wrongId - 1);
        return true;
    }

    HttpResponse run(const UpstreamTask& task, const Behaviour& behaviour) const
    {
        const nlohmann::json payload = nlohmann::json::parse(task.payload);
        const double runMilliseconds = payload.is_object() ? payload.value("runMs", 0.0) : 0.0;
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(runMilliseconds * behaviour.slowFactor) + behaviour.extra);
        if (behaviour.dropAfterStart > 0) {
            HttpResponse dropped;
            dropped.dropConnection = true;
            return dropped;
        }
        if (behaviour.fail != 0)
            return standin::jsonResponse("{}", behaviour.fail);
        const std::string taskId = behaviour.wrongId > 0 ? "another-task" : task.taskId;
        const nlohmann::json answer { { "upstream", m_id }, { "echo", payload } };
        return standin::jsonResponse(toText(UpstreamAnswer { taskId, answer.dump() }));
    }

    HttpResponse control(const HttpRequest& request)
    {
        const nlohmann::json value = nlohmann::json::parse(request.body, nullptr, false);
        if (!value.is_object())
            return standin::jsonResponse("{}", httpStatus::badRequest);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_behaviour.slowFactor = value.value("slowFactor", m_behaviour.slowFactor);
        m_behaviour.fail = value.value("fail", m_behaviour.fail);
        m_behaviour.dropAfterStart = value.value("dropAfterStart", m_behaviour.dropAfterStart);
        m_behaviour.wrongId = value.value("wrongId", m_behaviour.wrongId);
        m_behaviour.refuse = value.value("refuse", m_behaviour.refuse);
        m_behaviour.extra = Milliseconds(value.value("extraMs", m_behaviour.extra.count()));
        return standin::jsonResponse("{}");
    }

    const std::string m_id;
    const std::size_t m_slots;
    std::mutex m_mutex;
    std::ofstream m_starts;
    std::size_t m_busy = 0;
    Behaviour m_behaviour;
};

}

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-upstream");
    options.add_options()("listen", "address", cxxopts::value<std::string>())("id", "name", cxxopts::value<std::string>())(
        "slots", "tasks at a time", cxxopts::value<std::size_t>()->default_value("8"))("connections", "connections at a time", cxxopts::value<int>()->default_value("60"))(
        "starts", "file for the record of starts", cxxopts::value<std::string>());
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    Upstream upstream(arguments["id"].as<std::string>(), arguments["slots"].as<std::size_t>(), arguments["starts"].as<std::string>());
    HttpServerLimits limits;
    limits.maxConnections = arguments["connections"].as<int>();
    HttpServer server(arguments["listen"].as<std::string>(), limits, [&upstream](const HttpRequest& request) { return upstream.handle(request); });
    return standin::serve(server);
}
