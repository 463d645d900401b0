#include <egrettrestle/decision/claim_ledger.hpp>

#include <algorithm>
#include <cassert>
#include <tuple>

namespace egrettrestle {

namespace {

    constexpr Epoch noCoverage { UINT64_MAX };

    bool supersedes(const Claim& left, const Claim& right)
    {
        return std::make_tuple(left.generation, left.state) > std::make_tuple(right.generation, right.state);
    }

    ClaimStep replyStep(ClaimReply reply)
    {
        ClaimStep step;
        step.reply = reply;
        return step;
    }

    ClaimReply outcomeOnly(ClaimOutcome outcome)
    {
        ClaimReply reply;
        reply.outcome = outcome;
        return reply;
    }

}

ClaimLedger::ClaimLedger(VmId self, Duration window, ClaimRules rules)
    : m_self(std::move(self))
    , m_window(window)
    , m_rules(rules)
    , m_viewReplicas(bucketCount)
    , m_activeReplicas(bucketCount)
{
    m_coverage.fill({ noCoverage, TimePoint::max(), false, {} });
}

void ClaimLedger::registerJoinAttempt(const Member& self)
{
    m_joinAttempts[self.incarnation] = self.peerAddress;
}

bool ClaimLedger::isThisProcess(const Member& member) const
{
    if (!m_rules.checkIncarnation)
        return true;
    const auto joinAttempt = m_joinAttempts.find(member.incarnation);
    return joinAttempt != m_joinAttempts.end() && joinAttempt->second == member.peerAddress;
}

bool ClaimLedger::adoptView(const View& view, TimePoint now)
{
    if (view.epoch == m_view.epoch || (m_rules.monotonicEpochs && view.epoch < m_view.epoch))
        return false;
    const Member* own = findMember(view, m_self);
    const Incarnation incarnation = own && isThisProcess(*own) ? own->incarnation : Incarnation {};
    for (Bucket bucket = 0; bucket < bucketCount; ++bucket)
        updateCoverage(view, bucket, now);
    m_view = view;
    m_incarnation = incarnation;
    m_resignations.clear();
    updateReplicas();
    return true;
}

void ClaimLedger::updateCoverage(const View& next, Bucket bucket, TimePoint now)
{
    Coverage& coverage = m_coverage[bucket];
    // Before the first view of a data centre no claims were granted, so none can be missing.
    if (next.epoch.value == 1) {
        coverage = { Epoch {}, now, false, {} };
        return;
    }
    if (m_resigned || !wasReplicaThroughout(next, bucket)) {
        coverage = { m_rules.completeness ? next.epoch : Epoch {}, now + m_window, false, {} };
        return;
    }
    coverage.completeFrom = completeFrom(bucket, now);
    coverage.replicaThroughout = true;
    // Only the other replica of the previous view has received the claims that were granted in it.
    for (auto incarnation = coverage.synchronised.begin(); incarnation != coverage.synchronised.end();) {
        const Member* member = findMember(m_view, *incarnation);
        const bool fellowReplica = member && next.epoch.value == m_view.epoch.value + 1 && m_viewReplicas[bucket].contains(member->id);
        incarnation = fellowReplica ? std::next(incarnation) : coverage.synchronised.erase(incarnation);
    }
}

bool ClaimLedger::wasReplicaThroughout(const View& next, Bucket bucket) const
{
    for (Epoch epoch = m_view.epoch; epoch < next.epoch; ++epoch.value) {
        if (epoch == m_view.epoch) {
            if (!m_viewReplicas[bucket].contains(m_self) || m_incarnation.value == 0)
                return false;
            continue;
        }
        const std::optional<std::vector<VmId>> members = membersAt(next, epoch);
        if (!members || !replicasOf(*members, bucket).contains(m_self))
            return false;
    }
    return true;
}

void ClaimLedger::updateReplicas()
{
    const std::vector<VmId> members = memberIds(m_view);
    std::vector<VmId> activeMembers;
    for (const Member& member : m_view.members) {
        if (m_resignations.count(member.incarnation) == 0)
            activeMembers.push_back(member.id);
    }
    for (Bucket bucket = 0; bucket < bucketCount; ++bucket) {
        m_viewReplicas[bucket] = replicasOf(members, bucket);
        m_activeReplicas[bucket] = replicasOf(activeMembers, bucket);
    }
}

bool ClaimLedger::acceptResignation(Epoch epoch, Incarnation resigner)
{
    if (m_rules.resignationBoundToEpoch && epoch != m_view.epoch)
        return false;
    if (!findMember(m_view, resigner))
        return false;
    m_resignations.insert(resigner);
    updateReplicas();
    return true;
}

ReplicaPair ClaimLedger::replicas(Bucket bucket) const
{
    return m_activeReplicas[bucket];
}

Epoch ClaimLedger::completeFrom(Bucket bucket, TimePoint now) const
{
    const Coverage& coverage = m_coverage[bucket];
    if (m_incarnation.value == 0)
        return noCoverage;
    if (m_rules.substituteIsIncomplete && !m_viewReplicas[bucket].contains(m_self))
        return noCoverage;
    if (coverage.completeFrom != noCoverage && now >= coverage.incompleteUntil)
        return Epoch {};
    return coverage.completeFrom;
}

bool ClaimLedger::isComplete(Epoch completeFrom, const ClaimRequest& request) const
{
    return completeFrom <= request.firstSent;
}

bool ClaimLedger::acceptsRequest(Epoch epoch, Incarnation addressee) const
{
    if (m_resigned || m_incarnation.value == 0 || epoch != m_view.epoch)
        return false;
    return !m_rules.checkIncarnation || addressee == m_incarnation;
}

Claim* ClaimLedger::find(const SubmissionKey& key, TimePoint now)
{
    const auto found = m_claims.find(key);
    if (found == m_claims.end())
        return nullptr;
    if (found->second.expiry <= now) {
        m_claims.erase(found);
        return nullptr;
    }
    return &found->second;
}

ClaimReply ClaimLedger::existingClaimReply(const Claim& claim, const ClaimRequest& request) const
{
    ClaimReply reply;
    reply.outcome = claim.bodyDigest == request.bodyDigest ? ClaimOutcome::AlreadyClaimed : ClaimOutcome::Conflict;
    reply.holder = claim.holder;
    reply.state = claim.state;
    return reply;
}

ClaimStep ClaimLedger::begin(const ClaimRequest& request, Epoch epoch, Incarnation addressee, TimePoint now)
{
    // A submission first sent in a later epoch proves that a later view exists.
    if (!acceptsRequest(epoch, addressee) || request.firstSent > m_view.epoch)
        return replyStep(outcomeOnly(ClaimOutcome::Stale));
    if (request.kind == ClaimRequestKind::Lookup)
        return beginLookup(request, now);
    if (m_activeReplicas[bucketOf(request.key)].primary != m_self)
        return replyStep(outcomeOnly(ClaimOutcome::Stale));
    return request.kind == ClaimRequestKind::Release ? beginRelease(request, now) : beginClaim(request, now);
}

ClaimStep ClaimLedger::beginLookup(const ClaimRequest& request, TimePoint now)
{
    const Claim* existingClaim = find(request.key, now);
    if (existingClaim)
        return replyStep(existingClaimReply(*existingClaim, request));
    const bool complete = isComplete(completeFrom(bucketOf(request.key), now), request);
    return replyStep(outcomeOnly(complete ? ClaimOutcome::NotFound : ClaimOutcome::Indeterminate));
}

ClaimStep ClaimLedger::beginRelease(const ClaimRequest& request, TimePoint now)
{
    Claim* existingClaim = find(request.key, now);
    if (!existingClaim)
        return replyStep(outcomeOnly(ClaimOutcome::NotFound));
    if (existingClaim->holder != request.executor)
        return replyStep(existingClaimReply(*existingClaim, request));
    existingClaim->state = ClaimState::Released;
    return recordAtBackup(request, *existingClaim, now);
}

ClaimStep ClaimLedger::beginClaim(const ClaimRequest& request, TimePoint now)
{
    Claim* existingClaim = find(request.key, now);
    const bool reacquired = existingClaim && existingClaim->state == ClaimState::Released && existingClaim->generation < generationLimit && existingClaim->bodyDigest == request.bodyDigest;
    if (existingClaim && !reacquired) {
        const bool ownTentativeClaim = existingClaim->state == ClaimState::Tentative && existingClaim->holder == request.executor && existingClaim->bodyDigest == request.bodyDigest;
        if (ownTentativeClaim)
            return recordAtBackup(request, *existingClaim, now);
        if (existingClaim->state != ClaimState::Tentative || m_rules.tentativeBlocksOthers)
            return replyStep(existingClaimReply(*existingClaim, request));
    }
    Claim claim;
    claim.key = request.key;
    claim.bodyDigest = request.bodyDigest;
    claim.holder = request.executor;
    claim.expiry = now + m_window;
    if (reacquired)
        claim.generation = static_cast<std::uint8_t>(existingClaim->generation + 1);
    m_claims[request.key] = claim;
    return recordAtBackup(request, claim, now);
}

ClaimStep ClaimLedger::recordAtBackup(const ClaimRequest& request, const Claim& claim, TimePoint now)
{
    const Bucket bucket = bucketOf(request.key);
    RecordRequest record;
    record.claim = claim;
    record.firstSent = request.firstSent;
    record.primaryCompleteFrom = completeFrom(bucket, now);
    if (m_activeReplicas[bucket].backup) {
        ClaimStep step;
        step.record = record;
        step.backup = *m_activeReplicas[bucket].backup;
        return step;
    }
    // A single VM has no backup and acknowledges its own records.
    RecordReply localReply;
    const bool complete = isComplete(record.primaryCompleteFrom, request) || claim.generation > 1;
    localReply.outcome = complete ? RecordOutcome::Acknowledged : RecordOutcome::Incomplete;
    return replyStep(finish(request, m_view.epoch, record, localReply, now));
}

RecordReply ClaimLedger::record(const RecordRequest& request, Epoch epoch, Incarnation addressee, TimePoint now)
{
    RecordReply reply;
    reply.outcome = RecordOutcome::Stale;
    if (!acceptsRequest(epoch, addressee))
        return reply;
    Claim* existingClaim = find(request.claim.key, now);
    const bool otherHolder = existingClaim && existingClaim->generation == request.claim.generation && existingClaim->holder != request.claim.holder;
    const bool replaceable = !m_rules.firstHolderWins || (!m_rules.tentativeBlocksOthers && existingClaim && existingClaim->state == ClaimState::Tentative);
    const bool alreadyReleased = existingClaim && existingClaim->state == ClaimState::Released && existingClaim->generation == request.claim.generation
        && request.claim.state != ClaimState::Released;
    if (existingClaim && (existingClaim->generation > request.claim.generation || (otherHolder && !replaceable) || alreadyReleased)) {
        reply.outcome = RecordOutcome::Existing;
        reply.existing = *existingClaim;
        return reply;
    }
    const Epoch ownCompleteFrom = completeFrom(bucketOf(request.claim.key), now);
    const bool complete = request.primaryCompleteFrom <= request.firstSent || ownCompleteFrom <= request.firstSent;
    // A claim that was acknowledged before has already passed this check; a tentative one from a handover has not.
    const bool wasAcknowledged = existingClaim && existingClaim->state != ClaimState::Tentative;
    if (!wasAcknowledged && !complete && request.claim.generation == 1) {
        reply.outcome = RecordOutcome::Incomplete;
        return reply;
    }
    Claim claim = request.claim;
    // The primary may treat this acknowledgement as a grant from now on, so the claim is no longer tentative here.
    if (claim.state == ClaimState::Tentative)
        claim.state = ClaimState::Acknowledged;
    claim.expiry = now + m_window;
    m_claims[claim.key] = claim;
    reply.outcome = RecordOutcome::Acknowledged;
    return reply;
}

ClaimReply ClaimLedger::finish(const ClaimRequest& request, Epoch epoch, const RecordRequest& record, const RecordReply& reply, TimePoint now)
{
    if (m_resigned || (m_rules.sameEpochAcknowledgement && epoch != m_view.epoch))
        return outcomeOnly(ClaimOutcome::Stale);
    Claim* existingClaim = find(request.key, now);
    const bool own = existingClaim && existingClaim->holder == record.claim.holder && existingClaim->generation == record.claim.generation;
    switch (reply.outcome) {
    case RecordOutcome::Acknowledged:
        if (request.kind == ClaimRequestKind::Release)
            return outcomeOnly(ClaimOutcome::NotFound);
        if (!own)
            return existingClaim ? existingClaimReply(*existingClaim, request) : outcomeOnly(ClaimOutcome::Stale);
        if (existingClaim->state == ClaimState::Released)
            return existingClaimReply(*existingClaim, request);
        existingClaim->state = ClaimState::Acknowledged;
        {
            ClaimReply granted = existingClaimReply(*existingClaim, request);
            granted.outcome = ClaimOutcome::Granted;
            return granted;
        }
    case RecordOutcome::Existing:
        return adoptExisting(request, reply.existing, now);
    case RecordOutcome::Incomplete:
        if (own && existingClaim->state == ClaimState::Tentative)
            m_claims.erase(request.key);
        return outcomeOnly(ClaimOutcome::Indeterminate);
    case RecordOutcome::Stale:
        return outcomeOnly(ClaimOutcome::Stale);
    case RecordOutcome::NoReply:
        break;
    }
    ClaimReply unavailable = outcomeOnly(ClaimOutcome::Unavailable);
    unavailable.neverRan = own && existingClaim->state == ClaimState::Tentative && isComplete(record.primaryCompleteFrom, request);
    return unavailable;
}

ClaimReply ClaimLedger::adoptExisting(const ClaimRequest& request, const Claim& existing, TimePoint now)
{
    Claim* existingClaim = find(request.key, now);
    // The backup's record replaces a tentative one of the primary, so that both replicas name the same holder.
    if (!existingClaim || existingClaim->state == ClaimState::Tentative || supersedes(existing, *existingClaim))
        m_claims[request.key] = existing;
    existingClaim = find(request.key, now);
    // The requester must repeat its request if it can now acquire a released claim or complete its own tentative one.
    const bool mustRetry = !existingClaim || (existingClaim->state == ClaimState::Released && existingClaim->generation < generationLimit)
        || (existingClaim->state == ClaimState::Tentative && existingClaim->holder == request.executor);
    return mustRetry ? outcomeOnly(ClaimOutcome::Stale) : existingClaimReply(*existingClaim, request);
}

std::vector<OutgoingHandover> ClaimLedger::handovers(TimePoint now) const
{
    std::vector<OutgoingHandover> result;
    std::array<std::vector<Claim>, bucketCount> claims;
    for (const auto& entry : m_claims) {
        if (entry.second.expiry > now)
            claims[bucketOf(entry.first)].push_back(entry.second);
    }
    for (Bucket bucket = 0; bucket < bucketCount; ++bucket) {
        const Coverage& coverage = m_coverage[bucket];
        const bool hasCoverage = coverage.completeFrom < m_view.epoch || now >= coverage.incompleteUntil;
        const bool firstView = m_view.epoch.value == 1;
        if (firstView || !coverage.replicaThroughout || !hasCoverage)
            continue;
        Handover handover;
        handover.epoch = m_view.epoch;
        handover.bucket = bucket;
        handover.completeFrom = now >= coverage.incompleteUntil ? Epoch {} : coverage.completeFrom;
        handover.claims = claims[bucket];
        for (const std::optional<VmId>& holder : { m_viewReplicas[bucket].primary, m_viewReplicas[bucket].backup }) {
            const Member* member = holder && *holder != m_self ? findMember(m_view, *holder) : nullptr;
            if (member && coverage.synchronised.count(member->incarnation) == 0)
                result.push_back({ *holder, handover });
        }
    }
    return result;
}

void ClaimLedger::recordDelivery(const Handover& handover, Incarnation receiver)
{
    if (handover.epoch == m_view.epoch)
        m_coverage[handover.bucket].synchronised.insert(receiver);
}

bool ClaimLedger::acceptHandover(const Handover& handover, Incarnation sender, TimePoint now)
{
    for (const Claim& claim : handover.claims)
        merge(claim, now);
    if (handover.epoch != m_view.epoch || handover.bucket >= bucketCount)
        return false;
    Coverage& coverage = m_coverage[handover.bucket];
    coverage.completeFrom = std::min(coverage.completeFrom, handover.completeFrom);
    coverage.synchronised.insert(sender);
    return true;
}

std::vector<Claim> ClaimLedger::claims() const
{
    std::vector<Claim> claims;
    claims.reserve(m_claims.size());
    for (const auto& entry : m_claims)
        claims.push_back(entry.second);
    return claims;
}

void ClaimLedger::merge(const Claim& claim, TimePoint now)
{
    if (claim.expiry <= now)
        return;
    Claim* existingClaim = find(claim.key, now);
    if (!existingClaim || supersedes(claim, *existingClaim))
        m_claims[claim.key] = claim;
}

void ClaimLedger::expire(TimePoint now)
{
    for (auto entry = m_claims.begin(); entry != m_claims.end();) {
        if (entry->second.expiry <= now)
            entry = m_claims.erase(entry);
        else
            ++entry;
    }
}

std::size_t ClaimLedger::incompleteBuckets(TimePoint now) const
{
    std::size_t count = 0;
    for (Bucket bucket = 0; bucket < bucketCount; ++bucket) {
        if (m_viewReplicas[bucket].contains(m_self) && completeFrom(bucket, now).value > 0)
            ++count;
    }
    return count;
}

} // namespace egrettrestle
