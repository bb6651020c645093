#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Knapweedquay {

/// Collects the bytes of a body that arrives in pieces, and takes hardly more memory than its bytes at any time.
///
/// A string that grows takes up to three times its size for a moment. This class collects a large body of unknown length in pieces
/// instead, and frees each one as it is joined to those before.
class GrowingBody {
public:
    /// Provides room for all bytes of a body of known length.
    void reserve(std::size_t bytes) { m_last.reserve(bytes); }
    void append(std::string_view);
    std::size_t size() const { return m_pieceBytes + m_last.size(); }
    /// Returns the body, and is empty afterwards.
    std::string take();
    void clear();

private:
    /// Full pieces, in order.
    std::vector<std::string> m_pieces;
    /// Size of the full pieces.
    std::size_t m_pieceBytes = 0;
    std::string m_last;
};

} // namespace Knapweedquay
