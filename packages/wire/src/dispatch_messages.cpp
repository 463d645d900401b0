#include <egrettrestle/wire/dispatch_messages.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

#include <egrettrestle/wire/detail/conversions/parse_message.hpp>
#include <egrettrestle/wire/detail/output/json_writer.hpp>

namespace egrettrestle {

namespace {

    using detail::ObjectReader;
    using nlohmann::json;

    constexpr detail::ErrorCodeRange dispatchErrorCodes { 520 };

    template <typename Enum>
    Enum readEnum(ObjectReader& reader, const char* key, Enum last, std::vector<ValidationError>& errors)
    {
        const std::uint64_t value = reader.number(key);
        if (value <= static_cast<std::uint64_t>(last))
            return static_cast<Enum>(value);
        errors.push_back({ dispatchErrorCodes.outOfRange(), reader.pointer(key), std::to_string(value), "a known value" });
        return last;
    }

    /// A number as the receiver can read it. An unreadable number would make the receiver reject the whole batch.
    std::int64_t readableNumber(std::int64_t value) { return std::max<std::int64_t>(0, value); }

    std::int64_t readableMilliseconds(Milliseconds time) { return std::clamp<std::int64_t>(time.count(), 0, static_cast<std::int64_t>(detail::maxMilliseconds)); }

    double readableReal(double value, double defaultValue) { return std::isfinite(value) ? value : defaultValue; }

    json runJson(const char* kind, const TaskRun& run)
    {
        return { { "is", kind }, { "job", run.task.job }, { "step", run.task.step }, { "index", run.task.index }, { "run", run.number } };
    }

    TaskRun readRun(ObjectReader& reader)
    {
        TaskRun run;
        run.task.job = reader.text("job");
        run.task.step = static_cast<std::uint32_t>(reader.number("step"));
        run.task.index = static_cast<std::uint32_t>(reader.number("index"));
        run.number = reader.number("run");
        return run;
    }

    json requestJson(const RunRequest& request, TimePoint now)
    {
        json value = runJson("request", request.run);
        value["spec"] = request.spec;
        value["service"] = request.service;
        value["route"] = request.route;
        value["cpu"] = readableNumber(request.need.milliCores);
        value["memory"] = readableNumber(request.need.memoryMb);
        value["accelerators"] = readableNumber(request.need.accelerators);
        value["priority"] = readableNumber(request.priority);
        value["estimateMs"] = readableMilliseconds(request.estimate);
        value["expectedMs"] = readableMilliseconds(request.expectedRunTime);
        value["startWithinMs"] = readableMilliseconds(toMilliseconds(request.latestStart - now));
        if (request.dueBy)
            value["dueWithinMs"] = readableMilliseconds(toMilliseconds(*request.dueBy - now));
        if (!request.requiredLabel.empty())
            value["label"] = request.requiredLabel;
        if (!request.dataRack.empty())
            value["rack"] = request.dataRack;
        if (request.maxPerUpstream > 0)
            value["maxPerUpstream"] = request.maxPerUpstream;
        if (!request.avoid.empty())
            value["avoid"] = request.avoid;
        if (request.crashes.total > 0) {
            value["crashes"] = request.crashes.total;
            value["crashesAlone"] = request.crashes.alone;
        }
        return value;
    }

    Resources readResources(ObjectReader& reader)
    {
        return { reader.integer("cpu"), reader.integer("memory"), reader.integer("accelerators") };
    }

    /// Batches of earlier builds lack them in some messages.
    Resources readResourcesOrNone(ObjectReader& reader)
    {
        const auto integerOrNone = [&reader](const char* key) { return reader.has(key) ? reader.integer(key) : 0; };
        return { integerOrNone("cpu"), integerOrNone("memory"), integerOrNone("accelerators") };
    }

