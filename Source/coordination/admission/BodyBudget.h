#pragma once

#include "protocol/Body.h"

#include <cstddef>
#include <memory>

namespace Knapweedquay {

/// Bounds the bytes of the bodies that a process holds, of requests or of responses, whole or in part.
///
/// Load pattern: bodies that are large, come in large numbers or do not end. Large ones have a bound of their own, so that no
/// number of them leaves small ones without room.
class BodyBudget {
public:
    struct Limits {
        /// All bodies of at most largeBodyBytes together, in bytes.
        std::size_t smallBytes = 32 * 1024 * 1024;
        /// All larger ones together, and so the largest one, in bytes.
        std::size_t largeBytes = 32 * 1024 * 1024;
    };

    /// Bytes that are reserved now.
    struct Use {
        std::size_t smallBytes = 0;
        std::size_t largeBytes = 0;
    };

    BodyBudget() = default;
    explicit BodyBudget(Limits limits)
        : m_limits(limits)
    {
    }

    const Limits& limits() const { return m_limits; }
    const Use& use() const { return m_use; }

private:
    friend class BodyReservation;

    Limits m_limits;
    Use m_use;
};

using BodyBudgetPointer = std::shared_ptr<BodyBudget>;

/// What one body takes from a budget, from its first byte until the end of this object.
class BodyReservation {
public:
    explicit BodyReservation(BodyBudgetPointer);
    ~BodyReservation();
    BodyReservation(const BodyReservation&) = delete;
    BodyReservation& operator=(const BodyReservation&) = delete;

    /// Sets the size of the body. Returns false, and changes nothing, if a larger one finds no room.
    [[nodiscard]] bool tryResize(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    /// The part of the budget that a body of this size counts in.
    std::size_t& used(std::size_t bytes) const;

    BodyBudgetPointer m_budget;
    std::size_t m_bytes = 0;
};

using BodyReservationPointer = std::shared_ptr<BodyReservation>;

} // namespace Knapweedquay
