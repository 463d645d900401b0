#include <csignal>
#include <cstdlib>
#include <iostream>

#include <malloc.h>

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/base/stop_request.hpp>
#include <egrettrestle/fleet/fleet_daemon.hpp>
#include <egrettrestle/platform/platform_adapters.hpp>
#include <egrettrestle/services/daemon.hpp>

namespace {

/// Exit codes of egrettrestled; docs/SETTINGS.md lists them.
enum ExitCode {
    Success = 0,
    CannotStart = 1,
    InvalidSettings = 2,
};

egrettrestle::StopRequest stopRequest;

void requestStop(int)
{
    stopRequest.request();
}

void handleSignals()
{
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    // Not a request to reload: configuration changes arrive through the store.
    std::signal(SIGHUP, SIG_IGN);
}

int reportErrors(const std::string& path, const std::vector<egrettrestle::ValidationError>& errors)
{
    std::cerr << path << ": " << errors.size() << " errors; docs/SETTINGS.md lists all keys\n"
              << egrettrestle::toString(errors);
    return InvalidSettings;
}

int exitCode(const absl::Status& status)
{
    if (status.ok())
        return Success;
    std::cerr << "cannot start: " << status.message() << '\n';
    return CannotStart;
}

int runFleet(const std::string& path, bool checkOnly)
{
    const egrettrestle::FleetSettingsParseResult parse = egrettrestle::readFleetSettings(path);
    if (!parse.settings)
        return reportErrors(path, parse.errors);
    if (checkOnly) {
        std::cout << path << ": the settings are valid\n";
        return Success;
    }
    handleSignals();
    return exitCode(egrettrestle::runFleetDaemon(*parse.settings, egrettrestle::platform::makePlatformAdapters, stopRequest));
}

/// The settings file with --fleet: as given on the command line, otherwise from the platform's environment variable.
std::string fleetSettingsPath(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("settings"))
        return arguments["settings"].as<std::string>();
    const char* path = std::getenv(egrettrestle::platform::settingsVariable);
    return path ? path : "";
}

void startLogging(const char* program, const egrettrestle::Settings& settings)
{
    FLAGS_logtostderr = settings.logDirectory.empty();
    FLAGS_log_dir = settings.logDirectory;
    google::InitGoogleLogging(program);
}

int run(int argc, char** argv)
{
    cxxopts::Options options("egrettrestled", "Dispatcher daemon of an entry VM.");
    options.add_options()("settings", "settings file (INI)", cxxopts::value<std::string>())("fleet", "run on a fleet of upstreams that the platform's store lists")("check", "check the settings and exit")(
        "print-events", "print the catalogue of log events and exit")("print-settings", "print the settings reference and exit")("help", "print this help");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help")) {
        std::cout << options.help();
        return Success;
    }
    if (arguments.count("print-events")) {
        std::cout << egrettrestle::eventCatalogueTable();
        return Success;
    }
    if (arguments.count("print-settings")) {
        std::cout << egrettrestle::settingsTable() << "\nWith `--fleet`:\n\n"
                  << egrettrestle::fleetSettingsTable();
        return Success;
    }
    // Returns large bodies to the system when they are freed. By default the threshold rises with the largest block freed,
    // and each thread's heap keeps what one large body took.
    constexpr int largeBlockBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    if (arguments.count("fleet"))
        return runFleet(fleetSettingsPath(arguments), arguments.count("check") > 0);
    if (!arguments.count("settings")) {
        std::cerr << "--settings FILE is missing; see --help\n";
        return InvalidSettings;
    }
    const std::string path = arguments["settings"].as<std::string>();
    const egrettrestle::SettingsParseResult parse = egrettrestle::readSettings(path);
    if (!parse.settings)
        return reportErrors(path, parse.errors);
    if (arguments.count("check")) {
        std::cout << path << ": the settings are valid\n";
        return Success;
    }
    startLogging(argv[0], *parse.settings);
    handleSignals();
    return exitCode(egrettrestle::runDaemon(*parse.settings, stopRequest));
}

}

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "; see --help\n";
        return InvalidSettings;
    }
}