    RunRequest readRequest(ObjectReader& reader, TimePoint now)
    {
        RunRequest request;
        request.run = readRun(reader);
        request.spec = reader.text("spec");
        request.service = reader.text("service");
        request.route = reader.text("route");
        request.need = readResources(reader);
        request.priority = static_cast<int>(reader.number("priority"));
        request.estimate = reader.milliseconds("estimateMs");
        request.expectedRunTime = reader.milliseconds("expectedMs");
        request.latestStart = now + reader.milliseconds("startWithinMs");
        if (reader.has("dueWithinMs"))
            request.dueBy = now + reader.milliseconds("dueWithinMs");
        request.requiredLabel = reader.textOr("label", "");
        request.dataRack = reader.textOr("rack", "");
        request.maxPerUpstream = static_cast<std::uint32_t>(reader.numberOr("maxPerUpstream", 0));
        for (const json& upstream : reader.arrayOrEmpty("avoid"))
            request.avoid.push_back(upstream.is_string() ? upstream.get<std::string>() : std::string());
        request.crashes = { static_cast<int>(reader.numberOr("crashes", 0)), static_cast<int>(reader.numberOr("crashesAlone", 0)) };
        return request;
    }

    json crashJson(const UpstreamCrash& crash)
    {
        json suspects = json::array();
        for (const TaskRef& task : crash.suspects)
            suspects.push_back({ { "job", task.job }, { "step", task.step }, { "index", task.index } });
        json exposures = json::array();
        for (const RouteExposure& exposure : crash.exposures)
            exposures.push_back({ { "route", exposure.route }, { "present", exposure.present }, { "share", readableReal(exposure.share, 0) } });
        return { { "is", "crash" }, { "upstream", crash.incarnation.upstream }, { "startedAt", readableNumber(crash.incarnation.startedAt.count()) }, { "evidence", static_cast<int>(crash.evidence) }, { "suspects", std::move(suspects) }, { "alone", crash.alone }, { "exposures", std::move(exposures) } };
    }

    UpstreamCrash readCrash(ObjectReader& reader, std::vector<ValidationError>& errors)
    {
        UpstreamCrash crash;
        crash.incarnation = { reader.text("upstream"), Milliseconds { reader.integer("startedAt") } };
        crash.evidence = readEnum(reader, "evidence", CrashEvidence::Refuted, errors);
        crash.alone = reader.boolean("alone");
        for (const json& element : reader.array("suspects")) {
            ObjectReader item(element, reader.pointer("suspects", crash.suspects.size()), dispatchErrorCodes, errors);
            crash.suspects.push_back({ item.text("job"), static_cast<std::uint32_t>(item.number("step")), static_cast<std::uint32_t>(item.number("index")) });
        }
        for (const json& element : reader.arrayOrEmpty("exposures")) {
            ObjectReader item(element, reader.pointer("exposures", crash.exposures.size()), dispatchErrorCodes, errors);
            crash.exposures.push_back({ item.text("route"), item.boolean("present"), item.real("share") });
        }
        return crash;
    }

    json messageJson(const PeerMessage& message, TimePoint now)
    {
        if (message.crash)
            return crashJson(*message.crash);
        if (message.request)
            return requestJson(*message.request, now);
        if (message.started) {
            json value = runJson("started", message.started->run);
            value["upstream"] = message.started->upstream;
            value["epoch"] = message.started->epoch.value;
            return value;
        }
        if (message.ended) {
            json value = runJson("ended", message.ended->run);
            value["upstream"] = message.ended->upstream;
            value["how"] = static_cast<int>(message.ended->outcome);
            value["tookMs"] = readableMilliseconds(message.ended->duration);
            value["kind"] = message.ended->kind;
            return value;
        }
        if (message.returned) {
            json value = runJson("returned", message.returned->run);
            value["reason"] = static_cast<int>(message.returned->reason);
            return value;
        }
        if (message.claim) {
            json value = runJson("claim", message.claim->run);
            value["upstream"] = message.claim->upstream;
            value["epoch"] = message.claim->epoch.value;
            value["cpu"] = readableNumber(message.claim->need.milliCores);
            value["memory"] = readableNumber(message.claim->need.memoryMb);
            value["accelerators"] = readableNumber(message.claim->need.accelerators);
            return value;
        }
        json value = runJson("withdrawn", message.withdrawal->run);
        value["onlyIfWaiting"] = message.withdrawal->onlyIfWaiting;
        if (!message.withdrawal->upstream.empty())
            value["upstream"] = message.withdrawal->upstream;
        if (message.withdrawal->endBy)
            value["endWithinMs"] = readableMilliseconds(toMilliseconds(*message.withdrawal->endBy - now));
        return value;
    }

