#include <egrettrestle/base/event.hpp>

#include <glog/logging.h>

namespace egrettrestle {

namespace {

    const char* severityName(Severity severity)
    {
        switch (severity) {
        case Severity::Info:
            return "info";
        case Severity::Warning:
            return "warning";
        case Severity::Error:
            break;
        }
        return "error";
    }

}

const std::vector<Event>& eventCatalogue()
{
    static const std::vector<Event> catalogue {
        events::started,
        events::draining,
        events::stopped,
        events::logLinesDropped,
        events::stopCutShort,
        events::unexpectedError,
        events::connectionsRejected,
        events::processResumed,
        events::startFailed,
        events::inputRefused,
        events::requestsUnanswered,
        events::drainStep,
        events::processorTime,
        events::badRequest,
        events::unknownKind,
        events::jobTooLarge,
        events::unknownCaller,
        events::quotaExceeded,
        events::overloaded,
        events::refusedDraining,
        events::conflict,
        events::jobFailed,
        events::deadlinePassed,
        events::cancelled,
        events::outcomeUnknown,
        events::holderGone,
        events::claimUnavailable,
        events::homeUnreachable,
        events::noManifest,
        events::answerDropped,
        events::noUpstream,
        events::jobAnswered,
        events::jobRefused,
        events::jobGivenUp,
        events::runClaimed,
        events::callRejected,
        events::runsSentAgain,
        events::runsWithdrawn,
        events::runsOutlived,
        events::claimHandover,
        events::claimPeerLost,
        events::claimsIncomplete,
        events::viewAdopted,
        events::joined,
        events::peerDead,
        events::removedByPeers,
        events::resigned,
        events::vmSuspected,
        events::vmRemoved,
        events::vmLeft,
        events::vmRestarted,
        events::vmLost,
        events::staleBatch,
        events::batchRejected,
        events::batchRefused,
        events::messagesDiscarded,
        events::manifestInForce,
        events::manifestRejected,
        events::manifestOlder,
        events::configurationInForce,
        events::configurationRejected,
        events::upstreamEjected,
        events::upstreamRecovered,
        events::upstreamLeaving,
        events::wrongAnswer,
        events::upstreamOwned,
        events::upstreamReleased,
        events::upstreamPaused,
        events::upstreamResumed,
        events::upstreamFenced,
        events::upstreamRestarted,
        events::runsLost,
        events::startUnanswered,
        events::runStopped,
        events::requestExpired,
        events::upstreamListed,
        events::upstreamUnlisted,
        events::entryRejected,
        events::upstreamUnreachable,
        events::upstreamReachable,
        events::entryFieldIgnored,
        events::claimHandled,
        events::descriptionOutdated,
        events::descriptionCurrent,
        events::waitsEnded,
        events::runsPastEnd,
        events::runsUnclaimed,
        events::runsReturnedLost,
        events::evacuationBegun,
        events::evacuationEnded,
        events::dataCentreEmpty,
        events::storeLost,
        events::storeRecovered,
        events::vmListLost,
    };
    return catalogue;
}

std::string eventCatalogueTable()
{
    std::string table = "| number | severity | name | meaning |\n| --- | --- | --- | --- |\n";
    for (const Event& event : eventCatalogue())
        table += "| " + std::to_string(event.number) + " | " + severityName(event.severity) + " | " + event.name + " | " + event.description + " |\n";
    return table;
}

void logEvent(const Event& event, std::string_view details)
{
    switch (event.severity) {
    case Severity::Info:
        LOG(INFO) << 'E' << event.number << ' ' << event.name << ' ' << details;
        break;
    case Severity::Warning:
        LOG(WARNING) << 'E' << event.number << ' ' << event.name << ' ' << details;
        break;
    case Severity::Error:
        LOG(ERROR) << 'E' << event.number << ' ' << event.name << ' ' << details;
        break;
    }
}

} // namespace egrettrestle
