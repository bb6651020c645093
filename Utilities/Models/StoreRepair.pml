/* The specification of Store.pml with the loss of a disk, the replacement and a second loss. */
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