    RunWithdrawal readWithdrawal(ObjectReader& reader, TimePoint now)
    {
        RunWithdrawal withdrawal { readRun(reader), reader.boolean("onlyIfWaiting"), reader.textOr("upstream", "") };
        if (reader.has("endWithinMs"))
            withdrawal.endBy = now + reader.milliseconds("endWithinMs");
        return withdrawal;
    }

    PeerMessage readMessage(ObjectReader& reader, TimePoint now, std::vector<ValidationError>& errors)
    {
        PeerMessage message;
        const std::string kind = reader.text("is");
        if (kind == "request")
            message.request = readRequest(reader, now);
        else if (kind == "started")
            message.started = RunStarted { readRun(reader), reader.text("upstream"), { reader.number("epoch") } };
        else if (kind == "ended")
            message.ended = RunEnded { readRun(reader), reader.text("upstream"), readEnum(reader, "how", RunOutcome::LeaseExpired, errors), reader.milliseconds("tookMs"), reader.text("kind") };
        else if (kind == "returned")
            message.returned = RunReturned { readRun(reader), readEnum(reader, "reason", ReturnReason::Unschedulable, errors) };
        else if (kind == "claim")
            message.claim = RunClaim { readRun(reader), reader.text("upstream"), { reader.number("epoch") }, readResourcesOrNone(reader) };
        else if (kind == "withdrawn")
            message.withdrawal = readWithdrawal(reader, now);
        else if (kind == "crash")
            message.crash = readCrash(reader, errors);
        else
            errors.push_back({ dispatchErrorCodes.outOfRange(), reader.pointer("is"), kind, "a known type of message" });
        return message;
    }

    std::vector<SizedCapacity> readPlaces(ObjectReader& reader, std::vector<ValidationError>& errors)
    {
        constexpr std::size_t fields = 2;
        std::vector<SizedCapacity> places;
        for (const json& row : reader.arrayOrEmpty("places")) {
            if (row.is_array() && row.size() == fields && row[0].is_number_unsigned() && row[1].is_number_unsigned())
                places.push_back({ row[0].get<std::int64_t>(), row[1].get<std::uint32_t>() });
            else
                errors.push_back({ dispatchErrorCodes.outOfRange(), reader.pointer("places"), row.dump(), "rows of a size and a number of tasks" });
        }
        return places;
    }

    void writeKind(detail::JsonWriter& writer, const KindCapacity& kind)
    {
        writer.beginObject();
        writer.field("service", kind.service);
        writer.field("kind", kind.kind);
        writer.field("free", kind.freeTasks);
        writer.field("total", kind.totalTasks);
        writer.field("slowness", readableReal(kind.slowness, 1));
        if (!kind.places.empty()) {
            writer.beginArray("places");
            for (const SizedCapacity& place : kind.places) {
                writer.beginArray();
                writer.element(readableNumber(place.milliCores));
                writer.element(place.freeTasks);
                writer.endArray();
            }
            writer.endArray();
        }
        writer.endObject();
    }

    void writeCapacity(detail::JsonWriter& writer, const CapacityReport& capacity)
    {
        writer.beginObject("room");
        writer.beginObject("need");
        writer.field("cpu", readableNumber(capacity.typicalNeed.milliCores));
        writer.field("memory", readableNumber(capacity.typicalNeed.memoryMb));
        writer.field("accelerators", readableNumber(capacity.typicalNeed.accelerators));
        writer.endObject();
        writer.beginArray("kinds");
        for (const KindCapacity& kind : capacity.kinds)
            writeKind(writer, kind);
        writer.endArray();
        writer.beginArray("queues");
        for (const QueueBacklog& queue : capacity.queues) {
            writer.beginObject();
            writer.field("service", queue.service);
            writer.field("priority", readableNumber(queue.priority));
            writer.field("tasks", queue.tasks);
            writer.field("workMs", readableMilliseconds(queue.work));
            writer.endObject();
        }
        writer.endArray();
        writer.field("seen", capacity.requestsReceived);
        writer.field("completeUnder", capacity.completeAtEpoch.value);
        if (!capacity.confinedRoutes.empty()) {
            writer.beginArray("confined");
            for (const RouteCapacity& route : capacity.confinedRoutes) {
                writer.beginObject();
                writer.field("route", route.route);
                writer.field("free", route.freeTasks);
                writer.field("total", route.totalTasks);
                writer.field("tasks", route.queuedTasks);
                writer.field("workMs", readableMilliseconds(route.queuedWork));
                writer.endObject();
            }
            writer.endArray();
        }
        writer.endObject();
    }

