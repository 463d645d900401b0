#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace egrettrestle {

/// The trace and span a piece of work belongs to, as W3C Trace Context carries it.
struct TraceContext {
    std::string traceId;
    std::string spanId;
};

/// Reads a `traceparent` header. Anything but a well-formed one of version 00 gives a fresh trace.
TraceContext parseTraceParent(std::string_view header);

/// A fresh trace with a fresh span.
TraceContext newTrace();

/// A fresh span of the same trace.
TraceContext childContext(const TraceContext& parent);

/// Writes the `traceparent` header for a context.
std::string traceParent(const TraceContext& context);

/// One attribute of a span.
struct SpanAttribute {
    std::string key;
    std::string value;
};

/// Writes finished spans to a file, one OTLP/JSON `ExportTraceServiceRequest` a line. Without a file it writes nothing.
/// Safe for use by several threads.
class SpanWriter {
public:
    /// Opens the file for appending; an empty path switches tracing off.
    SpanWriter(const std::string& path, std::string serviceInstance);

    bool enabled() const { return m_enabled; }
    void write(std::string_view name, const TraceContext& context, const std::string& parentSpanId,
        std::chrono::system_clock::time_point begin, std::chrono::system_clock::time_point end, const std::vector<SpanAttribute>& attributes);

private:
    bool m_enabled;
    std::string m_serviceInstance;
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// A span that is written when it goes out of scope.
class Span {
public:
    Span(SpanWriter& writer, std::string_view name, const TraceContext& parent);
    ~Span();
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;

    const TraceContext& context() const { return m_context; }
    void setAttribute(std::string key, std::string value);
    /// Moves the span's begin back, for work that had begun before it was known to be worth a span.
    void moveStartBack(std::chrono::nanoseconds by) { m_begin -= std::chrono::duration_cast<std::chrono::system_clock::duration>(by); }

private:
    SpanWriter& m_writer;
    std::string m_name;
    std::string m_parentSpanId;
    TraceContext m_context;
    std::chrono::system_clock::time_point m_begin;
    std::vector<SpanAttribute> m_attributes;
};

} // namespace egrettrestle
