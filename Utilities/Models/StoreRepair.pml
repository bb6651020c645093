/* Store.pml with the loss of a disk, the replacement of its replica and the loss of a second replica. */
#define REPAIR
#ifndef TERMS
#define TERMS 2
#endif
#ifndef LENGTH
#define LENGTH 4
#endif
#ifndef CRASHES
#define CRASHES 0
#endif
#include "Store.pml"
