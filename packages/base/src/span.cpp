#include <egrettrestle/base/span.hpp>

#include <random>

#include <nlohmann/json.hpp>

namespace egrettrestle {

namespace {

    constexpr std::size_t traceIdDigits = 32;
    constexpr std::size_t spanIdDigits = 16;
    constexpr std::size_t traceParentLength = 55;
    constexpr std::size_t traceIdOffset = 3;
    constexpr std::size_t spanIdOffset = 36;
    constexpr std::string_view hexDigits = "0123456789abcdef";

    std::string randomHex(std::size_t digits)
    {
        thread_local std::mt19937_64 generator { std::random_device {}() };
        std::string text(digits, '0');
        for (char& digit : text)
            digit = hexDigits[generator() % hexDigits.size()];
        return text;
    }

    bool isHex(std::string_view text)
    {
        return text.find_first_not_of(hexDigits) == std::string_view::npos && text.find_first_not_of('0') != std::string_view::npos;
    }

    std::string nanoseconds(std::chrono::system_clock::time_point time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
    }

    nlohmann::json attribute(const std::string& key, const std::string& value)
    {
        return { { "key", key }, { "value", { { "stringValue", value } } } };
    }

}

TraceContext parseTraceParent(std::string_view header)
{
    if (header.size() != traceParentLength || header.substr(0, traceIdOffset) != "00-")
        return newTrace();
    const std::string_view traceId = header.substr(traceIdOffset, traceIdDigits);
    const std::string_view spanId = header.substr(spanIdOffset, spanIdDigits);
    if (!isHex(traceId) || !isHex(spanId))
        return newTrace();
    return { std::string(traceId), std::string(spanId) };
}

TraceContext newTrace()
{
    return { randomHex(traceIdDigits), randomHex(spanIdDigits) };
}

TraceContext childContext(const TraceContext& parent)
{
    return { parent.traceId, randomHex(spanIdDigits) };
}

std::string traceParent(const TraceContext& context)
{
    return "00-" + context.traceId + '-' + context.spanId + "-01";
}

SpanWriter::SpanWriter(const std::string& path, std::string serviceInstance)
    : m_enabled(!path.empty())
    , m_serviceInstance(std::move(serviceInstance))
{
    if (m_enabled)
        m_file.open(path, std::ios::app);
}

void SpanWriter::write(std::string_view name, const TraceContext& context, const std::string& parentSpanId,
    std::chrono::system_clock::time_point begin, std::chrono::system_clock::time_point end, const std::vector<SpanAttribute>& attributes)
{
    if (!m_enabled)
        return;
    nlohmann::json span {
        { "traceId", context.traceId },
        { "spanId", context.spanId },
        { "parentSpanId", parentSpanId },
        { "name", name },
        { "kind", 1 },
        { "startTimeUnixNano", nanoseconds(begin) },
        { "endTimeUnixNano", nanoseconds(end) },
        { "attributes", nlohmann::json::array() },
    };
    for (const SpanAttribute& item : attributes)
        span["attributes"].push_back(attribute(item.key, item.value));
    const nlohmann::json resource { { "attributes", { attribute("service.name", "egrettrestled"), attribute("service.instance.id", m_serviceInstance) } } };
    const nlohmann::json scopeSpans { { "scope", { { "name", "egrettrestle" } } }, { "spans", nlohmann::json::array({ span }) } };
    const nlohmann::json request { { "resourceSpans", nlohmann::json::array({ { { "resource", resource }, { "scopeSpans", nlohmann::json::array({ scopeSpans }) } } }) } };
    const std::string line = request.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << line << std::endl;
}

Span::Span(SpanWriter& writer, std::string_view name, const TraceContext& parent)
    : m_writer(writer)
    , m_name(name)
    , m_parentSpanId(parent.spanId)
    , m_context(childContext(parent))
    , m_begin(std::chrono::system_clock::now())
{
}

Span::~Span()
{
    m_writer.write(m_name, m_context, m_parentSpanId, m_begin, std::chrono::system_clock::now(), m_attributes);
}

void Span::setAttribute(std::string key, std::string value)
{
    if (m_writer.enabled())
        m_attributes.push_back({ std::move(key), std::move(value) });
}

} // namespace egrettrestle
