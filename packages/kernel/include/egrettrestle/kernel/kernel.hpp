#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

namespace egrettrestle {

/// A part of the daemon with a name and a life. Services find each other through the kernel by name.
class KernelService {
public:
    virtual ~KernelService() = default;

    virtual std::string name() const = 0;

    /// Begins to work. Everything added earlier has started. An error keeps the daemon from starting.
    virtual absl::Status start() = 0;

    /// Tells the service that it will be stopped, so that its waits end early. Called for all services before any is
    /// stopped; does not wait.
    virtual void prepareStop() { }

    /// Ends work, without new requests but with those in flight finished. Everything added later has stopped.
    virtual void stop() = 0;
};

/// Starts services in the order they were added, stops them in the reverse order, and finds them by name.
class Kernel {
public:
    /// @name modifiers
    /// @{
    void add(std::unique_ptr<KernelService> service);
    /// Starts all services; if one fails, those already started are stopped and its error is given.
    absl::Status start();
    void stop();
    /// @}
    /// @name lookup
    /// @{

    /// While services are stopped, the one that is waited for. Safe to call from another thread.
    std::string stoppingService() const;

    /// The service of a name and type. A name that is missing or of another type is a programming error: it ends the
    /// process with a message.
    template <typename Type>
    Type& find(const std::string& name) const
    {
        Type* service = dynamic_cast<Type*>(&lookUp(name));
        if (!service)
            wrongType(name);
        return *service;
    }

    /// @}

private:
    KernelService& lookUp(const std::string& name) const;
    [[noreturn]] static void wrongType(const std::string& name);

    std::vector<std::unique_ptr<KernelService>> m_services;
    std::map<std::string, KernelService*> m_byName;
    /// While services are stopped, another thread may ask which one.
    std::atomic<std::size_t> m_started { 0 };
};

} // namespace egrettrestle
