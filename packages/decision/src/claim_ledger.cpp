#include <egrettrestle/decision/claim_ledger.hpp>

#include <algorithm>
#include <cassert>
#include <tuple>

namespace egrettrestle {

namespace {

    constexpr Epoch nothingKnown { UINT64_MAX };

    bool outranks(const Claim& left, const Claim& right)
    {
        return std::make_tuple(left.generation, left.state) > std::make_tuple(right.generation, right.state);
    }

    ClaimStep answered(ClaimReply answer)
    {
        ClaimStep step;
        step.reply = answer;
        return step;
    }

    ClaimReply verdictOnly(ClaimOutcome verdict)
    {
        ClaimReply answer;
        answer.outcome = verdict;
        return answer;
    }

}

ClaimLedger::ClaimLedger(VmId self, Duration window, ClaimRules rules)
    : m_self(std::move(self))
    , m_window(window)
    , m_rules(rules)
    , m_ownPairs(bucketCount)
    , m_pairs(bucketCount)
{
    m_knowledge.fill({ nothingKnown, TimePoint::max(), false, {} });
}

void ClaimLedger::registerJoinAttempt(const Member& self)
{
    m_announced[self.incarnation] = self.peerAddress;
}

bool ClaimLedger::isOwn(const Member& member) const
{
    if (!m_rules.checkIncarnation)
        return true;
    const auto announced = m_announced.find(member.incarnation);
    return announced != m_announced.end() && announced->second == member.peerAddress;
}

bool ClaimLedger::adoptView(const View& view, TimePoint now)
{
    if (view.epoch == m_view.epoch || (m_rules.monotonicEpochs && view.epoch < m_view.epoch))
        return false;
    const Member* own = findMember(view, m_self);
    const Incarnation incarnation = own && isOwn(*own) ? own->incarnation : Incarnation {};
    for (Bucket bucket = 0; bucket < bucketCount; ++bucket)
        carryOver(view, bucket, now);
    m_view = view;
    m_incarnation = incarnation;
    m_resignations.clear();
    refreshPairs();
    return true;
}

void ClaimLedger::carryOver(const View& next, Bucket bucket, TimePoint now)
{
    Knowledge& knowledge = m_knowledge[bucket];
    // The first view of a data centre has no earlier grants to miss.
    if (next.epoch.value == 1) {
        knowledge = { Epoch {}, now, false, {} };
        return;
    }
    if (m_resigned || !wasHolderThrough(next, bucket)) {
        knowledge = { m_rules.completeness ? next.epoch : Epoch {}, now + m_window, false, {} };
        return;
    }
    knowledge.wholeFrom = completeFrom(bucket, now);
    knowledge.heldBefore = true;
    // Only a fellow holder has learned of the grants of the epochs that end now.
    for (auto incarnation = knowledge.informed.begin(); incarnation != knowledge.informed.end();) {
        const Member* member = findMember(m_view, *incarnation);
        const bool fellow = member && next.epoch.value == m_view.epoch.value + 1 && m_ownPairs[bucket].contains(member->id);
        incarnation = fellow ? std::next(incarnation) : knowledge.informed.erase(incarnation);
    }
}

bool ClaimLedger::wasHolderThrough(const View& next, Bucket bucket) const
{
    for (Epoch epoch = m_view.epoch; epoch < next.epoch; ++epoch.value) {
        if (epoch == m_view.epoch) {
            if (!m_ownPairs[bucket].contains(m_self) || m_incarnation.value == 0)
                return false;
            continue;
        }
        const std::optional<std::vector<VmId>> members = membersAt(next, epoch);
        if (!members || !replicasOf(*members, bucket).contains(m_self))
            return false;
    }
    return true;
}

void ClaimLedger::refreshPairs()
{
    const std::vector<VmId> members = memberIds(m_view);
    std::vector<VmId> acting;
    for (const Member& member : m_view.members) {
        if (m_resignations.count(member.incarnation) == 0)
            acting.push_back(member.id);
    }
    for (Bucket bucket = 0; bucket < bucketCount; ++bucket) {
        m_ownPairs[bucket] = replicasOf(members, bucket);
        m_pairs[bucket] = replicasOf(acting, bucket);
    }
}

bool ClaimLedger::acceptResignation(Epoch epoch, Incarnation resigner)
{
    if (m_rules.resignationBoundToEpoch && epoch != m_view.epoch)
        return false;
    if (!findMember(m_view, resigner))
        return false;
    m_resignations.insert(resigner);
    refreshPairs();
    return true;
}

ReplicaPair ClaimLedger::replicas(Bucket bucket) const
{
    return m_pairs[bucket];
}

Epoch ClaimLedger::completeFrom(Bucket bucket, TimePoint now) const
{
    const Knowledge& knowledge = m_knowledge[bucket];
    if (m_incarnation.value == 0)
        return nothingKnown;
    if (m_rules.substituteIsIncomplete && !m_ownPairs[bucket].contains(m_self))
        return nothingKnown;
    if (knowledge.wholeFrom != nothingKnown && now >= knowledge.doubtEnds)
        return Epoch {};
    return knowledge.wholeFrom;
}

bool ClaimLedger::isWhole(Epoch wholeFrom, const ClaimRequest& request) const
{
    return wholeFrom <= request.firstSent;
}

bool ClaimLedger::isCurrent(Epoch epoch, Incarnation addressee) const
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

ClaimReply ClaimLedger::knownAnswer(const Claim& claim, const ClaimRequest& request) const
{
    ClaimReply answer;
    answer.outcome = claim.bodyDigest == request.bodyDigest ? ClaimOutcome::AlreadyClaimed : ClaimOutcome::Conflict;
    answer.holder = claim.holder;
    answer.state = claim.state;
    return answer;
}

ClaimStep ClaimLedger::begin(const ClaimRequest& request, Epoch epoch, Incarnation addressee, TimePoint now)
{
    // A submission stamped with a later epoch proves that a later view exists.
    if (!isCurrent(epoch, addressee) || request.firstSent > m_view.epoch)
        return answered(verdictOnly(ClaimOutcome::Stale));
    if (request.kind == ClaimRequestKind::Lookup)
        return beginLookup(request, now);
    if (m_pairs[bucketOf(request.key)].primary != m_self)
        return answered(verdictOnly(ClaimOutcome::Stale));
    return request.kind == ClaimRequestKind::Release ? beginRelease(request, now) : beginClaim(request, now);
}

ClaimStep ClaimLedger::beginLookup(const ClaimRequest& request, TimePoint now)
{
    const Claim* known = find(request.key, now);
    if (known)
        return answered(knownAnswer(*known, request));
    const bool whole = isWhole(completeFrom(bucketOf(request.key), now), request);
    return answered(verdictOnly(whole ? ClaimOutcome::NotFound : ClaimOutcome::Indeterminate));
}

ClaimStep ClaimLedger::beginRelease(const ClaimRequest& request, TimePoint now)
{
    Claim* known = find(request.key, now);
    if (!known)
        return answered(verdictOnly(ClaimOutcome::NotFound));
    if (known->holder != request.executor)
        return answered(knownAnswer(*known, request));
    known->state = ClaimState::Released;
    return recordAtMirror(request, *known, now);
}

ClaimStep ClaimLedger::beginClaim(const ClaimRequest& request, TimePoint now)
{
    Claim* known = find(request.key, now);
    const bool takenUpAgain = known && known->state == ClaimState::Released && known->generation < generationLimit && known->bodyDigest == request.bodyDigest;
    if (known && !takenUpAgain) {
        const bool ownTentative = known->state == ClaimState::Tentative && known->holder == request.executor && known->bodyDigest == request.bodyDigest;
        if (ownTentative)
            return recordAtMirror(request, *known, now);
        if (known->state != ClaimState::Tentative || m_rules.tentativeBlocksOthers)
            return answered(knownAnswer(*known, request));
    }
    Claim claim;
    claim.key = request.key;
    claim.bodyDigest = request.bodyDigest;
    claim.holder = request.executor;
    claim.expiry = now + m_window;
    if (takenUpAgain)
        claim.generation = static_cast<std::uint8_t>(known->generation + 1);
    m_claims[request.key] = claim;
    return recordAtMirror(request, claim, now);
}

ClaimStep ClaimLedger::recordAtMirror(const ClaimRequest& request, const Claim& claim, TimePoint now)
{
    const Bucket bucket = bucketOf(request.key);
    RecordRequest record;
    record.claim = claim;
    record.firstSent = request.firstSent;
    record.primaryCompleteFrom = completeFrom(bucket, now);
    if (m_pairs[bucket].backup) {
        ClaimStep step;
        step.record = record;
        step.backup = *m_pairs[bucket].backup;
        return step;
    }
    // A lone VM is its own mirror.
    RecordReply alone;
    const bool whole = isWhole(record.primaryCompleteFrom, request) || claim.generation > 1;
    alone.outcome = whole ? RecordOutcome::Acknowledged : RecordOutcome::Incomplete;
    return answered(finish(request, m_view.epoch, record, alone, now));
}

RecordReply ClaimLedger::record(const RecordRequest& request, Epoch epoch, Incarnation addressee, TimePoint now)
{
    RecordReply answer;
    answer.outcome = RecordOutcome::Stale;
    if (!isCurrent(epoch, addressee))
        return answer;
    Claim* known = find(request.claim.key, now);
    const bool otherHolder = known && known->generation == request.claim.generation && known->holder != request.claim.holder;
    const bool replaceable = !m_rules.firstHolderWins || (!m_rules.tentativeBlocksOthers && known && known->state == ClaimState::Tentative);
    const bool releasedMeanwhile = known && known->state == ClaimState::Released && known->generation == request.claim.generation
        && request.claim.state != ClaimState::Released;
    if (known && (known->generation > request.claim.generation || (otherHolder && !replaceable) || releasedMeanwhile)) {
        answer.outcome = RecordOutcome::Existing;
        answer.existing = *known;
        return answer;
    }
    const Epoch ownWholeFrom = completeFrom(bucketOf(request.claim.key), now);
    const bool whole = request.primaryCompleteFrom <= request.firstSent || ownWholeFrom <= request.firstSent;
    // Only a record that was once acknowledged has passed this check already; one that was merely handed over has not.
    const bool acknowledgedBefore = known && known->state != ClaimState::Tentative;
    if (!acknowledgedBefore && !whole && request.claim.generation == 1) {
        answer.outcome = RecordOutcome::Incomplete;
        return answer;
    }
    Claim claim = request.claim;
    // The registrar may count this acknowledgement as a grant from now on.
    if (claim.state == ClaimState::Tentative)
        claim.state = ClaimState::Acknowledged;
    claim.expiry = now + m_window;
    m_claims[claim.key] = claim;
    answer.outcome = RecordOutcome::Acknowledged;
    return answer;
}

ClaimReply ClaimLedger::finish(const ClaimRequest& request, Epoch epoch, const RecordRequest& record, const RecordReply& answer, TimePoint now)
{
    if (m_resigned || (m_rules.sameEpochAcknowledgement && epoch != m_view.epoch))
        return verdictOnly(ClaimOutcome::Stale);
    Claim* known = find(request.key, now);
    const bool own = known && known->holder == record.claim.holder && known->generation == record.claim.generation;
    switch (answer.outcome) {
    case RecordOutcome::Acknowledged:
        if (request.kind == ClaimRequestKind::Release)
            return verdictOnly(ClaimOutcome::NotFound);
        if (!own)
            return known ? knownAnswer(*known, request) : verdictOnly(ClaimOutcome::Stale);
        if (known->state == ClaimState::Released)
            return knownAnswer(*known, request);
        known->state = ClaimState::Acknowledged;
        {
            ClaimReply granted = knownAnswer(*known, request);
            granted.outcome = ClaimOutcome::Granted;
            return granted;
        }
    case RecordOutcome::Existing:
        return adoptExisting(request, answer.existing, now);
    case RecordOutcome::Incomplete:
        if (own && known->state == ClaimState::Tentative)
            m_claims.erase(request.key);
        return verdictOnly(ClaimOutcome::Indeterminate);
    case RecordOutcome::Stale:
        return verdictOnly(ClaimOutcome::Stale);
    case RecordOutcome::NoReply:
        break;
    }
    ClaimReply unavailable = verdictOnly(ClaimOutcome::Unavailable);
    unavailable.neverRan = own && known->state == ClaimState::Tentative && isWhole(record.primaryCompleteFrom, request);
    return unavailable;
}

ClaimReply ClaimLedger::adoptExisting(const ClaimRequest& request, const Claim& existing, TimePoint now)
{
    Claim* known = find(request.key, now);
    // Of two tentative records the mirror's stays, so that both memories name one holder.
    if (!known || known->state == ClaimState::Tentative || outranks(existing, *known))
        m_claims[request.key] = existing;
    known = find(request.key, now);
    // The asker repeats its question where it may now take up a released claim, or complete its own record.
    const bool askAgain = !known || (known->state == ClaimState::Released && known->generation < generationLimit)
        || (known->state == ClaimState::Tentative && known->holder == request.executor);
    return askAgain ? verdictOnly(ClaimOutcome::Stale) : knownAnswer(*known, request);
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
        const Knowledge& knowledge = m_knowledge[bucket];
        const bool knowsSomething = knowledge.wholeFrom < m_view.epoch || now >= knowledge.doubtEnds;
        const bool firstView = m_view.epoch.value == 1;
        if (firstView || !knowledge.heldBefore || !knowsSomething)
            continue;
        Handover handover;
        handover.epoch = m_view.epoch;
        handover.bucket = bucket;
        handover.completeFrom = now >= knowledge.doubtEnds ? Epoch {} : knowledge.wholeFrom;
        handover.claims = claims[bucket];
        for (const std::optional<VmId>& holder : { m_ownPairs[bucket].primary, m_ownPairs[bucket].backup }) {
            const Member* member = holder && *holder != m_self ? findMember(m_view, *holder) : nullptr;
            if (member && knowledge.informed.count(member->incarnation) == 0)
                result.push_back({ *holder, handover });
        }
    }
    return result;
}

void ClaimLedger::recordDelivery(const Handover& handover, Incarnation receiver)
{
    if (handover.epoch == m_view.epoch)
        m_knowledge[handover.bucket].informed.insert(receiver);
}

bool ClaimLedger::acceptHandover(const Handover& handover, Incarnation sender, TimePoint now)
{
    for (const Claim& claim : handover.claims)
        merge(claim, now);
    if (handover.epoch != m_view.epoch || handover.bucket >= bucketCount)
        return false;
    Knowledge& knowledge = m_knowledge[handover.bucket];
    knowledge.wholeFrom = std::min(knowledge.wholeFrom, handover.completeFrom);
    knowledge.informed.insert(sender);
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
    Claim* known = find(claim.key, now);
    if (!known || outranks(claim, *known))
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
        if (m_ownPairs[bucket].contains(m_self) && completeFrom(bucket, now).value > 0)
            ++count;
    }
    return count;
}

} // namespace egrettrestle
