#pragma once

#include <egrettrestle/decision/claim_ledger.hpp>

namespace egrettrestle::model {

/// A rule of the claim protocol, by its number in docs/DESIGN.md, and the flag that enables it.
struct RuleSwitch {
    int number;
    bool ClaimRules::*flag;
};

inline constexpr RuleSwitch ruleSwitches[] = {
    { 1, &ClaimRules::sameEpochAcknowledgement },
    { 2, &ClaimRules::tentativeBlocksOthers },
    { 3, &ClaimRules::firstHolderWins },
    { 4, &ClaimRules::checkIncarnation },
    { 5, &ClaimRules::completeness },
    { 6, &ClaimRules::monotonicEpochs },
    { 8, &ClaimRules::resignationBoundToEpoch },
    { 9, &ClaimRules::substituteIsIncomplete },
};

/// All rules enabled but one; all of them for a number that is not listed.
inline ClaimRules rulesWithout(int number)
{
    ClaimRules rules;
    for (const RuleSwitch& item : ruleSwitches) {
        if (item.number == number)
            rules.*item.flag = false;
    }
    return rules;
}

} // namespace egrettrestle::model
