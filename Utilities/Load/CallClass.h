#pragma once

#include <cstddef>
#include <string>

namespace Knapweedquay::Load {

/// One kind of call that the load tool sends: what, how often, and what counts as in time.
struct CallClass {
    std::string name;
    std::string method = "GET";
    std::string path;
    /// Mean calls a second.
    double rate = 10;
    /// Value of Knapweedquay-Priority; empty leaves the choice to the document's routes.
    std::string priority;
    std::size_t deadlineMs = 1000;
    std::size_t targetMs = 100;
    /// True when each call carries an Idempotency-Key.
    bool isKeyed = false;
    /// Share of the keyed calls that are sent a second time, through another node, at once.
    double resendShare = 0;
    std::size_t requestBytes = 0;
    std::size_t answerBytes = 200;

    /// True when a second run of a call does harm.
    bool mustRunOnce() const { return method == "POST" || method == "PATCH"; }
};

/// Reads "name=booking,method=POST,path=/call/dispatch/bookings,rate=50,deadline=500,target=100,keyed=1".
///
/// Further keys: priority, resend, request-bytes, answer-bytes. Throws std::invalid_argument on an unknown key.
CallClass parseCallClass(const std::string&);

} // namespace Knapweedquay::Load
