#include "coordination/workspaces/CallerAuthentication.h"

#include <algorithm>
#include <string>

namespace Knapweedquay {

namespace {

constexpr std::string_view authorizationHeader = "Authorization";
constexpr std::string_view bearerScheme = "Bearer";
constexpr std::string_view blanks = " \t";
/// With an older proof, no key is called unknown: callers do not retry after that.
constexpr Duration maximumProofAgeToDenyKeys { 1000000 };

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(blanks);
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(blanks) + 1 - first);
}

char plain(char letter)
{
    constexpr char caseOffset = 'a' - 'A';
    if (letter == '_')
        return '-';
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + caseOffset) : letter;
}

bool isNameLike(std::string_view name, std::string_view expected)
{
    name = trimmed(name);
    return std::equal(name.begin(), name.end(), expected.begin(), expected.end(), [](char a, char b) { return plain(a) == plain(b); });
}

/// The key in the value of an Authorization header; empty if there is none.
std::string_view keyIn(std::string_view value)
{
    value = trimmed(value);
    const std::size_t end = std::min(value.find_first_of(blanks), value.size());
    if (!equalHeaderNames(value.substr(0, end), bearerScheme))
        return {};
    return trimmed(value.substr(end));
}

/// The only key of a request; empty if it has none, several or one that can't be read.
std::string_view keyOf(const HttpHeaders& headers)
{
    std::string_view key;
    bool hasHeader = false;
    for (const HttpHeader& header : headers) {
        if (!isNameLike(header.name, authorizationHeader))
            continue;
        if (hasHeader)
            return {};
        hasHeader = true;
        key = keyIn(header.value);
    }
    return key;
}

} // namespace

Result<AuthenticatedCaller> authenticate(const KeyTable& table, const CallerRequest& request)
{
    AuthenticatedCaller caller;
    caller.proof.routingVersion = table.version();
    const bool hasHeader = std::any_of(request.headers.begin(), request.headers.end(), [](const HttpHeader& header) { return isNameLike(header.name, authorizationHeader); });
    if (!hasHeader && (request.allowsAnonymous || request.isOwnBackendCall))
        return caller;
    const std::string_view key = keyOf(request.headers);
    const KeyDigest digest = digestOfKey(key);
    const KeyTable::Holder* holder = key.empty() ? nullptr : table.find(digest);
    if (holder) {
        caller.proof.workspace = holder->workspace;
        caller.proof.key = digest;
        caller.priority = holder->priority;
        return caller;
    }
    if (request.allowsAnonymous)
        return caller;
    if (request.proofAge > maximumProofAgeToDenyKeys)
        return Error { ResultCode::KeyUnproved, "no workspace holds the key, but a newer configuration may" };
    return Error { ResultCode::UnknownKey, key.empty() ? "the request needs one header 'Authorization: Bearer KEY'" : "no workspace holds the key" };
}

bool isCallerHeader(std::string_view name, std::string_view workspaceHeader)
{
    return isNameLike(name, authorizationHeader) || isNameLike(name, workspaceHeader);
}

void removeCallerHeaders(HttpHeaders& headers, std::string_view workspaceHeader)
{
    headers.erase(std::remove_if(headers.begin(), headers.end(), [&](const HttpHeader& header) { return isCallerHeader(header.name, workspaceHeader); }), headers.end());
}

IdempotencyKey claimKey(const WorkspaceName& workspace, const IdempotencyKey& key)
{
    if (workspace.value().empty())
        return key;
    DigestBuilder builder;
    builder.addField(workspace.value());
    builder.addField(key.value());
    // Callers can't send a key with a blank.
    return IdempotencyKey(" " + toText(builder.finish()));
}

} // namespace Knapweedquay
