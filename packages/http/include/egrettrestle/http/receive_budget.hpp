#pragma once

#include <cstddef>
#include <functional>
#include <set>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle {

/// Bounds the memory that the servers of an event loop hold for requests, in bytes. When it is exceeded, the request that has
/// held the most memory for the longest time is refused. Used on the loop's thread only.
class ReceiveBudget {
public:
    /// What one connection holds.
    class Account {
    public:
        virtual ~Account() = default;

        /// Whether the request is still being received, so that a refusal loses nothing that has run.
        virtual bool isReceiving() const = 0;
        /// When the first byte of the request was seen.
        virtual TimePoint receivingSince() const = 0;
        /// Refuses the request, which ends what the account holds.
        virtual void refuse() = 0;

        std::size_t heldBytes() const { return m_heldBytes; }

    private:
        friend class ReceiveBudget;
        std::size_t m_heldBytes = 0;
    };

    explicit ReceiveBudget(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /// Sets what an account holds, and refuses requests while the sum exceeds the budget; the given one may be among them.
    void hold(Account& account, std::size_t bytes, TimePoint now);
    /// Ends what an account holds. To be called before it is destroyed.
    void release(Account& account);

    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t maxBytes() const { return m_maxBytes; }

private:
    Account* accountToRefuse(TimePoint now) const;

    std::size_t m_maxBytes;
    std::size_t m_heldBytes = 0;
    std::set<Account*> m_accounts;
};

} // namespace egrettrestle
