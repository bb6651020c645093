#pragma once

#include "protocol/RequestDigest.h"
#include "protocol/Time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace Knapweedquay {

/// When the backend server of this node last ran each of the latest requests without a crash.
///
/// Of constant size: a request takes the place of the one whose success is oldest in its group.
class SuccessHistory {
public:
    void record(const RequestDigest&, TimePoint now);
    /// Not set if no success of the request is remembered.
    std::optional<TimePoint> lastSuccess(const RequestDigest&) const;

private:
    /// A request with the time of its last success.
    struct Entry {
        RequestDigest digest;
        std::optional<TimePoint> at;
    };

    static constexpr std::size_t groupSize = 4;
    static constexpr std::size_t groups = 256;
    using Group = std::array<Entry, groupSize>;

    static std::size_t groupOf(const RequestDigest&);

    std::array<Group, groups> m_groups {};
};

} // namespace Knapweedquay
