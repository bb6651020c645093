#include "protocol/ResultCode.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

namespace {

TEST(ResultCodeTest, Overloaded_MappedToHttpStatus_IsServiceUnavailable)
{
    EXPECT_EQ(503, httpStatus(ResultCode::Overloaded));
    EXPECT_STREQ("Overloaded", title(ResultCode::Overloaded));
}

} // namespace
