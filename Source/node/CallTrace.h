#pragma once

#include "protocol/Ids.h"
#include "protocol/LogEvent.h"
#include "protocol/Time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Trace of one request at one node: the load balancing decisions and the values that they were based on.
///
/// Values are stored as numbers and formatted as log lines only if the trace is written, because most requests succeed
/// and their traces are discarded.
class CallTrace {
public:
    static constexpr std::size_t valueCount = 4;
    /// Values that a decision was based on; traceFields() names them for each event.
    using Values = std::array<std::int64_t, valueCount>;

    /// Adds a decision. peer: the node that it concerns; may be empty. values: in the order of traceFields() for the
    /// event.
    void add(LogEvent, TimePoint, const NodeId& peer = {}, Values = {});
    std::size_t size() const { return m_entries.size(); }
    /// Writes one log line per decision, with the wall clock time at which it was made. route: host and prefix of the route
    /// that determined the service; empty if the request named it.
    void write(const std::string& request, const ServiceName&, const std::string& route = {}) const;

private:
    /// One recorded decision.
    struct Entry {
        LogEvent event;
        /// When the decision was made.
        TimePoint at;
        /// The node that the decision concerns; may be empty.
        NodeId peer;
        Values values;
    };

    std::vector<Entry> m_entries;
};

/// Field names of the values that the event has in a trace; an empty name marks an unused value.
std::array<const char*, CallTrace::valueCount> traceFields(LogEvent);

/// Decides which traces are written and limits the rate of log lines by a token bucket.
///
/// All failed requests are selected, and a fixed share of the others by a hash of the request id, so that all nodes
/// sample the same requests. Traces beyond the rate limit are dropped completely, and their lines are counted.
class TraceSampler {
public:
    /// Limits of the traces that one node writes.
    struct Settings {
        /// Lines that one node writes per second; also the largest burst after an idle period.
        std::uint32_t linesPerSecond = 200;
        /// One of this many successful requests is written; 0 disables sampling.
        std::uint32_t sampleOneIn = 256;
    };

    explicit TraceSampler(Settings);

    bool isSampled(const std::string& request) const;
    /// True if a trace with this number of lines may be written now; its lines are then deducted from the bucket.
    bool admits(const std::string& request, bool hasFailed, std::size_t lines, TimePoint now);
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    Settings m_settings;
    /// Lines that may be written now.
    double m_tokens;
    /// When m_tokens was last refilled.
    TimePoint m_refilledAt;
    std::uint64_t m_droppedLines = 0;
};

} // namespace Knapweedquay
