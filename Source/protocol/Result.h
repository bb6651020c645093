#pragma once

#include "protocol/ResultCode.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace Knapweedquay {

/// A failed operation: a numbered code and a sentence for the person who reads it.
struct Error {
    ResultCode code = ResultCode::Ok;
    std::string detail;
};

/// Value of T, or an Error. Asking for the one that is not there ends the process.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

} // namespace Knapweedquay
