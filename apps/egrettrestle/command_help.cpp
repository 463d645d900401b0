#include "commands.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace egrettrestle::cli {

std::unique_ptr<cxxopts::ParseResult> parse(cxxopts::Options& options, const Arguments& arguments)
{
    options.add_options()("help", "print this help");
    std::vector<const char*> argv { "egrettrestle" };
    for (const std::string& argument : arguments)
        argv.push_back(argument.c_str());
    std::unique_ptr<cxxopts::ParseResult> result = std::make_unique<cxxopts::ParseResult>(options.parse(static_cast<int>(argv.size()), argv.data()));
    if (result->count("help") == 0)
        return result;
    std::cout << options.help();
    return nullptr;
}

std::string requiredOption(const cxxopts::ParseResult& result, const std::string& name)
{
    if (result.count(name) == 0)
        throw InputError("--" + name + " is missing; see --help");
    return result[name].as<std::string>();
}

std::string readFile(const std::string& path)
{
    std::stringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path);
    if (!file)
        throw InputError(path + ": cannot read the file");
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
        parts.push_back(part);
    return parts;
}

} // namespace egrettrestle::cli
