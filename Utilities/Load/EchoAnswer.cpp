#include "Load/EchoAnswer.h"

#include <xxhash.h>

#include <random>

namespace Knapweedquay::Load {

namespace {

XXH64_hash_t hashOf(const std::string& text)
{
    return XXH64(text.data(), text.size(), 0);
}

std::string makeFiller(XXH64_hash_t seed, std::size_t bytes)
{
    std::mt19937_64 random(seed);
    std::string text(bytes, 'a');
    for (char& letter : text)
        letter = static_cast<char>('a' + random() % 26);
    return text;
}

} // namespace

std::string echoAnswer(const std::string& requestId, const std::string& requestBody, std::size_t fillerBytes)
{
    return requestId + "\n" + std::to_string(hashOf(requestBody)) + "\n" + makeFiller(hashOf(requestId), fillerBytes) + "\n";
}

std::string requestBody(const std::string& requestId, std::size_t bytes)
{
    return makeFiller(hashOf(requestId) + 1, bytes);
}

} // namespace Knapweedquay::Load
