#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

namespace egrettrestle {

/// A named component of the daemon that can be started and stopped. Services find each other by name through the
/// kernel.
class KernelService {
public:
    virtual ~KernelService() = default;

    /// The name, unique within a kernel.
    virtual std::string name() const = 0;

    /// Acquires what the start depends on and may be missing, such as addresses to listen on, without an effect on other
    /// processes. Called for all services before any is started. An error aborts the start of the daemon.
    virtual absl::Status prepare() { return absl::OkStatus(); }

    /// Starts the service. All services have been prepared, and those added earlier have been started. An error aborts the
    /// start of the daemon.
    virtual absl::Status start() = 0;

    /// Notifies the service that it will be stopped, so that it ends blocking waits early. Called for all services
    /// before any is stopped. Must not block.
    virtual void prepareStop() { }

    /// Stops the service: accepts no new requests and completes those in flight. All services added later have been
    /// stopped. Also called if prepare() or start() failed or start() was not called.
    virtual void stop() = 0;
};

/// Starts services in the order in which they were added, stops them in reverse order, and finds them by name.
class Kernel {
public:
    /// @name modifiers
    /// @{
    /// Adds a service. A name that is already taken is a programming error: it terminates the process with a message.
    void add(std::unique_ptr<KernelService> service);
    /// Prepares all services, then starts them. If one fails, returns its error; stop() then stops the others.
    absl::Status start();
    /// Calls prepareStop() on all services that have been prepared or started, then stop() on each.
    void stop();
    /// @}
    /// @name lookup
    /// @{

    /// While services are being stopped, the name of the one whose stop() is running. May be called from another
    /// thread.
    std::string stoppingService() const;

    /// The service with a name and type. An unknown name or another type is a programming error: it terminates the
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
    std::map<std::string, KernelService*> m_servicesByName;
    /// Number of services to stop: the first ones. Atomic, as stoppingService() may read it from another thread.
    std::atomic<std::size_t> m_activeCount { 0 };
};

} // namespace egrettrestle
