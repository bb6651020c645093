#include "state/EvacuationDocument.h"

#include <gtest/gtest.h>

#include <string>

using namespace Knapweedquay;

TEST(EvacuationDocumentTest, RenderedDocument_Parsed_IsEqual)
{
    EvacuationDocument document;
    EXPECT_TRUE(parseEvacuations(renderEvacuations(document)).value().emptied.empty());
    for (std::size_t index = 0; index < EvacuationDocument::maximumDataCentres; ++index)
        document.emptied.emplace("data.centre-with_a-long-name-" + std::to_string(index));
    EXPECT_EQ(document.emptied, parseEvacuations(renderEvacuations(document)).value().emptied);
}

TEST(EvacuationDocumentTest, InvalidText_Parsed_IsRefused)
{
    for (const std::string text : { "data_centres = \"a\"", "data_centres = [\"a b\"]", "data_centres = [\"\"]", "other = 1", "data_centres = [" })
        EXPECT_EQ(ResultCode::InvalidDocument, parseEvacuations(text).error().code) << text;
    EvacuationDocument document;
    for (std::size_t index = 0; index <= EvacuationDocument::maximumDataCentres; ++index)
        document.emptied.emplace(std::to_string(index));
    EXPECT_EQ(ResultCode::InvalidDocument, parseEvacuations(renderEvacuations(document)).error().code);
}
