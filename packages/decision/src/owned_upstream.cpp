#include <egrettrestle/decision/owned_upstream.hpp>

#include <algorithm>
#include <limits>

namespace egrettrestle {

FencingToken tokenOf(FencingToken epoch, std::uint64_t raises)
{
    constexpr std::uint64_t tokensPerEpoch = 65'536;
    return { epoch.value * tokensPerEpoch + std::min(raises, tokensPerEpoch - 1) };
}

bool isDescribed(const OwnedUpstream& upstream) { return upstream.info.startedAt == upstream.startedAt; }

bool hasLabel(const UpstreamInfo& info, const std::string& label)
{
    return label.empty() || std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
}

std::uint32_t tasksThatFit(const Resources& capacity, const Resources& need)
{
    std::int64_t count = std::numeric_limits<std::int32_t>::max();
    const auto limitBy = [&count](std::int64_t available, std::int64_t each) {
        if (each > 0)
            count = std::min(count, std::max<std::int64_t>(0, available / each));
    };
    limitBy(capacity.milliCores, need.milliCores);
    limitBy(capacity.memoryMb, need.memoryMb);
    limitBy(capacity.accelerators, need.accelerators);
    return count == std::numeric_limits<std::int32_t>::max() ? 0 : static_cast<std::uint32_t>(count);
}

bool isUsableFor(const OwnedUpstream& upstream, const RunRequest& request)
{
    const bool lasting = !upstream.info.draining && !upstream.unlisted && !upstream.replaced && !upstream.fenced && !upstream.evacuated;
    const bool matches = upstream.info.service == request.service && hasLabel(upstream.info, request.requiredLabel) && fits(request.need, upstream.info.capacity);
    return lasting && matches && std::find(request.avoid.begin(), request.avoid.end(), upstream.info.id) == request.avoid.end();
}

bool isOtherProcess(const OwnedUpstream& upstream, Milliseconds startedAt)
{
    if (upstream.startedAt.count() == 0)
        return false;
    // The first reply may come from an earlier process than the one that discovery describes already. Later ones come in order,
    // as those under earlier tokens are ignored, and a lower start is that of a machine whose clock was set back.
    return upstream.startPolled ? startedAt != upstream.startedAt : startedAt > upstream.startedAt;
}

bool acceptsPlacedRuns(const OwnedUpstream& upstream, const OwnerLimits& limits, TimePoint now)
{
    const bool reachable = upstream.synced && upstream.claimsResolved && upstream.failedPolls == 0 && now - upstream.lastSuccessfulPoll < limits.upstreamTimeout;
    const bool accepting = !upstream.info.draining && !upstream.unlisted && !upstream.replaced && !upstream.fenced && !upstream.startsBlocked && !upstream.evacuated && isDescribed(upstream);
    return reachable && accepting && now >= upstream.pausedUntil;
}

bool acceptsRuns(const OwnedUpstream& upstream, const OwnerLimits& limits, TimePoint now)
{
    return acceptsPlacedRuns(upstream, limits, now) && !(upstream.probing && !upstream.runs.empty());
}

UpstreamEvidence evidenceOf(const OwnedUpstream& upstream, TimePoint now)
{
    UpstreamEvidence evidence;
    evidence.token = upstream.token;
    evidence.startedAt = upstream.startedAt;
    evidence.synced = upstream.synced;
    evidence.pollAge = toMilliseconds(now - upstream.lastSuccessfulPoll);
    if (upstream.clockOffset)
        evidence.clockAge = toMilliseconds(now - upstream.clockReadAt);
    evidence.leaseExpiredFor = toMilliseconds(now - upstream.leasesExpiredBy);
    return evidence;
}

DescriptionEvidence descriptionEvidenceOf(const OwnedUpstream& upstream, TimePoint now)
{
    return { upstream.info, toMilliseconds(now - upstream.describedAt), upstream.startedAt };
}

} // namespace egrettrestle
