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

/// The trace and span ids of an operation, as defined by W3C Trace Context.
struct TraceContext {
    std::string traceId;
    std::string spanId;
};

/// Parses a `traceparent` header. Returns a new trace unless the header is well-formed and of version 00.
TraceContext parseTraceParent(std::string_view header);

/// Makes a new trace with a new span.
TraceContext newTrace();

/// Makes a new span in the trace of `parent`.
TraceContext childContext(const TraceContext& parent);

/// Formats a context as a `traceparent` header.
std::string traceParent(const TraceContext& context);

/// One attribute of a span.
struct SpanAttribute {
    std::string key;
    std::string value;
};

/// Appends finished spans to a file, one OTLP/JSON `ExportTraceServiceRequest` per line. Does nothing if tracing is
/// disabled. Thread-safe.
class SpanWriter {
public:
    /// Opens the file for appending; an empty path disables tracing.
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

/// RAII span: starts on construction as a child of `parent`, and is written on destruction.
class Span {
public:
    Span(SpanWriter& writer, std::string_view name, const TraceContext& parent);
    ~Span();
    Span(const Span&) = delete;
    Span& operator=(const Span&) = delete;

    const TraceContext& context() const { return m_context; }
    void setAttribute(std::string key, std::string value);
    /// Moves the start of the span back, for work that began before it was known to need a span.
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
