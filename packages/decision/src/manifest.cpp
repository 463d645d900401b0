#include <egrettrestle/decision/manifest.hpp>

#include <algorithm>
#include <set>

namespace egrettrestle {

namespace {

    constexpr double maxReservedShare = 0.9;
    constexpr Milliseconds maxAllowedDeadline { 600'000 };
    constexpr std::size_t maxAllowedTasksPerJob = 1000;
    constexpr std::size_t maxTaskBytes = 1024 * 1024;

    template <typename Item>
    const Item* findByName(const std::vector<Item>& items, const std::string& name)
    {
        const auto found = std::find_if(items.begin(), items.end(), [&name](const Item& item) { return item.name == name; });
        return found == items.end() ? nullptr : &*found;
    }

    /// Collects the validation errors of one manifest.
    class ManifestValidator {
    public:
        explicit ManifestValidator(const Manifest& manifest)
            : m_manifest(manifest)
        {
        }

        std::vector<ValidationError> validate()
        {
            validateLimits();
            validateNames("/dataCentres", m_manifest.dataCentres);
            validateNames("/urgencyClasses", m_manifest.urgencyClasses);
            validateNames("/services", m_manifest.services);
            validateNames("/callers", m_manifest.callers);
            validateUrgencyClasses();
            validateServices();
            validateKinds();
            validateCallers();
            return std::move(m_errors);
        }

    private:
        void require(bool condition, int number, const std::string& where, const std::string& found, const std::string& expected)
        {
            if (!condition)
                m_errors.push_back({ number, where, found, expected });
        }

        template <typename Item>
        void validateNames(const std::string& list, const std::vector<Item>& items)
        {
            require(!items.empty(), manifestErrors::outOfRange, list, "an empty list", "at least one entry");
            std::set<std::string> seen;
            for (std::size_t index = 0; index < items.size(); ++index) {
                const std::string where = list + '/' + std::to_string(index) + "/name";
                require(!items[index].name.empty(), manifestErrors::outOfRange, where, "\"\"", "a non-empty name");
                require(seen.insert(items[index].name).second, manifestErrors::duplicateName, where, '"' + items[index].name + '"', "a unique name");
            }
        }

        void validateLimits()
        {
            const JobLimits& limits = m_manifest.limits;
            require(limits.maxTasksPerJob >= 1 && limits.maxTasksPerJob <= maxAllowedTasksPerJob, manifestErrors::outOfRange, "/limits/maxTasksPerJob",
                std::to_string(limits.maxTasksPerJob), "1 to " + std::to_string(maxAllowedTasksPerJob));
            require(limits.maxDeadline.count() >= 1 && limits.maxDeadline <= maxAllowedDeadline, manifestErrors::outOfRange, "/limits/maxDeadlineMs",
                std::to_string(limits.maxDeadline.count()), "1 to " + std::to_string(maxAllowedDeadline.count()));
            // A claim must outlive its job, or a resubmission could run the job again.
            require(m_manifest.claimWindow >= 2 * limits.maxDeadline, manifestErrors::outOfRange, "/claimWindowMs",
                std::to_string(m_manifest.claimWindow.count()), "at least twice the value of /limits/maxDeadlineMs");
            require(!m_manifest.changeId.empty(), manifestErrors::outOfRange, "/changeId", "\"\"", "a non-empty string that identifies this change");
        }

        void validateUrgencyClasses()
        {
            std::set<int> ranks;
            double reserved = 0;
            for (std::size_t index = 0; index < m_manifest.urgencyClasses.size(); ++index) {
                const UrgencyClass& urgencyClass = m_manifest.urgencyClasses[index];
                const std::string where = "/urgencyClasses/" + std::to_string(index);
                require(ranks.insert(urgencyClass.rank).second, manifestErrors::duplicateName, where + "/rank", std::to_string(urgencyClass.rank), "a unique rank");
                require(urgencyClass.reservedShare >= 0, manifestErrors::outOfRange, where + "/reservedShare", std::to_string(urgencyClass.reservedShare), "0 or more");
                require(urgencyClass.ageAfter.count() >= 0, manifestErrors::outOfRange, where + "/ageAfterMs", std::to_string(urgencyClass.ageAfter.count()), "0 or more");
                reserved += urgencyClass.reservedShare;
            }
            require(reserved <= maxReservedShare, manifestErrors::outOfRange, "/urgencyClasses", "reserved shares that sum to " + std::to_string(reserved), "a sum of at most 0.9");
        }

        void validateServices()
        {
            for (std::size_t index = 0; index < m_manifest.services.size(); ++index) {
                const Service& service = m_manifest.services[index];
                const std::string where = "/services/" + std::to_string(index);
                require(service.slots >= 1, manifestErrors::outOfRange, where + "/slots", "0", "at least 1");
                require(service.connections >= service.slots, manifestErrors::outOfRange, where + "/connections", std::to_string(service.connections), "at least the number of slots");
            }
        }

        void validateKinds()
        {
            require(!m_manifest.kinds.empty(), manifestErrors::outOfRange, "/kinds", "an empty list", "at least one entry");
            std::set<std::string> seen;
            for (std::size_t index = 0; index < m_manifest.kinds.size(); ++index) {
                const TaskKind& kind = m_manifest.kinds[index];
                const std::string where = "/kinds/" + std::to_string(index);
                require(!kind.name.empty(), manifestErrors::outOfRange, where + "/name", "\"\"", "a non-empty name");
                require(seen.insert(kind.service + '\n' + kind.name).second, manifestErrors::duplicateName, where + "/name", '"' + kind.name + '"', "a name that is unique within its service");
                require(findService(m_manifest, kind.service), manifestErrors::unknownName, where + "/service", '"' + kind.service + '"', "the name of an entry of /services");
                require(findUrgencyClass(m_manifest, kind.urgencyClass), manifestErrors::unknownName, where + "/urgencyClass", '"' + kind.urgencyClass + '"', "the name of an entry of /urgencyClasses");
                require(kind.expectedRunTime.count() >= 1, manifestErrors::outOfRange, where + "/expectedRunTimeMs", std::to_string(kind.expectedRunTime.count()), "at least 1");
                require(kind.sizeLimitBytes >= 1 && kind.sizeLimitBytes <= maxTaskBytes, manifestErrors::outOfRange, where + "/sizeLimitBytes",
                    std::to_string(kind.sizeLimitBytes), "1 to " + std::to_string(maxTaskBytes));
            }
        }

        void validateCallers()
        {
            for (std::size_t index = 0; index < m_manifest.callers.size(); ++index) {
                const CallerRule& caller = m_manifest.callers[index];
                const std::string where = "/callers/" + std::to_string(index);
                require(caller.homeDataCentre.empty() || findByName(m_manifest.dataCentres, caller.homeDataCentre), manifestErrors::unknownName,
                    where + "/homeDataCentre", '"' + caller.homeDataCentre + '"', "the name of an entry of /dataCentres");
                require(caller.maxTasksInFlight >= 1, manifestErrors::outOfRange, where + "/maxTasksInFlight", "0", "at least 1");
                require(caller.startsPerSecond > 0, manifestErrors::outOfRange, where + "/startsPerSecond", std::to_string(caller.startsPerSecond), "more than 0");
            }
        }

        const Manifest& m_manifest;
        std::vector<ValidationError> m_errors;
    };

}

const TaskKind* findTaskKind(const Manifest& manifest, const std::string& service, const std::string& kind)
{
    for (const TaskKind& candidate : manifest.kinds) {
        if (candidate.service == service && candidate.name == kind)
            return &candidate;
    }
    return nullptr;
}

const Service* findService(const Manifest& manifest, const std::string& name)
{
    return findByName(manifest.services, name);
}

const UrgencyClass* findUrgencyClass(const Manifest& manifest, const std::string& name)
{
    return findByName(manifest.urgencyClasses, name);
}

const CallerRule* findCaller(const Manifest& manifest, const std::string& caller)
{
    const CallerRule* best = nullptr;
    for (const CallerRule& rule : manifest.callers) {
        if (rule.name == caller)
            return &rule;
        const bool isPrefix = !rule.name.empty() && rule.name.back() == '*' && caller.compare(0, rule.name.size() - 1, rule.name, 0, rule.name.size() - 1) == 0;
        if (isPrefix && (!best || rule.name.size() > best->name.size()))
            best = &rule;
    }
    return best;
}

std::vector<ValidationError> validateManifest(const Manifest& manifest)
{
    return ManifestValidator(manifest).validate();
}

DataCentreId homeDataCentre(const Manifest& manifest, const DataCentreId& named, const std::string& caller, const SubmissionKey& key)
{
    if (!named.empty())
        return findByName(manifest.dataCentres, named) ? named : DataCentreId();
    const CallerRule* rule = findCaller(manifest, caller);
    if (rule && !rule->homeDataCentre.empty())
        return rule->homeDataCentre;
    DataCentreId home;
    std::uint64_t best = 0;
    for (const DataCentre& dataCentre : manifest.dataCentres) {
        const std::uint64_t weight = rendezvousWeight(dataCentre.name, key.low);
        if (home.empty() || weight > best) {
            home = dataCentre.name;
            best = weight;
        }
    }
    return home;
}

} // namespace egrettrestle
