#include <egrettrestle/http/receive_budget.hpp>

namespace egrettrestle {

namespace {

    // Among requests that have just begun, the largest one is refused.
    constexpr Milliseconds ageOfNewRequest { 100 };

}

void ReceiveBudget::hold(Account& account, std::size_t bytes, TimePoint now)
{
    m_heldBytes += bytes - account.m_heldBytes;
    account.m_heldBytes = bytes;
    m_accounts.insert(&account);
    while (m_heldBytes > m_maxBytes) {
        Account* const refused = accountToRefuse(now);
        if (!refused)
            return;
        // Released first, so that the loop ends whatever the account does.
        release(*refused);
        refused->refuse();
    }
}

void ReceiveBudget::release(Account& account)
{
    if (account.m_heldBytes == 0)
        return;
    m_accounts.erase(&account);
    m_heldBytes -= account.m_heldBytes;
    account.m_heldBytes = 0;
}

ReceiveBudget::Account* ReceiveBudget::accountToRefuse(TimePoint now) const
{
    // Size alone would let many small requests that never end displace large ones that arrive at once.
    Account* refused = nullptr;
    double highest = -1;
    for (Account* account : m_accounts) {
        if (!account->isReceiving())
            continue;
        const Milliseconds age = toMilliseconds(now - account->receivingSince()) + ageOfNewRequest;
        const double weight = static_cast<double>(account->heldBytes()) * static_cast<double>(age.count());
        if (weight > highest) {
            highest = weight;
            refused = account;
        }
    }
    return refused;
}

} // namespace egrettrestle
