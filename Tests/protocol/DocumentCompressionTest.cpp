#include "protocol/DocumentCompression.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Knapweedquay;

namespace {

constexpr std::size_t maximumBytes = 1024 * 1024;

std::string textOfRoutes(int routes, int changed)
{
    std::string text;
    for (int route = 0; route < routes; ++route)
        text += "[[routes]]\nhost = \"h" + std::to_string(route * 7919) + "\"\ntimeout = " + std::to_string(route == changed ? 2 : 1) + "\n";
    return text;
}

} // namespace

RC_GTEST_PROP(DocumentCompressionTest, AnyTextAndBase_Compressed_IsRestored, (const std::string& text, const std::string& base))
{
    const auto restored = decompressDocument(compressDocument(text, base), base, maximumBytes);
    RC_ASSERT(restored.has_value());
    RC_ASSERT(restored.value() == text);
}

TEST(DocumentCompressionTest, EditOfOneRoute_WithBase_TakesFewBytes)
{
    const std::string base = textOfRoutes(5000, 0);
    const std::string text = textOfRoutes(5000, 2500);
    const std::string bytes = compressDocument(text, base);
    EXPECT_LT(bytes.size(), 1000u);
    EXPECT_EQ(text, decompressDocument(bytes, base, maximumBytes).value());
}

TEST(DocumentCompressionTest, OtherBase_IsRefused)
{
    const std::string bytes = compressDocument(textOfRoutes(5000, 2500), textOfRoutes(5000, 0));
    EXPECT_TRUE(decompressDocument(bytes, textOfRoutes(5000, 1), maximumBytes).has_error());
    EXPECT_TRUE(decompressDocument(bytes, {}, maximumBytes).has_error());
}

TEST(DocumentCompressionTest, DamagedOrTooLarge_IsRefused)
{
    const std::string text = textOfRoutes(100, 0);
    std::string bytes = compressDocument(text, {});
    EXPECT_EQ(ResultCode::MessageTooLarge, decompressDocument(bytes, {}, text.size() - 1).error().code);
    EXPECT_TRUE(decompressDocument(std::string_view(bytes).substr(0, bytes.size() / 2), {}, maximumBytes).has_error());
    bytes[bytes.size() / 2] ^= 1;
    EXPECT_TRUE(decompressDocument(bytes, {}, maximumBytes).has_error());
    EXPECT_TRUE(decompressDocument("", {}, maximumBytes).has_error());
    EXPECT_TRUE(decompressDocument("no frame", {}, maximumBytes).has_error());
}
