#include <csignal>
#include <iostream>

#include "commands.hpp"

namespace egrettrestle::cli {

namespace {

    struct Command {
        const char* group;
        const char* name;
        const char* summary;
        int (*run)(const Arguments&);
    };

    constexpr Command commands[] = {
        { "manifest", "check", "check a manifest file", manifestCheck },
        { "manifest", "ship", "put a manifest in force", manifestShip },
        { "manifest", "show", "print the manifest in the store", manifestShow },
        { "manifest", "status", "print the revision in force on each VM", manifestStatus },
        { "job", "submit", "submit a job and print its reply", jobSubmit },
        { "job", "status", "print the state of a submission", jobStatus },
        { "job", "cancel", "drop the tasks of a job that have not started", jobCancel },
        { "", "status", "print the state of VMs", status },
        { "", "drain", "make a VM complete its jobs and accept no new ones", drain },
        { "", "load", "run a load and print its report", load },
    };

    void printHelp()
    {
        std::cout << "egrettrestle COMMAND [options]\n\n";
        for (const Command& command : commands)
            std::cout << "  " << command.group << (*command.group ? " " : "") << command.name << "\n      " << command.summary << '\n';
        std::cout << "\nEach command prints its options with --help.\n";
    }

    int dispatch(const Arguments& arguments)
    {
        if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help") {
            printHelp();
            return arguments.empty() ? InvalidInput : Success;
        }
        for (const Command& command : commands) {
            const std::size_t length = *command.group ? 2 : 1;
            const bool matches = length == 2 ? arguments.size() >= 2 && arguments[0] == command.group && arguments[1] == command.name : arguments[0] == command.name;
            if (matches)
                return command.run(Arguments(arguments.begin() + static_cast<std::ptrdiff_t>(length), arguments.end()));
        }
        throw InputError("unknown command: " + arguments[0] + "; see egrettrestle --help");
    }

}

}

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return egrettrestle::cli::dispatch({ argv + 1, argv + argc });
    } catch (const egrettrestle::cli::InputError& error) {
        std::cerr << error.what() << '\n';
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "; see --help\n";
    }
    return egrettrestle::cli::InvalidInput;
}
