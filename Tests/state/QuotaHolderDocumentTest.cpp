#include "state/QuotaHolderDocument.h"

#include <gtest/gtest.h>

#include <string>

using namespace Knapweedquay;

TEST(QuotaHolderDocumentTest, RenderedDocument_Parsed_IsEqual)
{
    QuotaHolderDocument document;
    EXPECT_EQ(document, parseQuotaHolders(renderQuotaHolders(document)).value());
    for (std::size_t index = 0; index < quotaSlices; index += 2)
        document.slices.at(index) = { NodeId("node.with_a-name-" + std::to_string(index)), index };
    EXPECT_EQ(document, parseQuotaHolders(renderQuotaHolders(document)).value());
}

TEST(QuotaHolderDocumentTest, InvalidText_Parsed_IsRefused)
{
    const std::string text = renderQuotaHolders({});
    for (const std::string& invalid : { std::string(), text + "[[slices]]\ntenure = 1\n", text.substr(text.find('\n') + 1), text + "other = 1\n", text + "holder = \"a b\"\n" })
        EXPECT_EQ(ResultCode::InvalidDocument, parseQuotaHolders(invalid).error().code) << invalid;
}
