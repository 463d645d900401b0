// TCP proxy that injects faults into its links.
//
//   --link NAME=LISTEN>TARGET   forwards connections to LISTEN on to TARGET; may be repeated
//   POST /link?name=NAME        sets the mode of a link: {"mode":"...","delayMs":N,"count":N}
//   GET /bytes?name=NAME        returns the number of connections and of bytes in each direction
//
// Modes: pass; delay (delays each chunk by delayMs); cut (closes open and new connections); hold (forwards nothing, but
// keeps connections open); hold-requests and hold-replies (the same in one direction); drop-reply (closes the
// connection instead of forwarding a reply, for the next `count` replies).

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "standin_main.hpp"

namespace {

using namespace egrettrestle;

constexpr Milliseconds pollInterval { 10 };

enum class Mode {
    Pass,
    Delay,
    Cut,
    Hold,
    HoldRequests,
    HoldReplies,
    DropReply,
};

struct ModeName {
    Mode mode;
    const char* name;
};

constexpr ModeName modeNames[] = {
    { Mode::Pass, "pass" },
    { Mode::Delay, "delay" },
    { Mode::Cut, "cut" },
    { Mode::Hold, "hold" },
    { Mode::HoldRequests, "hold-requests" },
    { Mode::HoldReplies, "hold-replies" },
    { Mode::DropReply, "drop-reply" },
};

/// A listening port, the address it forwards to, and the fault mode of its traffic.
class Link {
public:
    Link(const std::string& listen, std::string target)
        : m_target(std::move(target))
        , m_socket(Poco::Net::SocketAddress(listen))
    {
        std::thread([this] { accept(); }).detach();
    }

    void setFault(Mode mode, Milliseconds delay, int count)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_mode = mode;
        m_delay = delay;
        m_dropsLeft = count;
    }

    std::string counts()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const nlohmann::json value { { "connections", m_connections }, { "requestBytes", m_requestBytes }, { "replyBytes", m_replyBytes } };
        return value.dump();
    }

private:
    struct State {
        Mode mode;
        Milliseconds delay;
    };

    State state()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return { m_mode, m_delay };
    }

    void accept()
    {
        while (true) {
            try {
                const Poco::Net::StreamSocket client = m_socket.acceptConnection();
                std::thread([this, client] { serve(client); }).detach();
            } catch (const Poco::Exception&) {
                std::this_thread::sleep_for(pollInterval);
            }
        }
    }

    void serve(Poco::Net::StreamSocket client)
    {
        if (state().mode == Mode::Cut)
            return;
        try {
            const Poco::Timespan connectTimeout(1, 0);
            Poco::Net::StreamSocket target;
            target.connect(Poco::Net::SocketAddress(m_target), connectTimeout);
            target.setNoDelay(true);
            client.setNoDelay(true);
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                ++m_connections;
            }
            const std::shared_ptr<std::atomic<bool>> open = std::make_shared<std::atomic<bool>>(true);
            std::thread replies([this, target, client, open] { pump(target, client, false, *open); });
            pump(client, target, true, *open);
            replies.join();
        } catch (const Poco::Exception&) {
            // The target refused the connection, so the client's connection is closed too.
        }
    }

    static bool isHeld(Mode mode, bool isRequest)
    {
        return mode == Mode::Hold || (isRequest ? mode == Mode::HoldRequests : mode == Mode::HoldReplies);
    }

    void pump(Poco::Net::StreamSocket from, Poco::Net::StreamSocket to, bool isRequest, std::atomic<bool>& open)
    {
        char buffer[64 * 1024];
        try {
            while (open && state().mode != Mode::Cut) {
                if (isHeld(state().mode, isRequest)) {
                    std::this_thread::sleep_for(pollInterval);
                    continue;
                }
                if (!from.poll(Poco::Timespan(pollInterval.count() * 1000), Poco::Net::Socket::SELECT_READ))
                    continue;
                const int length = from.receiveBytes(buffer, sizeof(buffer));
                if (length <= 0 || !forward(to, buffer, length, isRequest))
                    break;
            }
        } catch (const Poco::Exception&) {
            // One of the connections was closed.
        }
        open = false;
        try {
            to.shutdown();
            from.shutdown();
        } catch (const Poco::Exception&) {
            // Already closed.
        }
    }

    bool forward(Poco::Net::StreamSocket& to, const char* buffer, int length, bool isRequest)
    {
        const State now = state();
        while (isHeld(state().mode, isRequest))
            std::this_thread::sleep_for(pollInterval);
        if (now.mode == Mode::Delay)
            std::this_thread::sleep_for(now.delay);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            (isRequest ? m_requestBytes : m_replyBytes) += static_cast<std::uint64_t>(length);
            if (m_mode == Mode::Cut)
                return false;
            if (!isRequest && m_mode == Mode::DropReply && m_dropsLeft > 0) {
                if (--m_dropsLeft == 0)
                    m_mode = Mode::Pass;
                return false;
            }
        }
        to.sendBytes(buffer, length);
        return true;
    }

    const std::string m_target;
    Poco::Net::ServerSocket m_socket;
    std::mutex m_mutex;
    Mode m_mode = Mode::Pass;
    Milliseconds m_delay { 0 };
    int m_dropsLeft = 0;
    std::uint64_t m_connections = 0;
    std::uint64_t m_requestBytes = 0;
    std::uint64_t m_replyBytes = 0;
};

class Proxy {
public:
    void add(const std::string& definition)
    {
        const std::size_t equals = definition.find('=');
        const std::size_t arrow = definition.find('>');
        m_links[definition.substr(0, equals)] = std::make_unique<Link>(definition.substr(equals + 1, arrow - equals - 1), definition.substr(arrow + 1));
    }

    HttpResponse handle(const HttpRequest& request)
    {
        const auto link = m_links.find(queryValue(request, "name"));
        if (link == m_links.end())
            return standin::jsonResponse("{}", httpStatus::notFound);
        if (request.path == "/bytes")
            return standin::jsonResponse(link->second->counts());
        const nlohmann::json value = nlohmann::json::parse(request.body, nullptr, false);
        const std::string name = value.is_object() ? value.value("mode", "") : "";
        for (const ModeName& entry : modeNames) {
            if (name == entry.name) {
                link->second->setFault(entry.mode, Milliseconds(value.value("delayMs", 0)), value.value("count", 1));
                return standin::jsonResponse("{}");
            }
        }
        return standin::jsonResponse("{}", httpStatus::badRequest);
    }

private:
    std::map<std::string, std::unique_ptr<Link>> m_links;
};

}

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-fault-proxy");
    options.add_options()("control", "address of the control port", cxxopts::value<std::string>())("link", "NAME=LISTEN>TARGET", cxxopts::value<std::vector<std::string>>());
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    Proxy proxy;
    for (const std::string& link : arguments["link"].as<std::vector<std::string>>())
        proxy.add(link);
    HttpServer server(arguments["control"].as<std::string>(), {}, [&proxy](const HttpRequest& request) { return proxy.handle(request); });
    const int code = standin::serve(server);
    // The forwarding threads are detached and never end, so destructors must not run.
    std::_Exit(code);
}
