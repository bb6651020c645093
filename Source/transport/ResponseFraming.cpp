#include "transport/ResponseFraming.h"

#include <algorithm>

namespace Knapweedquay {

namespace {

constexpr std::string_view blanks = " \t";
constexpr std::size_t statusOffset = 9;
constexpr std::size_t statusDigits = 3;
constexpr unsigned firstStatus = 100;
constexpr unsigned lastStatus = 599;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned statusNoContent = 204;
constexpr unsigned statusNotModified = 304;
/// A length or chunk size of more digits may not fit 64 bits.
constexpr std::size_t maximumLengthDigits = 18;
constexpr std::size_t maximumChunkDigits = 15;

bool isDigit(char c) { return c >= '0' && c <= '9'; }
bool isAlpha(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }

/// RFC 9110, 5.6.2.
bool isTokenCharacter(char c)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return isDigit(c) || isAlpha(c) || others.find(c) != std::string_view::npos;
}

/// RFC 9110, 5.5: visible characters, bytes over 127, and blanks.
bool isTextCharacter(char c)
{
    constexpr unsigned char firstVisible = 0x20;
    constexpr unsigned char deleteCharacter = 0x7F;
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= firstVisible && byte != deleteCharacter);
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [&](char x, char y) { return lower(x) == lower(y); });
}

std::string_view withoutBlanks(std::string_view text)
{
    const std::size_t start = text.find_first_not_of(blanks);
    if (start == std::string_view::npos)
        return {};
    return text.substr(start, text.find_last_not_of(blanks) - start + 1);
}

unsigned hexDigit(char c)
{
    constexpr unsigned firstLetter = 10;
    constexpr unsigned none = 16;
    if (isDigit(c))
        return static_cast<unsigned>(c - '0');
    if (c >= 'a' && c <= 'f')
        return firstLetter + static_cast<unsigned>(c - 'a');
    return c >= 'A' && c <= 'F' ? firstLetter + static_cast<unsigned>(c - 'A') : none;
}

} // namespace

bool isStatusLine(std::string_view line)
{
    const std::string_view version = line.substr(0, statusOffset);
    if (version != "HTTP/1.1 " && version != "HTTP/1.0 ")
        return false;
    const std::string_view digits = line.substr(statusOffset, statusDigits);
    if (digits.size() != statusDigits || !std::all_of(digits.begin(), digits.end(), isDigit))
        return false;
    if (digits.front() < '1' || digits.front() > '5')
        return false;
    // The blank is required even if there is no reason.
    const std::string_view rest = line.substr(statusOffset + statusDigits);
    return !rest.empty() && rest.front() == ' ' && std::all_of(rest.begin(), rest.end(), isTextCharacter);
}

bool isFieldLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string_view name = line.substr(0, line.substr(0, colon).find_last_not_of(blanks) + 1);
    const std::string_view value = line.substr(colon + 1);
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter) && std::all_of(value.begin(), value.end(), isTextCharacter);
}

bool ResponseFraming::isInLine(State state)
{
    return state == State::StatusLine || state == State::Fields || state == State::ChunkSize || state == State::ChunkEnd || state == State::Trailers;
}

std::optional<std::size_t> ResponseFraming::check(std::string_view bytes)
{
    if (isComplete()) {
        m_state = State::StatusLine;
        m_line.clear();
        m_isChunked = false;
        m_length.reset();
    }
    std::size_t used = 0;
    while (used < bytes.size() && !isComplete()) {
        if (m_state == State::BodyUntilEnd)
            return bytes.size();
        if (isInLine(m_state)) {
            if (!addToLine(bytes.substr(used), used))
                return std::nullopt;
            continue;
        }
        const std::size_t taken = static_cast<std::size_t>(std::min<std::uint64_t>(m_left, bytes.size() - used));
        used += taken;
        m_left -= taken;
        if (m_left == 0)
            m_state = m_state == State::ChunkData ? State::ChunkEnd : State::Complete;
    }
    return used;
}

