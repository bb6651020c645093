#include "coordination/transfers/TransferSchedule.h"

#include <algorithm>

namespace Knapweedquay {

void TransferSchedule::add(TransferId id, std::size_t bytes)
{
    m_transfers[id].bytes = bytes;
    m_turns.push_back(id);
    m_unsentBytes += bytes;
}

bool TransferSchedule::grant(TransferId id, std::size_t bytes)
{
    const auto entry = m_transfers.find(id);
    if (entry == m_transfers.end())
        return false;
    Transfer& transfer = entry->second;
    transfer.allowed += bytes;
    if (!transfer.isOpen) {
        transfer.isOpen = true;
        return false;
    }
    const std::size_t acknowledged = std::min(bytes, transfer.unacknowledged);
    transfer.unacknowledged -= acknowledged;
    m_unacknowledgedBytes -= acknowledged;
    if (transfer.sent < transfer.bytes || transfer.unacknowledged > 0)
        return false;
    m_transfers.erase(entry);
    return true;
}

void TransferSchedule::remove(TransferId id)
{
    const auto entry = m_transfers.find(id);
    if (entry == m_transfers.end())
        return;
    m_unsentBytes -= entry->second.bytes - entry->second.sent;
    m_unacknowledgedBytes -= entry->second.unacknowledged;
    m_transfers.erase(entry);
    m_turns.erase(std::remove(m_turns.begin(), m_turns.end(), id), m_turns.end());
}

std::optional<TransferSchedule::Part> TransferSchedule::next()
{
    if (m_unacknowledgedBytes >= m_settings.windowBytes)
        return std::nullopt;
    const auto turn = std::find_if(m_turns.begin(), m_turns.end(), [this](TransferId id) {
        const Transfer& transfer = m_transfers.at(id);
        return transfer.allowed > transfer.sent;
    });
    if (turn == m_turns.end())
        return std::nullopt;
    const TransferId id = *turn;
    Transfer& transfer = m_transfers.at(id);
    Part part;
    part.transfer = id;
    part.offset = transfer.sent;
    part.bytes = std::min({ m_settings.partBytes, transfer.bytes - transfer.sent, transfer.allowed - transfer.sent, m_settings.windowBytes - m_unacknowledgedBytes });
    transfer.sent += part.bytes;
    transfer.unacknowledged += part.bytes;
    m_unsentBytes -= part.bytes;
    m_unacknowledgedBytes += part.bytes;
    part.isLast = transfer.sent == transfer.bytes;
    m_turns.erase(turn);
    if (!part.isLast)
        m_turns.push_back(id);
    return part;
}

} // namespace Knapweedquay
