#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Knapweedquay {

/// Checks that the bytes of responses are exactly what RFC 9112 defines, and finds where each response ends.
///
/// Load pattern: servers in trouble, which send bytes that resemble a response. http_parser reads many of them as one, with a body of another
/// length than their lines say. A line that the two would read in different ways is refused here: status lines and fields by the grammar of RFC 9112, 4 and
/// 5 (a blank before a colon is left to the proxy that removes it, but for fields that frame the body), exactly one length or the
/// coding "chunked" alone (6), and chunks by 7.1.
class ResponseFraming {
public:
    /// Longest line that is accepted, in bytes.
    explicit ResponseFraming(std::size_t maximumLineBytes)
        : m_maximumLineBytes(maximumLineBytes)
    {
    }

    /// Set for the response to a HEAD request, which has no body.
    void expectNoBody(bool expected) { m_expectsNoBody = expected; }

    /// Checks bytes up to the end of one response; returns how many belong to it, or nothing if they are no response. The next call after
    /// the end begins the next response.
    std::optional<std::size_t> check(std::string_view bytes);
    /// True when all of a response was checked.
    bool isComplete() const { return m_state == State::Complete; }
    /// True while a body lasts until the end of the connection.
    bool lastsUntilEnd() const { return m_state == State::BodyUntilEnd; }
    /// True if a line was longer than the limit.
    bool isTooLong() const { return m_isTooLong; }

private:
    enum class State : std::uint8_t {
        StatusLine,
        Fields,
        Body,
        BodyUntilEnd,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailers,
        Complete,
    };

    static bool isInLine(State);
    bool addToLine(std::string_view bytes, std::size_t& used);
    bool handleLine();
    bool handleStatusLine();
    bool handleField();
    bool handleLength(std::string_view value);
    bool handleCoding(std::string_view value);
    bool handleChunkSize();
    bool endHead();

    std::size_t m_maximumLineBytes;
    bool m_expectsNoBody = false;
    State m_state = State::Complete;
    /// Bytes of the present line, up to its line feed.
    std::string m_line;
    bool m_isTooLong = false;
    unsigned m_status = 0;
    bool m_isOldVersion = false;
    bool m_isChunked = false;
    std::optional<std::uint64_t> m_length;
    /// Bytes of the body or chunk that are still to come.
    std::uint64_t m_left = 0;
};

/// True for a status line of HTTP/1.0 or HTTP/1.1 with a status from 100 to 599, without its line end.
bool isStatusLine(std::string_view);
/// True for a field line, without its line end. A blank before the colon is allowed, see ResponseFraming.
bool isFieldLine(std::string_view);

} // namespace Knapweedquay