    Evacuations readEvacuations(ObjectReader& reader, std::vector<ValidationError>& errors)
    {
        Evacuations evacuations;
        evacuations.revision = reader.number("revision");
        for (const json& element : reader.array("dataCentres")) {
            if (element.is_string())
                evacuations.dataCentres.insert(element.get<std::string>());
            else
                errors.push_back({ dispatchErrorCodes.outOfRange(), reader.pointer("dataCentres"), element.dump(), "names of data centres" });
        }
        return evacuations;
    }

    CapacityReport readCapacity(ObjectReader& reader, std::vector<ValidationError>& errors)
    {
        CapacityReport capacity;
        capacity.requestsReceived = reader.number("seen");
        capacity.completeAtEpoch.value = reader.number("completeUnder");
        if (const json* need = reader.value("need")) {
            ObjectReader item(*need, reader.pointer("need"), dispatchErrorCodes, errors);
            capacity.typicalNeed = readResources(item);
        }
        for (const json& element : reader.array("kinds")) {
            ObjectReader item(element, reader.pointer("kinds", capacity.kinds.size()), dispatchErrorCodes, errors);
            capacity.kinds.push_back({ item.text("service"), item.text("kind"), static_cast<std::uint32_t>(item.number("free")), static_cast<std::uint32_t>(item.number("total")), item.real("slowness"), readPlaces(item, errors) });
        }
        for (const json& element : reader.array("queues")) {
            ObjectReader item(element, reader.pointer("queues", capacity.queues.size()), dispatchErrorCodes, errors);
            capacity.queues.push_back({ item.text("service"), static_cast<int>(item.number("priority")), static_cast<std::uint32_t>(item.number("tasks")), item.milliseconds("workMs") });
        }
        for (const json& element : reader.arrayOrEmpty("confined")) {
            ObjectReader item(element, reader.pointer("confined", capacity.confinedRoutes.size()), dispatchErrorCodes, errors);
            capacity.confinedRoutes.push_back({ item.text("route"), static_cast<std::uint32_t>(item.number("free")), static_cast<std::uint32_t>(item.number("total")), static_cast<std::uint32_t>(item.number("tasks")), item.milliseconds("workMs") });
        }
        return capacity;
    }

}

// A VM of a large fleet writes more than a hundred batches a second, most of them without messages.
std::string toText(const DispatchBatch& batch, TimePoint now)
{
    detail::JsonWriter writer;
    writer.beginObject();
    writer.field("from", batch.sender);
    writer.field("life", batch.stamp.processIncarnation);
    writer.field("toLife", batch.stamp.receiverProcessIncarnation);
    writer.field("first", batch.stamp.firstMessage);
    writer.field("address", batch.address);
    writer.field("epoch", batch.epoch.value);
    writer.field("configuration", batch.configurationVersion);
    writer.field("mark", batch.stamp.echoedTimestamp);
    writer.field("lagMs", static_cast<std::uint64_t>(std::max<std::int64_t>(0, batch.executorLag.count())));
    writeCapacity(writer, batch.capacity);
    if (batch.evacuations) {
        writer.beginObject("evacuations");
        writer.field("revision", batch.evacuations->revision);
        writer.beginArray("dataCentres");
        for (const DataCentreId& dataCentre : batch.evacuations->dataCentres)
            writer.element(dataCentre);
        writer.endArray();
        writer.endObject();
    }
    writer.beginArray("messages");
    for (const PeerMessage& message : batch.messages)
        writer.element(messageJson(message, now));
    writer.endArray();
    writer.endObject();
    return writer.text();
}

namespace {

