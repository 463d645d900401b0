#pragma once

#include <string>

#include <egrettrestle/base/event_log.hpp>
#include <egrettrestle/base/metrics.hpp>
#include <egrettrestle/http/async_server.hpp>

namespace egrettrestle {

/// Reports what a server refused or closed because of its limits, and the requests that it did not answer, in the log and in
/// the metrics.
class ServerRefusals {
public:
    /// `port` is the name of the server's port in the reports. The server must outlive this object.
    ServerRefusals(std::string port, const AsyncHttpServer& server);

    /// Reports what has been added since the last call, in at most one line for each event.
    void report(EventLog& log, Metrics& metrics);

private:
    void reportUnanswered(const AsyncHttpServerCounts& counts, EventLog& log, Metrics& metrics);

    std::string m_port;
    const AsyncHttpServer& m_server;
    AsyncHttpServerCounts m_reported;
};

} // namespace egrettrestle
