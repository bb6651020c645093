#include "coordination/placing/EmptiedDataCentres.h"

#include <algorithm>
#include <iterator>

namespace Knapweedquay {

std::set<DataCentre> EmptiedDataCentres::apply(const EvacuationDocument& document, TimePoint now)
{
    std::set<DataCentre> changed;
    std::set_symmetric_difference(m_document.emptied.begin(), m_document.emptied.end(), document.emptied.begin(), document.emptied.end(), std::inserter(changed, changed.end()));
    m_document = document;
    for (const DataCentre& dataCentre : changed) {
        if (!contains(dataCentre))
            m_returnedAt[dataCentre] = now;
    }
    return changed;
}

TimePoint EmptiedDataCentres::availableSince(const DataCentre& dataCentre, TimePoint announcedAt) const
{
    const auto returned = m_returnedAt.find(dataCentre);
    return returned == m_returnedAt.end() ? announcedAt : std::max(announcedAt, returned->second);
}

std::string EmptiedDataCentres::text() const
{
    std::string names;
    for (const DataCentre& dataCentre : m_document.emptied)
        names += (names.empty() ? "" : " ") + dataCentre.value();
    return names;
}

} // namespace Knapweedquay
