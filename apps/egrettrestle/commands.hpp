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
    /// The command was executed without the requested result: a job failed, or a VM has another revision.
    NotAchieved = 1,
    /// The command line or an input file is invalid; nothing was done.
    InvalidInput = 2,
    /// Another change was made first; nothing was done.
    Conflict = 3,
    /// It is unknown whether the command took effect; the message says how to find out.
    OutcomeUnknown = 4,
    /// The address does not answer; nothing was done.
    Unreachable = 5,
};

/// Thrown for invalid input, before a command has done anything. The message says what to do next.
class InputError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

using Arguments = std::vector<std::string>;

/// @name commands
/// Each takes the arguments after its own name and returns an exit code.
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

/// @name argument parsing
/// @{

/// Parses a command's arguments. With `--help`, prints the help and returns null.
std::unique_ptr<cxxopts::ParseResult> parse(cxxopts::Options& options, const Arguments& arguments);

/// Returns the value of a required option; throws InputError if it is missing.
std::string requiredOption(const cxxopts::ParseResult& result, const std::string& name);

/// Reads a file, or standard input for `-`; throws InputError if the file cannot be read.
std::string readFile(const std::string& path);
/// Splits a comma-separated list.
std::vector<std::string> splitList(const std::string& text);
/// @}

} // namespace egrettrestle::cli
