#include "transport/GrowingBody.h"

#include <algorithm>
#include <utility>

namespace Knapweedquay {

namespace {

/// Size of a piece. The allocator takes blocks of this size from the system one by one, and returns them.
constexpr std::size_t pieceBytes = 512 * 1024;

} // namespace

void GrowingBody::append(std::string_view bytes)
{
    if (m_last.size() + bytes.size() > std::max(m_last.capacity(), pieceBytes)) {
        m_pieceBytes += m_last.size();
        m_pieces.push_back(std::exchange(m_last, {}));
        m_last.reserve(std::max(pieceBytes, bytes.size()));
    }
    m_last += bytes;
}

std::string GrowingBody::take()
{
    if (m_pieces.empty())
        return std::exchange(m_last, {});
    std::string body;
    // Memory of the system is only used once it is written to.
    body.reserve(size());
    m_pieces.push_back(std::exchange(m_last, {}));
    for (std::string& piece : m_pieces) {
        body += piece;
        std::string().swap(piece);
    }
    m_pieces.clear();
    m_pieceBytes = 0;
    return body;
}

void GrowingBody::clear()
{
    std::vector<std::string>().swap(m_pieces);
    m_pieceBytes = 0;
    std::string().swap(m_last);
}

} // namespace Knapweedquay
