#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <csignal>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    return Catch::Session().run(argc, argv);
}
