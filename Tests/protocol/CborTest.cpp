#include "protocol/Cbor.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;

namespace {

constexpr std::size_t limitBytes = 1024;

TEST(CborTest, Message_EncodedAndDecoded_KeepsFields)
{
    const auto decoded = decodeCbor(encodeCbor(nlohmann::json::array({ 7u, "name", cborBytes("raw"), true })), limitBytes);
    ASSERT_TRUE(decoded.has_value());
    FieldReader reader(decoded.value());
    EXPECT_EQ(7u, reader.unsignedInteger());
    EXPECT_EQ("name", reader.text());
    EXPECT_EQ("raw", reader.bytes());
    EXPECT_TRUE(reader.boolean());
    EXPECT_TRUE(reader.finish().has_value());
}

TEST(CborTest, DeepNesting_Decoded_IsRefused)
{
    const std::string nestedArrays(limitBytes, '\x81');
    const auto decoded = decodeCbor(nestedArrays, limitBytes);
    ASSERT_TRUE(decoded.has_error());
    EXPECT_EQ(ResultCode::MalformedMessage, decoded.error().code);
}

TEST(CborTest, HugeDeclaredLength_Decoded_IsRefused)
{
    const std::string hugeArray("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9);
    EXPECT_TRUE(decodeCbor(hugeArray, limitBytes).has_error());
    const std::string hugeBytes("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 9);
    EXPECT_TRUE(decodeCbor(hugeBytes, limitBytes).has_error());
}

TEST(CborTest, TrailingBytes_Decoded_AreRefused)
{
    EXPECT_TRUE(decodeCbor(encodeCbor(nlohmann::json(1u)) + "x", limitBytes).has_error());
}

TEST(CborTest, WrongFieldType_Read_KeepsFirstError)
{
    const nlohmann::json fields = nlohmann::json::array({ "text", 1u });
    FieldReader reader(fields);
    reader.unsignedInteger();
    reader.unsignedInteger();
    const auto result = reader.finish();
    ASSERT_TRUE(result.has_error());
    EXPECT_NE(std::string::npos, result.error().detail.find("field 0"));
}

} // namespace
