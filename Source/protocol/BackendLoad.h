#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Knapweedquay {

/// Load that a backend server reports in the load header of a response.
struct BackendLoad {
    /// Requests that run now.
    std::uint32_t running = 0;
    /// Requests that wait in the backend server for a free slot.
    std::uint32_t waiting = 0;
    /// Requests that the backend server can run at once.
    std::uint32_t slots = 0;
    /// Current duration of work on the backend server's machine, in percent of the nominal duration.
    std::uint32_t slowdownPercent = 100;
};

/// Parses "running,waiting,slots" with an optional ",percent". Returns nothing for any other text.
std::optional<BackendLoad> parseBackendLoad(std::string_view);

} // namespace Knapweedquay
