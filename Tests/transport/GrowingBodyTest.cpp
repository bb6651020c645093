#include "transport/GrowingBody.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

using namespace Knapweedquay;

namespace {

RC_GTEST_PROP(GrowingBodyProperty, AnyPieces_AreJoinedInOrder, ())
{
    GrowingBody body;
    std::string expected;
    if (*rc::gen::arbitrary<bool>())
        body.reserve(*rc::gen::inRange<std::size_t>(0, 2000000));
    const auto sizes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 700000));
    char letter = 'a';
    for (const std::size_t size : sizes) {
        const std::string bytes(size, letter);
        letter = letter == 'z' ? 'a' : static_cast<char>(letter + 1);
        body.append(bytes);
        expected += bytes;
        RC_ASSERT(body.size() == expected.size());
    }
    RC_ASSERT(body.take() == expected);
    RC_ASSERT(body.size() == 0U);
}

} // namespace
