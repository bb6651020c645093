#pragma once

#include "protocol/Ids.h"
#include "protocol/LogEvent.h"
#include "protocol/Time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Knapweedquay {

/// The decisions that one request met at one node, with what decided them.
///
/// They are kept as numbers, and become lines of the log only for a request whose story is wanted, since most requests
/// end well and nobody asks for them.
class CallTrail {
public:
    static constexpr std::size_t valueCount = 4;
    using Values = std::array<std::int64_t, valueCount>;

    /// peer: the node that the decision was about; may be empty. values: as trailFields() names them for the event.
    void add(LogEvent, TimePoint, const NodeId& peer = {}, Values = {});
    std::size_t size() const { return m_entries.size(); }
    /// Writes one line for each decision, with the time of day at which it was made.
    void write(const std::string& request, const ServiceName&) const;

private:
    struct Entry {
        LogEvent event;
        TimePoint at;
        NodeId peer;
        Values values;
    };

    std::vector<Entry> m_entries;
};

/// Names of the values of an event of a trail; empty ones are not used.
std::array<const char*, CallTrail::valueCount> trailFields(LogEvent);

/// Decides which trails are written, and bounds how many lines that makes.
///
/// Every request that fails is wanted, and of the others one in so many, chosen by the request's name, so that all nodes
/// choose the same. Beyond the bound trails are dropped whole and counted.
class TrailPolicy {
public:
    struct Settings {
        /// Lines that one node writes per second, and at once after a pause.
        std::uint32_t linesPerSecond = 200;
        /// One in so many requests that end well is written; 0: none.
        std::uint32_t sampleOneIn = 256;
    };

    explicit TrailPolicy(Settings);

    bool isSampled(const std::string& request) const;
    /// True when a trail of so many lines is to be written now; it is counted then.
    bool admits(const std::string& request, bool hasFailed, std::size_t lines, TimePoint now);
    std::uint64_t droppedLines() const { return m_dropped; }

private:
    Settings m_settings;
    double m_tokens;
    TimePoint m_filledAt;
    std::uint64_t m_dropped = 0;
};

} // namespace Knapweedquay
