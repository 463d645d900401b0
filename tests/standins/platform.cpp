// Stand-in for the platform: the store behind an etcd v3 JSON gateway, and the VM list.
//
//   PUT /vms       sets the VM list (docs/PLATFORM.md)
//   POST /control  sets faults: down (closes all connections), slowMs (delay of each reply), dropTxnReplies (number of
//                  transactions whose replies are dropped), freezeVmList (keeps the published list), staleReads (repeats
//                  earlier replies to reads)
//   GET /calls     returns the number of calls by path

#include <map>
#include <mutex>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <egrettrestle/store/store_gateway.hpp>
#include <egrettrestle/wire/upstream_messages.hpp>

#include "standin_main.hpp"

namespace {

using namespace egrettrestle;

struct Faults {
    bool down = false;
    Milliseconds slow { 0 };
    int dropTxnReplies = 0;
    bool freezeVmList = false;
    bool staleReads = false;
};

class Platform {
public:
    HttpResponse handle(const HttpRequest& request)
    {
        if (request.path == "/vms" && request.method == "PUT")
            return setVms(request);
        if (request.path == "/control")
            return setFaults(request);
        if (request.path == "/calls")
            return calls();
        const Faults faults = countCall(request.path);
        if (faults.down) {
            HttpResponse dropped;
            dropped.dropConnection = true;
            return dropped;
        }
        std::this_thread::sleep_for(faults.slow);
        return request.path == "/v1/vms" ? vms(request) : store(request, faults);
    }

private:
    Faults countCall(const std::string& path)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_calls[path];
        return m_faults;
    }

    HttpResponse store(const HttpRequest& request, const Faults& faults)
    {
        if (request.path == "/v3/kv/range" && faults.staleReads) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto cached = m_cachedReads.find(request.body);
            if (cached != m_cachedReads.end())
                return standin::jsonResponse(cached->second);
        }
        HttpResponse response = serveStoreGateway(m_store, request);
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (request.path == "/v3/kv/range" && !faults.staleReads)
            m_cachedReads.emplace(request.body, response.body);
        if (request.path == "/v3/kv/txn" && m_faults.dropTxnReplies > 0) {
            --m_faults.dropTxnReplies;
            response.dropConnection = true;
        }
        if (response.stream) {
            // Ends watches when the store goes down.
            response.stream = [this, inner = response.stream](std::ostream& stream, const std::atomic<bool>& stopping) {
                std::atomic<bool> ended { false };
                std::thread outageWatcher([&] {
                    while (!ended && !stopping && !isDown())
                        std::this_thread::sleep_for(Milliseconds(20));
                    ended = true;
                });
                inner(stream, ended);
                ended = true;
                outageWatcher.join();
            };
        }
        return response;
    }

    bool isDown()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_faults.down;
    }

    HttpResponse setVms(const HttpRequest& request)
    {
        const std::optional<InstanceList> list = parseInstanceList(request.body);
        if (!list)
            return standin::jsonResponse("{}", httpStatus::badRequest);
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::uint64_t version = m_list.version + 1;
        m_list = *list;
        m_list.version = version;
        if (!m_faults.freezeVmList)
            m_publishedList = m_list;
        return standin::jsonResponse("{}");
    }

    HttpResponse vms(const HttpRequest& request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (queryValue(request, "since") == std::to_string(m_publishedList.version))
            return standin::jsonResponse("", httpStatus::notModified);
        return standin::jsonResponse(toText(m_publishedList));
    }

    HttpResponse setFaults(const HttpRequest& request)
    {
        const nlohmann::json value = nlohmann::json::parse(request.body, nullptr, false);
        if (!value.is_object())
            return standin::jsonResponse("{}", httpStatus::badRequest);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_faults.down = value.value("down", m_faults.down);
        m_faults.slow = Milliseconds(value.value("slowMs", m_faults.slow.count()));
        m_faults.dropTxnReplies = value.value("dropTxnReplies", m_faults.dropTxnReplies);
        m_faults.freezeVmList = value.value("freezeVmList", m_faults.freezeVmList);
        m_faults.staleReads = value.value("staleReads", m_faults.staleReads);
        if (!m_faults.freezeVmList)
            m_publishedList = m_list;
        return standin::jsonResponse("{}");
    }

    HttpResponse calls()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return standin::jsonResponse(nlohmann::json(m_calls).dump());
    }

    EmbeddedStore m_store;
    std::mutex m_mutex;
    Faults m_faults;
    InstanceList m_list;
    InstanceList m_publishedList;
    std::map<std::string, std::uint64_t> m_calls;
    std::map<std::string, std::string> m_cachedReads;
};

}

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-platform");
    options.add_options()("listen", "address", cxxopts::value<std::string>());
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    Platform platform;
    HttpServer server(arguments["listen"].as<std::string>(), {}, [&platform](const HttpRequest& request) { return platform.handle(request); });
    return standin::serve(server);
}
