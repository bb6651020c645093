#include "state/LogRecord.h"

#include "protocol/Cbor.h"
#include "state/Checksum.h"

namespace Knapweedquay {

namespace {

using Json = nlohmann::json;

// Kind of an encoded record. The numbers are part of the log file.
enum class Kind : std::uint8_t {
    Header = 1,
    HardState = 2,
    Entry = 3,
    Truncate = 4,
    SyncMark = 5,
};

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t checksumBytes = 4;
constexpr std::size_t syncedLengthBytes = 8;
constexpr std::size_t frameBytes = lengthBytes + checksumBytes + syncedLengthBytes;
// The largest record is an entry; 1024 bytes are more than its other fields and the CBOR headers need.
constexpr std::size_t maximumRecordBytes = maximumEntryBytes + 1024;
constexpr unsigned bitsPerByte = 8;

std::string littleEndian(std::uint64_t value, std::size_t bytes)
{
    std::string encoded;
    for (std::size_t i = 0; i < bytes; ++i)
        encoded.push_back(static_cast<char>(value >> (bitsPerByte * i)));
    return encoded;
}

std::uint64_t readLittleEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = bytes.size(); i > 0; --i)
        value = (value << bitsPerByte) | static_cast<std::uint8_t>(bytes[i - 1]);
    return value;
}

Json recordFields(Kind kind)
{
    return Json::array({ static_cast<std::uint64_t>(kind) });
}

Json encode(const LogFileHeader& header)
{
    Json fields = recordFields(Kind::Header);
    fields.push_back(header.cluster.value());
    fields.push_back(header.replica.value());
    fields.push_back(header.snapshotFile);
    fields.push_back(header.snapshotChecksum);
    fields.push_back(header.snapshotIndex.value());
    fields.push_back(header.snapshotTerm.value());
    fields.push_back(cborBytes(encodeMembers(header.snapshotMembers)));
    return fields;
}

Json encode(const HardState& hardState)
{
    Json fields = recordFields(Kind::HardState);
    fields.push_back(hardState.term.value());
    fields.push_back(hardState.votedFor.value());
    return fields;
}

Json encode(const LogEntry& entry)
{
    Json fields = recordFields(Kind::Entry);
    fields.push_back(entry.index.value());
    fields.push_back(entry.term.value());
    fields.push_back(static_cast<std::uint64_t>(entry.kind));
    fields.push_back(cborBytes(entry.payload));
    return fields;
}

Json encode(const TruncateRecord& record)
{
    Json fields = recordFields(Kind::Truncate);
    fields.push_back(record.first.value());
    return fields;
}

Json encode(const SyncMark&)
{
    return recordFields(Kind::SyncMark);
}

LogFileHeader decodeHeader(FieldReader& reader)
{
    LogFileHeader header;
    header.cluster = ClusterId(reader.unsignedInteger());
    header.replica = ReplicaId(reader.unsignedInteger());
    header.snapshotFile = reader.text();
    header.snapshotChecksum = static_cast<std::uint32_t>(reader.unsignedInteger());
    header.snapshotIndex = LogIndex(reader.unsignedInteger());
    header.snapshotTerm = Term(reader.unsignedInteger());
    auto members = decodeMembers(reader.bytes());
    if (members.has_error())
        reader.fail("malformed member list");
    else
        header.snapshotMembers = std::move(members.value());
    return header;
}

LogEntry decodeEntry(FieldReader& reader)
{
    LogEntry entry;
    entry.index = LogIndex(reader.unsignedInteger());
    entry.term = Term(reader.unsignedInteger());
    const std::uint64_t kind = reader.unsignedInteger();
    entry.payload = reader.bytes();
    if (kind > static_cast<std::uint64_t>(LogEntryKind::Members))
        reader.fail("unknown kind of entry");
    entry.kind = static_cast<LogEntryKind>(kind);
    return entry;
}

LogRecord decodeRecord(FieldReader& reader)
{
    switch (static_cast<Kind>(reader.unsignedInteger())) {
    case Kind::Header:
        return decodeHeader(reader);
    case Kind::HardState: {
        const Term term(reader.unsignedInteger());
        return HardState { term, ReplicaId(reader.unsignedInteger()) };
    }
    case Kind::Entry:
        return decodeEntry(reader);
    case Kind::Truncate:
        return TruncateRecord { LogIndex(reader.unsignedInteger()) };
    case Kind::SyncMark:
        return SyncMark {};
    }
    reader.fail("unknown kind of record");
    return SyncMark {};
}

} // namespace

std::string frameRecord(const LogRecord& record, std::uint64_t syncedBytes)
{
    const std::string payload = encodeCbor(std::visit([](const auto& typed) { return encode(typed); }, record));
    const std::string checked = littleEndian(syncedBytes, syncedLengthBytes) + payload;
    return littleEndian(payload.size(), lengthBytes) + littleEndian(crc32c(checked), checksumBytes) + checked;
}

std::optional<FramedRecord> readRecord(std::string_view file, std::size_t offset)
{
    if (offset > file.size() || file.size() - offset < frameBytes)
        return std::nullopt;
    const std::string_view rest = file.substr(offset);
    const std::uint64_t length = readLittleEndian(rest.substr(0, lengthBytes));
    if (length == 0 || length > maximumRecordBytes || length > rest.size() - frameBytes)
        return std::nullopt;
    const std::string_view checked = rest.substr(lengthBytes + checksumBytes, syncedLengthBytes + length);
    if (crc32c(checked) != readLittleEndian(rest.substr(lengthBytes, checksumBytes)))
        return std::nullopt;
    const auto fields = decodeCbor(checked.substr(syncedLengthBytes), maximumRecordBytes);
    if (fields.has_error())
        return std::nullopt;
    FieldReader reader(fields.value());
    LogRecord record = decodeRecord(reader);
    if (reader.finish().has_error())
        return std::nullopt;
    return FramedRecord { std::move(record), readLittleEndian(checked.substr(0, syncedLengthBytes)), frameBytes + static_cast<std::size_t>(length) };
}

} // namespace Knapweedquay
