#include "coordination/membership/OpeningTimeout.h"

#include <algorithm>

namespace Knapweedquay {

void OpeningTimeout::expired()
{
    m_value = std::min(2 * m_value, longest);
}

void OpeningTimeout::opened()
{
    m_value = shortest;
}

} // namespace Knapweedquay
