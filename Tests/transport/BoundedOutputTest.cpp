#include "transport/BoundedOutput.h"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <memory>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace Knapweedquay;

namespace {

constexpr std::size_t bufferBytes = 8192;

/// A BoundedOutput to a pipe, which is read only by readAll().
class BoundedOutputTest : public ::testing::Test {
protected:
    BoundedOutputTest()
    {
        EXPECT_EQ(0, ::pipe(m_pipe.data()));
        ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        m_output = std::make_unique<BoundedOutput>(m_pipe[1], bufferBytes, [](std::uint64_t dropped) { return "dropped " + std::to_string(dropped) + "\n"; });
    }
    ~BoundedOutputTest() override
    {
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }

    std::string readAll() const
    {
        std::string text;
        std::array<char, 65536> buffer {};
        for (ssize_t count = ::read(m_pipe[0], buffer.data(), buffer.size()); count > 0; count = ::read(m_pipe[0], buffer.data(), buffer.size()))
            text.append(buffer.data(), static_cast<std::size_t>(count));
        return text;
    }

    std::array<int, 2> m_pipe {};
    std::unique_ptr<BoundedOutput> m_output;
};

} // namespace

TEST_F(BoundedOutputTest, Lines_WithReader_ArriveCompleteAndInOrder)
{
    m_output->write("one\n");
    m_output->write("two\n");
    EXPECT_EQ("one\ntwo\n", readAll());
    EXPECT_EQ(0u, m_output->droppedLines());
}

TEST_F(BoundedOutputTest, Lines_WithStalledReader_AreDroppedWithoutBlocking)
{
    const std::string line = std::string(99, 'x') + "\n";
    constexpr int lines = 20000;
    for (int index = 0; index < lines; ++index)
        m_output->write(line);
    EXPECT_GT(m_output->droppedLines(), 10000u);
    // The lines held by the pipe and the buffer arrive complete, followed by a notice with the number of dropped ones.
    std::string text = readAll();
    m_output->write(line);
    text += readAll();
    const std::size_t kept = lines - m_output->droppedLines() + 1;
    EXPECT_EQ(kept * line.size() + ("dropped " + std::to_string(m_output->droppedLines()) + "\n").size(), text.size());
    EXPECT_NE(std::string::npos, text.find("\ndropped " + std::to_string(m_output->droppedLines()) + "\n"));
}

TEST_F(BoundedOutputTest, Lines_AfterReaderClosed_AreIgnored)
{
    ::signal(SIGPIPE, SIG_IGN);
    ::close(m_pipe[0]);
    m_output->write("one\n");
    m_output->write("two\n");
    EXPECT_EQ(0u, m_output->droppedLines());
}