    /// Reads a batch without messages, as VMs send most of them, without building a tree of its values. Stops at anything
    /// else, also at unknown fields and at values out of range, for which the tree is built.
    class EmptyBatchReader : public nlohmann::json_sax<json> {
    public:
        static std::optional<DispatchBatch> read(std::string_view text)
        {
            if (text.find("\"messages\":[]") == std::string_view::npos)
                return std::nullopt;
            EmptyBatchReader reader;
            if (!json::sax_parse(text, &reader) || reader.m_levels.size() != 1 || reader.m_levels.back().kind != Kind::Text)
                return std::nullopt;
            return std::move(reader.m_batch);
        }

        EmptyBatchReader() { m_levels.push_back({ Kind::Text }); }

        bool null() override { return false; }
        bool boolean(bool) override { return false; }
        bool binary(json::binary_t&) override { return false; }
        bool number_integer(std::int64_t) override { return false; }
        bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

        bool number_float(double value, const std::string&) override
        {
            return isAt(Kind::KindCapacity, "slowness") && setSlowness(value);
        }

        bool number_unsigned(std::uint64_t value) override
        {
            if (isAt(Kind::KindCapacity, "slowness"))
                return setSlowness(static_cast<double>(value));
            if (m_levels.back().kind == Kind::Place)
                return addToPlace(value);
            std::uint64_t* number = numberAt();
            if (number) {
                *number = value;
                return true;
            }
            if (m_levels.back().kind == Kind::Need)
                return value <= maxInteger && setNeed(static_cast<std::int64_t>(value));
            return setCount(value);
        }

        bool string(std::string& value) override
        {
            std::string* text = textAt();
            if (!text)
                return false;
            text->swap(value);
            return true;
        }

        bool key(std::string& value) override
        {
            Level& level = m_levels.back();
            const std::vector<const char*>& fields = fieldsOf(level.kind);
            const auto field = std::find(fields.begin(), fields.end(), value);
            if (field == fields.end())
                return false;
            const unsigned bit = 1U << static_cast<unsigned>(field - fields.begin());
            // Of repeated fields, the last one counts in a tree.
            if ((level.fieldsRead & bit) != 0)
                return false;
            level.fieldsRead |= bit;
            m_field = *field;
            return true;
        }

        bool start_object(std::size_t) override
        {
            if (m_levels.back().kind == Kind::Text)
                return enter(Kind::Batch);
            if (isAt(Kind::Batch, "room"))
                return enter(Kind::Room);
            if (isAt(Kind::Room, "need"))
                return enter(Kind::Need);
            if (m_levels.back().kind == Kind::KindList) {
                m_batch.capacity.kinds.emplace_back();
                return enter(Kind::KindCapacity);
            }
            if (m_levels.back().kind == Kind::QueueList) {
                m_batch.capacity.queues.emplace_back();
                return enter(Kind::Queue);
            }
            return false;
        }

        bool end_object() override
        {
            const Level& level = m_levels.back();
            const std::size_t required = fieldsOf(level.kind).size() - (level.kind == Kind::KindCapacity ? 1 : 0);
            const unsigned mask = (1U << required) - 1;
            if ((level.fieldsRead & mask) != mask)
                return false;
            m_levels.pop_back();
            return true;
        }

        bool start_array(std::size_t) override
        {
            if (isAt(Kind::Batch, "messages"))
                return enter(Kind::Messages);
            if (isAt(Kind::Room, "kinds"))
                return enter(Kind::KindList);
            if (isAt(Kind::Room, "queues"))
                return enter(Kind::QueueList);
            if (isAt(Kind::KindCapacity, "places"))
                return enter(Kind::PlaceList);
            if (m_levels.back().kind != Kind::PlaceList)
                return false;
            m_batch.capacity.kinds.back().places.emplace_back();
            m_placeFields = 0;
            return enter(Kind::Place);
        }

        bool end_array() override
        {
            if (m_levels.back().kind == Kind::Place && m_placeFields != 2)
                return false;
            m_levels.pop_back();
            return true;
        }

