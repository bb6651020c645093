#include "Load/EchoAnswer.h"

#include <xxhash.h>

#include <algorithm>
#include <random>

namespace Knapweedquay::Load {

namespace {

XXH64_hash_t hashOf(const std::string& text)
{
    return XXH64(text.data(), text.size(), 0);
}

std::string makeFiller(XXH64_hash_t seed, std::size_t bytes)
{
    // A prime, so that no two parts of a text are equal that a process may confuse.
    constexpr std::size_t period = 1000003;
    std::mt19937_64 random(seed);
    std::string text(std::min(bytes, period), 'a');
    for (char& letter : text)
        letter = static_cast<char>('a' + random() % 26);
    text.reserve(bytes);
    while (text.size() < bytes)
        text.append(text, 0, std::min(period, bytes - text.size()));
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
