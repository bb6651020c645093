#pragma once

#include "protocol/Ids.h"
#include "protocol/Time.h"
#include "state/EvacuationDocument.h"

#include <map>
#include <set>
#include <string>

namespace Knapweedquay {

/// The data centres that operators have emptied, as a node knows them, and when others were taken back.
///
/// The load pattern is a share of the room that leaves or returns at a known moment. Endpoints that leave take no part in the
/// choice from then on, so that the room that is left is known at once instead of from load reports. Those that return count as
/// new, because what is known of them is from before, and their backend servers may be cold.
class EmptiedDataCentres {
public:
    /// Applies a newer document. Returns the data centres that were emptied or taken back by it.
    std::set<DataCentre> apply(const EvacuationDocument&, TimePoint now);

    const EvacuationDocument& document() const { return m_document; }
    bool contains(const DataCentre& dataCentre) const { return m_document.isEmptied(dataCentre); }
    /// Time from which an endpoint counts as available, given the time at which its backend server announced itself.
    TimePoint availableSince(const DataCentre&, TimePoint announcedAt) const;
    /// The names, separated by blanks.
    std::string text() const;

private:
    EvacuationDocument m_document;
    /// When data centres were last taken back.
    std::map<DataCentre, TimePoint> m_returnedAt;
};

} // namespace Knapweedquay
