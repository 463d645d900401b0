#pragma once

#include <cstdio>
#include <string>

#include <unistd.h>

namespace egrettrestle::fakes {

/// Redirects standard output to a temporary file as long as it exists.
class CapturedOutput {
public:
    CapturedOutput()
        : m_file(std::tmpfile())
    {
        std::fflush(stdout);
        m_output = dup(STDOUT_FILENO);
        dup2(fileno(m_file), STDOUT_FILENO);
    }

    ~CapturedOutput()
    {
        std::fflush(stdout);
        dup2(m_output, STDOUT_FILENO);
        close(m_output);
        std::fclose(m_file);
    }

    std::string text() const
    {
        constexpr std::size_t maxSize = 1'000'000;
        std::string text(maxSize, '\0');
        const ssize_t size = pread(fileno(m_file), text.data(), text.size(), 0);
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

private:
    std::FILE* m_file;
    int m_output = -1;
};

} // namespace egrettrestle::fakes
