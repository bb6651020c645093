#pragma once

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <utility>

namespace Knapweedquay {

/// Bodies beyond this size, in bytes, are counted against a budget of their own, and pass through links in parts.
constexpr std::size_t largeBodyBytes = 64 * 1024;

/// Body of a request or a response. Copies share its bytes, so that a body is in memory once however many parts of the process
/// hold it.
class Body {
public:
    Body() = default;
    /// reservation: what the body takes from a budget, given back with its last copy; null if it is not counted.
    Body(std::string bytes, std::shared_ptr<const void> reservation = nullptr)
        : m_shared(bytes.empty() ? nullptr : std::make_shared<const Shared>(Shared { std::move(bytes), std::move(reservation) }))
    {
    }
    Body(const char* text)
        : Body(std::string(text))
    {
    }

    const std::string& bytes() const
    {
        static const std::string none;
        return m_shared ? m_shared->bytes : none;
    }
    operator const std::string&() const { return bytes(); }
    std::size_t size() const { return bytes().size(); }
    bool empty() const { return bytes().empty(); }
    bool isLarge() const { return size() > largeBodyBytes; }
    /// True if the body is counted in a budget.
    bool isReserved() const { return m_shared && m_shared->reservation; }

    friend bool operator==(const Body& a, const Body& b) { return a.m_shared == b.m_shared || a.bytes() == b.bytes(); }
    friend std::ostream& operator<<(std::ostream& stream, const Body& body) { return stream << body.bytes(); }

private:
    struct Shared {
        std::string bytes;
        std::shared_ptr<const void> reservation;
    };

    std::shared_ptr<const Shared> m_shared;
};

} // namespace Knapweedquay
