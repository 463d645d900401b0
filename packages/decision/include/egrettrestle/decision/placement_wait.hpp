#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <egrettrestle/base/clock.hpp>
#include <egrettrestle/decision/dispatch_types.hpp>

namespace egrettrestle {

/// An upstream on which a run could be started, now or later.
struct PlacementOption {
    /// Duration of the run there relative to its expected run time.
    double relativeDuration = 1;
    /// When the run is expected to fit there; not later than `now` for a free upstream.
    TimePoint availableAt;
    /// Processor capacity left there beside the run, in milli-cores. Among options that are equal otherwise, the least is best.
    std::int64_t milliCoresLeft = 0;
};

/// The wait of a queued run for a better place. It begins once and is never extended.
struct PlacementWaitState {
    /// Empty until the run begins to wait.
    std::optional<TimePoint> since = {};
    /// When the run takes the best free place at the latest.
    TimePoint until = {};
    /// Relative duration on the free upstream that the run could have been started on instead.
    double freeDuration = 0;
};

/// What the choice of a place depends on, apart from the options.
struct PlacementTask {
    Milliseconds expectedRunTime { 0 };
    /// When the run has to end. Without it, a run never waits for a better place.
    std::optional<TimePoint> dueBy = {};
    /// Latest start on an upstream with a relative duration of 1.
    TimePoint latestStart;
    /// How many runs that wait for a better place are served before this one.
    std::size_t runsAhead = 0;
};

/// The result of a choice: an option to start on now, or a wait for an option.
struct PlacementDecision {
    enum class Kind {
        /// No option is free.
        None,
        Start,
        Wait,
    };

    Kind kind = Kind::None;
    /// Index of the option.
    std::size_t option = 0;
    /// When a wait ends at the latest.
    TimePoint until = {};
};

/// Chooses between the free upstreams and those that are expected to be free later. `state` is that of the run's wait so
/// far, and is updated. A run waits only if it has an objective, and only
///  - if it is expected to end there earlier than on the best free upstream by more than the error of the prediction, and no
///    longer than until the free upstream can just meet the objective; or
///  - if it can meet the objective there, and on no free upstream.
PlacementDecision choosePlacement(const PlacementTask& task, const std::vector<PlacementOption>& options, PlacementWaitState& state, TimePoint now);

/// Whether a run that is started now on an upstream with a relative duration meets its objective even if it takes longer
/// than expected by the usual error of estimates. False for a run without an objective.
bool meetsObjectiveWithMargin(const PlacementTask& task, double relativeDuration, TimePoint now);

/// The greatest relative duration for which meetsObjectiveWithMargin() holds; 0 if there is none.
double greatestDurationWithMargin(const PlacementTask& task, TimePoint now);

/// When a run that started at `startedAt` is expected to end. A run that is overdue is expected to take a share of its age
/// longer: the longer it has run beyond the expectation, the less is known about its end.
TimePoint expectedEnd(TimePoint startedAt, Milliseconds expectedDuration, TimePoint now);

/// The end of a wait, for the log.
enum class WaitOutcome {
    /// The run was started on a faster upstream than it could have been started on without the wait.
    BetterPlace,
    /// It was not.
    FreePlace,
};

/// Counts the ends of waits by outcome, so that they are logged once an interval and not each.
class WaitCounts {
public:
    struct Count {
        std::uint64_t waits = 0;
        Milliseconds total { 0 };
    };

    void add(WaitOutcome outcome, Milliseconds waited);
    /// Returns the counts and begins new ones if the log interval has passed since the last time; otherwise, or if there
    /// were no waits, returns nothing.
    std::map<WaitOutcome, Count> takeDue(TimePoint now);

private:
    std::map<WaitOutcome, Count> m_counts;
    TimePoint m_takenAt;
};

/// The demand for fast upstreams by runs that cannot meet their objective on slow ones: those requested within the last
/// second. Not thread-safe.
class FastDemand {
public:
    /// Records the request of a run that needs an upstream with at most this relative duration.
    void record(const std::string& service, double maxRelativeDuration, std::int64_t milliCores, TimePoint now);

    /// The greatest relative duration with which one of these runs meets its objective. An upstream that is slower is of no
    /// use to them. Empty if there are none.
    std::optional<double> maxRelativeDuration(const std::string& service, TimePoint now);

    /// The greatest need of one of these runs, in milli-cores; 0 if there are none.
    std::int64_t largestNeed(const std::string& service, TimePoint now);

    /// Capacity that such runs are expected to ask for within a time, at the rate of the last second, in milli-cores.
    std::int64_t expectedWithin(const std::string& service, Milliseconds time, TimePoint now);

private:
    struct Sample {
        TimePoint at;
        double maxRelativeDuration = 0;
        std::int64_t milliCores = 0;
    };

    std::deque<Sample>& recent(const std::string& service, TimePoint now);

    std::map<std::string, std::deque<Sample>> m_samples;
};

} // namespace egrettrestle
