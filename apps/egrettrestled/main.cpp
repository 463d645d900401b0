#include <atomic>
#include <csignal>
#include <iostream>

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <egrettrestle/base/event.hpp>
#include <egrettrestle/services/daemon.hpp>

namespace {

/// Exit codes of egrettrestled; docs/SETTINGS.md lists them.
enum ExitCode {
    Success = 0,
    CannotStart = 1,
    BadSettings = 2,
};

std::atomic<bool> stopRequested { false };

void requestStop(int)
{
    stopRequested = true;
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
    options.add_options()("settings", "settings file (INI)", cxxopts::value<std::string>())("check", "check the settings and end")(
        "print-events", "print the catalogue of log events and end")("print-settings", "print the reference of settings and end")("help", "print this help");
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
        std::cout << egrettrestle::settingsTable();
        return Success;
    }
    if (!arguments.count("settings")) {
        std::cerr << "--settings FILE is missing; see --help\n";
        return BadSettings;
    }
    const std::string path = arguments["settings"].as<std::string>();
    const egrettrestle::SettingsParse parse = egrettrestle::readSettings(path);
    if (!parse.settings) {
        std::cerr << path << ": " << parse.faults.size() << " faults; docs/SETTINGS.md lists all keys\n"
                  << egrettrestle::toString(parse.faults);
        return BadSettings;
    }
    if (arguments.count("check")) {
        std::cout << path << ": the settings are sound\n";
        return Success;
    }
    startLogging(argv[0], *parse.settings);
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    const absl::Status status = egrettrestle::runDaemon(*parse.settings, stopRequested);
    if (status.ok())
        return Success;
    std::cerr << "cannot start: " << status.message() << '\n';
    return CannotStart;
}

}

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "; see --help\n";
        return BadSettings;
    }
}
