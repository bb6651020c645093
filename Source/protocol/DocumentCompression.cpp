#include "protocol/DocumentCompression.h"

#include <zstd.h>

#include <memory>
#include <new>

namespace Knapweedquay {

namespace {

/// Higher levels save less than a tenth of the bytes of a routing document and take several times as long.
constexpr int compressionLevel = 3;

using CompressionContext = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using DecompressionContext = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/// Binary logarithm of a window that reaches from the end of the text back to the start of the base.
int windowLogFor(std::size_t bytes)
{
    constexpr int minimum = 17;
    constexpr int maximum = 27;
    int windowLog = minimum;
    while (windowLog < maximum && (std::size_t(1) << windowLog) < bytes)
        ++windowLog;
    return windowLog;
}

} // namespace

std::string compressDocument(std::string_view text, std::string_view base)
{
    const CompressionContext context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLogFor(text.size() + base.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(), text.data(), text.size());
    // With a buffer of ZSTD_compressBound() bytes, only a lack of memory makes the compression fail.
    if (ZSTD_isError(size) != 0)
        throw std::bad_alloc();
    bytes.resize(size);
    return bytes;
}

Result<std::string> decompressDocument(std::string_view bytes, std::string_view base, std::size_t maximumBytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
        return Error { ResultCode::MalformedMessage, "not a compressed document" };
    if (size > maximumBytes)
        return Error { ResultCode::MessageTooLarge, "document of " + std::to_string(size) + " bytes" };
    const DecompressionContext context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(static_cast<std::size_t>(size), '\0');
    const std::size_t restored = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(restored) != 0)
        return Error { ResultCode::MalformedMessage, std::string("compressed document: ") + ZSTD_getErrorName(restored) };
    if (restored != text.size())
        return Error { ResultCode::MalformedMessage, "compressed document is shorter than stated" };
    return text;
}

} // namespace Knapweedquay
