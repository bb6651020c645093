#pragma once

#include "protocol/Ids.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace Knapweedquay {

/// Decides which part of which large body a link carries next.
///
/// Each body has a window, which its receiver opens and moves on, and all bodies of the link share another. Bodies take turns part
/// by part, and a message without one never waits for more than the window of the link.
///
/// Load pattern: several large bodies at once over a link that also carries many small calls, to a receiver that can hold only some
/// of them, or reads slowly.
class TransferSchedule {
public:
    struct Settings {
        /// Largest part, in bytes.
        std::size_t partBytes = 64 * 1024;
        /// Parts of all bodies that the receiver has not acknowledged yet, in bytes.
        std::size_t windowBytes = 512 * 1024;
    };

    /// Bytes of a body that are due.
    struct Part {
        TransferId transfer;
        std::size_t offset = 0;
        std::size_t bytes = 0;
        bool isLast = false;
    };

    TransferSchedule() = default;
    explicit TransferSchedule(Settings settings)
        : m_settings(settings)
    {
    }

    /// Adds a body, of which nothing is sent until the receiver opens its window.
    void add(TransferId, std::size_t bytes);
    /// The receiver has room for so many more bytes. The first such message opens the window, the others acknowledge as many bytes.
    /// Returns true once the whole body is acknowledged.
    bool grant(TransferId, std::size_t bytes);
    /// Ends the transfer of a body.
    void remove(TransferId);
    /// Next part to send, if any may be sent now.
    std::optional<Part> next();
    /// Bytes of all bodies that were not sent yet.
    std::size_t unsentBytes() const { return m_unsentBytes; }

private:
    struct Transfer {
        std::size_t bytes = 0;
        std::size_t sent = 0;
        /// Bytes that the receiver has allowed so far.
        std::size_t allowed = 0;
        std::size_t unacknowledged = 0;
        bool isOpen = false;
    };

    Settings m_settings;
    std::unordered_map<TransferId, Transfer> m_transfers;
    /// Transfers that are not sent whole, the next one first.
    std::deque<TransferId> m_turns;
    std::size_t m_unsentBytes = 0;
    std::size_t m_unacknowledgedBytes = 0;
};

} // namespace Knapweedquay