    private:
        enum class Kind {
            Text,
            Batch,
            Room,
            Need,
            KindList,
            KindCapacity,
            PlaceList,
            Place,
            QueueList,
            Queue,
            Messages,
        };

        struct Level {
            Kind kind;
            /// One bit for each of fieldsOf().
            unsigned fieldsRead = 0;
        };

        static constexpr std::uint64_t maxInteger = std::numeric_limits<std::int64_t>::max();

        /// The fields of an object; all but the last of a kind's capacity are required.
        static const std::vector<const char*>& fieldsOf(Kind kind)
        {
            static const std::vector<const char*> batch { "from", "life", "toLife", "first", "address", "epoch", "configuration", "mark", "lagMs", "room", "messages" };
            static const std::vector<const char*> room { "need", "kinds", "queues", "seen", "completeUnder" };
            static const std::vector<const char*> need { "cpu", "memory", "accelerators" };
            static const std::vector<const char*> kindCapacity { "service", "kind", "free", "total", "slowness", "places" };
            static const std::vector<const char*> queue { "service", "priority", "tasks", "workMs" };
            static const std::vector<const char*> none;
            switch (kind) {
            case Kind::Batch:
                return batch;
            case Kind::Room:
                return room;
            case Kind::Need:
                return need;
            case Kind::KindCapacity:
                return kindCapacity;
            case Kind::Queue:
                return queue;
            default:
                return none;
            }
        }

        bool enter(Kind kind)
        {
            m_levels.push_back({ kind });
            return true;
        }

        bool isAt(Kind kind, std::string_view field) const { return m_levels.back().kind == kind && m_field == field; }

        std::uint64_t* numberAt()
        {
            if (m_levels.back().kind == Kind::Room)
                return m_field == "seen" ? &m_batch.capacity.requestsReceived : m_field == "completeUnder" ? &m_batch.capacity.completeAtEpoch.value
                                                                                                           : nullptr;
            if (m_levels.back().kind != Kind::Batch)
                return nullptr;
            const std::pair<std::string_view, std::uint64_t*> numbers[] = {
                { "life", &m_batch.stamp.processIncarnation },
                { "toLife", &m_batch.stamp.receiverProcessIncarnation },
                { "first", &m_batch.stamp.firstMessage },
                { "epoch", &m_batch.epoch.value },
                { "configuration", &m_batch.configurationVersion },
                { "mark", &m_batch.stamp.echoedTimestamp },
            };
            const auto found = std::find_if(std::begin(numbers), std::end(numbers), [this](const auto& number) { return number.first == m_field; });
            return found == std::end(numbers) ? nullptr : found->second;
        }

        std::string* textAt()
        {
            if (isAt(Kind::Batch, "from"))
                return &m_batch.sender;
            if (isAt(Kind::Batch, "address"))
                return &m_batch.address;
            if (isAt(Kind::KindCapacity, "service"))
                return &m_batch.capacity.kinds.back().service;
            if (isAt(Kind::KindCapacity, "kind"))
                return &m_batch.capacity.kinds.back().kind;
            if (isAt(Kind::Queue, "service"))
                return &m_batch.capacity.queues.back().service;
            return nullptr;
        }

        bool setSlowness(double value)
        {
            m_batch.capacity.kinds.back().slowness = value;
            return true;
        }

        bool addToPlace(std::uint64_t value)
        {
            SizedCapacity& place = m_batch.capacity.kinds.back().places.back();
            ++m_placeFields;
            if (m_placeFields == 1)
                place.milliCores = static_cast<std::int64_t>(value);
            else
                place.freeTasks = static_cast<std::uint32_t>(value);
            return m_placeFields <= 2;
        }

        bool setNeed(std::int64_t value)
        {
            Resources& need = m_batch.capacity.typicalNeed;
            (m_field == "cpu" ? need.milliCores : m_field == "memory" ? need.memoryMb
                                                                      : need.accelerators)
                = value;
            return true;
        }

