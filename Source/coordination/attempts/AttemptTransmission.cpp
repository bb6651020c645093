#include "coordination/attempts/AttemptTransmission.h"

namespace Knapweedquay {

void AttemptTransmission::copySent()
{
    --m_waitingCopies;
    m_wasSent = true;
}

bool AttemptTransmission::copyReturned()
{
    --m_waitingCopies;
    return !m_wasSent && m_waitingCopies == 0;
}

} // namespace Knapweedquay