bool ResponseFraming::addToLine(std::string_view bytes, std::size_t& used)
{
    const std::size_t end = bytes.find('\n');
    const std::string_view part = bytes.substr(0, end);
    m_isTooLong = m_line.size() + part.size() > m_maximumLineBytes;
    if (m_isTooLong)
        return false;
    m_line.append(part);
    used += part.size();
    if (end == std::string_view::npos)
        return true;
    ++used;
    if (m_line.empty() || m_line.back() != '\r')
        return false;
    m_line.pop_back();
    const bool isValid = handleLine();
    m_line.clear();
    return isValid;
}

bool ResponseFraming::handleLine()
{
    switch (m_state) {
    case State::StatusLine:
        return handleStatusLine();
    case State::Fields:
        return m_line.empty() ? endHead() : handleField();
    case State::ChunkSize:
        return handleChunkSize();
    case State::ChunkEnd:
        m_state = State::ChunkSize;
        return m_line.empty();
    case State::Trailers:
        if (m_line.empty())
            m_state = State::Complete;
        return m_line.empty() || isFieldLine(m_line);
    case State::Body:
    case State::BodyUntilEnd:
    case State::ChunkData:
    case State::Complete:
        break;
    }
    return false;
}

bool ResponseFraming::handleStatusLine()
{
    if (!isStatusLine(m_line))
        return false;
    m_status = 0;
    for (const char digit : m_line.substr(statusOffset, statusDigits))
        m_status = m_status * 10 + static_cast<unsigned>(digit - '0');
    m_isOldVersion = m_line.compare(0, statusOffset, "HTTP/1.0 ") == 0;
    m_state = State::Fields;
    return m_status >= firstStatus && m_status <= lastStatus;
}

bool ResponseFraming::handleField()
{
    if (!isFieldLine(m_line))
        return false;
    const std::string_view line = m_line;
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = withoutBlanks(line.substr(colon + 1));
    const bool isLength = equalsIgnoringCase(withoutBlanks(name), "Content-Length");
    const bool isCoding = equalsIgnoringCase(withoutBlanks(name), "Transfer-Encoding");
    if (!isLength && !isCoding)
        return true;
    if (withoutBlanks(name) != name)
        return false;
    return isLength ? handleLength(value) : handleCoding(value);
}

bool ResponseFraming::handleLength(std::string_view value)
{
    if (m_length || m_isChunked || value.empty() || value.size() > maximumLengthDigits || !std::all_of(value.begin(), value.end(), isDigit))
        return false;
    std::uint64_t length = 0;
    for (const char digit : value)
        length = length * 10 + static_cast<std::uint64_t>(digit - '0');
    m_length = length;
    return true;
}

bool ResponseFraming::handleCoding(std::string_view value)
{
    if (m_length || m_isChunked || m_isOldVersion || !equalsIgnoringCase(value, "chunked"))
        return false;
    m_isChunked = true;
    return true;
}

bool ResponseFraming::endHead()
{
    const bool isInterim = m_status < firstFinalStatus;
    if (m_isChunked && (isInterim || m_status == statusNoContent))
        return false;
    if (m_expectsNoBody || isInterim || m_status == statusNoContent || m_status == statusNotModified) {
        m_state = State::Complete;
    } else if (m_isChunked) {
        m_state = State::ChunkSize;
    } else if (m_length) {
        m_left = *m_length;
        m_state = m_left > 0 ? State::Body : State::Complete;
    } else {
        m_state = State::BodyUntilEnd;
    }
    return true;
}

bool ResponseFraming::handleChunkSize()
{
    constexpr unsigned hexBase = 16;
    const std::string_view line = m_line;
    const std::size_t digits = std::min(line.find_first_of("; \t"), line.size());
    if (digits == 0 || digits > maximumChunkDigits)
        return false;
    m_left = 0;
    for (const char c : line.substr(0, digits)) {
        const unsigned digit = hexDigit(c);
        if (digit == hexBase)
            return false;
        m_left = m_left * hexBase + digit;
    }
    const std::string_view extension = withoutBlanks(line.substr(digits));
    if (!std::all_of(extension.begin(), extension.end(), isTextCharacter) || (!extension.empty() && extension.front() != ';'))
        return false;
    if (extension.empty() && digits != line.size())
        return false;
    m_state = m_left > 0 ? State::ChunkData : State::Trailers;
    return true;
}

} // namespace Knapweedquay