        /// Sets the sender's lag, or a number of a kind's capacity or of a queue.
        bool setCount(std::uint64_t value)
        {
            if (isAt(Kind::Batch, "lagMs") && value <= detail::maxMilliseconds)
                m_batch.executorLag = Milliseconds { static_cast<std::int64_t>(value) };
            else if (isAt(Kind::KindCapacity, "free"))
                m_batch.capacity.kinds.back().freeTasks = static_cast<std::uint32_t>(value);
            else if (isAt(Kind::KindCapacity, "total"))
                m_batch.capacity.kinds.back().totalTasks = static_cast<std::uint32_t>(value);
            else if (isAt(Kind::Queue, "priority"))
                m_batch.capacity.queues.back().priority = static_cast<int>(value);
            else if (isAt(Kind::Queue, "tasks"))
                m_batch.capacity.queues.back().tasks = static_cast<std::uint32_t>(value);
            else if (isAt(Kind::Queue, "workMs") && value <= detail::maxMilliseconds)
                m_batch.capacity.queues.back().work = Milliseconds { static_cast<std::int64_t>(value) };
            else
                return false;
            return true;
        }

        DispatchBatch m_batch;
        std::vector<Level> m_levels;
        std::string_view m_field;
        int m_placeFields = 0;
    };

}

std::optional<DispatchBatch> parseDispatchBatch(std::string_view text, TimePoint now)
{
    std::vector<ValidationError> errors;
    return parseDispatchBatch(text, now, errors);
}

std::optional<DispatchBatch> parseDispatchBatch(std::string_view text, TimePoint now, std::vector<ValidationError>& parseErrors)
{
    if (std::optional<DispatchBatch> batch = EmptyBatchReader::read(text))
        return batch;
    return detail::parseMessage<DispatchBatch>(text, dispatchErrorCodes, parseErrors, [now](ObjectReader& reader, std::vector<ValidationError>& errors) {
        DispatchBatch batch;
        batch.sender = reader.text("from");
        batch.stamp.processIncarnation = reader.number("life");
        batch.stamp.receiverProcessIncarnation = reader.number("toLife");
        batch.stamp.firstMessage = reader.number("first");
        batch.address = reader.text("address");
        batch.epoch.value = reader.number("epoch");
        batch.configurationVersion = reader.number("configuration");
        batch.stamp.echoedTimestamp = reader.number("mark");
        // An earlier build does not send it.
        batch.executorLag = Milliseconds { static_cast<std::int64_t>(reader.numberOr("lagMs", 0, detail::maxMilliseconds)) };
        if (const json* capacity = reader.value("room")) {
            ObjectReader item(*capacity, reader.pointer("room"), dispatchErrorCodes, errors);
            batch.capacity = readCapacity(item, errors);
        }
        if (reader.has("evacuations")) {
            ObjectReader item(*reader.value("evacuations"), reader.pointer("evacuations"), dispatchErrorCodes, errors);
            batch.evacuations = readEvacuations(item, errors);
        }
        for (const json& element : reader.array("messages")) {
            ObjectReader item(element, reader.pointer("messages", batch.messages.size()), dispatchErrorCodes, errors);
            batch.messages.push_back(readMessage(item, now, errors));
        }
        return batch;
    });
}

std::string toText(const DispatchReply& reply)
{
    detail::JsonWriter writer;
    writer.beginObject();
    writer.field("life", reply.channel.processIncarnation);
    writer.field("epoch", reply.epoch.value);
    writer.field("configuration", reply.configurationVersion);
    writer.field("mark", reply.channel.timestamp);
    writer.field("taken", reply.channel.accepted);
    writer.endObject();
    return writer.text();
}

std::optional<DispatchReply> parseDispatchReply(std::string_view text)
{
    return detail::parseMessage<DispatchReply>(text, dispatchErrorCodes, [](ObjectReader& reader, std::vector<ValidationError>&) {
        DispatchReply reply;
        reply.channel.processIncarnation = reader.number("life");
        reply.epoch.value = reader.number("epoch");
        reply.configurationVersion = reader.number("configuration");
        reply.channel.timestamp = reader.number("mark");
        reply.channel.accepted = reader.boolean("taken");
        return reply;
    });
}

} // namespace egrettrestle
