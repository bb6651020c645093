#pragma once

#include <functional>
#include <ostream>
#include <utility>

namespace Knapweedquay {

/// Wraps a value in a distinct type, so that ids and units of different kinds cannot be confused.
///
/// Tag distinguishes the types; Value is the representation. Comparison, hashing and printing are those of Value.
template <typename Tag, typename Value>
class StrongType {
public:
    using ValueType = Value;

    StrongType() = default;
    explicit StrongType(Value value)
        : m_value(std::move(value))
    {
    }

    const Value& value() const { return m_value; }

    friend bool operator==(const StrongType& a, const StrongType& b) { return a.m_value == b.m_value; }
    friend bool operator!=(const StrongType& a, const StrongType& b) { return a.m_value != b.m_value; }
    friend bool operator<(const StrongType& a, const StrongType& b) { return a.m_value < b.m_value; }
    friend bool operator>(const StrongType& a, const StrongType& b) { return b.m_value < a.m_value; }
    friend bool operator<=(const StrongType& a, const StrongType& b) { return !(b.m_value < a.m_value); }
    friend bool operator>=(const StrongType& a, const StrongType& b) { return !(a.m_value < b.m_value); }
    friend std::ostream& operator<<(std::ostream& stream, const StrongType& a) { return stream << a.m_value; }

private:
    Value m_value {};
};

} // namespace Knapweedquay

template <typename Tag, typename Value>
struct std::hash<Knapweedquay::StrongType<Tag, Value>> {
    std::size_t operator()(const Knapweedquay::StrongType<Tag, Value>& a) const { return std::hash<Value>()(a.value()); }
};
