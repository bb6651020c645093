#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Knapweedquay {

/// What a backend server says of its load in a response.
struct BackendLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes on its machine at this moment, in percent of the usual.
    std::uint32_t slowdownPercent = 100;
};

/// Reads "running,waiting,slots" and, where it is there, ",percent". Nothing for any other text.
std::optional<BackendLoad> parseBackendLoad(std::string_view);

} // namespace Knapweedquay
