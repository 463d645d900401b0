#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include <egrettrestle/base/clock.hpp>

namespace egrettrestle::cli {

/// Exit codes of egrettrestle; docs/COMMANDS.md lists them.
enum ExitCode {
    Success = 0,
    /// The command was understood, but what it asked for did not come about: a job that failed, a VM that differs.
    NotAchieved = 1,
    /// The command line or an input file is at fault; nothing was done.
    BadInput = 2,
    /// Somebody else's change was there first; nothing was done.
    Conflict = 3,
    /// Whether it was done is not known; the message says how to find out.
    OutcomeUnknown = 4,
    /// Nobody answers at the address; nothing was done.
    Unreachable = 5,
};

/// Input that keeps a command from starting. The message says what to do next.
class InputError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

using Arguments = std::vector<std::string>;

/// @name commands
/// Each takes the words after its own name and gives an exit code.
/// @{
int manifestCheck(const Arguments& arguments);
int manifestShip(const Arguments& arguments);
int manifestShow(const Arguments& arguments);
int manifestStatus(const Arguments& arguments);
int jobSubmit(const Arguments& arguments);
int jobStatus(const Arguments& arguments);
int jobCancel(const Arguments& arguments);
int status(const Arguments& arguments);
int drain(const Arguments& arguments);
int load(const Arguments& arguments);
/// @}

/// @name help for commands
/// @{

/// Parses a command's words. Prints its help and gives nothing when `--help` is among them.
std::unique_ptr<cxxopts::ParseResult> parse(cxxopts::Options& options, const Arguments& arguments);

/// The value of an option that must be given.
std::string required(const cxxopts::ParseResult& result, const std::string& name);

std::string readFile(const std::string& path);
std::vector<std::string> splitList(const std::string& text);
/// @}

} // namespace egrettrestle::cli
