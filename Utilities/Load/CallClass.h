#pragma once

#include <cstddef>
#include <string>

namespace Knapweedquay::Load {

/// A kind of call that the load generator sends: its request, its rate and its target latency.
struct CallClass {
    /// Name in the results and part of every request id.
    std::string name;
    std::string method = "GET";
    /// Path of the request, without a query.
    std::string path;
    /// Mean calls per second.
    double rate = 10;
    /// Value of Knapweedquay-Priority; when empty, the header is not sent and the document's routes decide.
    std::string priority;
    /// Value of Knapweedquay-Deadline-Ms.
    std::size_t deadlineMs = 1000;
    /// Latency up to which a correct answer counts as within the target.
    std::size_t targetMs = 100;
    /// True when each call carries an Idempotency-Key.
    bool isKeyed = false;
    /// Share of the keyed calls that are sent twice at the same time, the second time through another node.
    double resendShare = 0;
    /// Size of the request body.
    std::size_t requestBytes = 0;
    /// Bytes of filler that the stand-in puts into its answer.
    std::size_t answerBytes = 200;

    /// True when a call must not be run twice, judged by its method.
    bool mustRunOnce() const { return method == "POST" || method == "PATCH"; }
};

/// Reads "name=booking,method=POST,path=/call/dispatch/bookings,rate=50,deadline=500,target=100,keyed=1".
///
/// Further keys: priority, resend, request-bytes, answer-bytes. Throws std::invalid_argument on an unknown key.
CallClass parseCallClass(const std::string&);

} // namespace Knapweedquay::Load
