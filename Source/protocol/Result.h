#pragma once

#include "protocol/ResultCode.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace Knapweedquay {

/// A failed operation: a numbered code and an explanation for the operator or caller.
struct Error {
    ResultCode code = ResultCode::Ok;
    std::string detail;
};

/// A value of type T, or an Error. Access to the one that is not set terminates the process.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

} // namespace Knapweedquay
