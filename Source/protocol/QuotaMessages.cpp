#include "protocol/QuotaMessages.h"

#include "protocol/MessageFields.h"

#include <nlohmann/json.hpp>

#include <xxhash.h>

#include <utility>

namespace Knapweedquay {

namespace {

/// Maximum number of fields for the workspaces of one message.
constexpr std::size_t maximumQuotaFields = 16384;

QuotaSlice readSlice(FieldReader& reader)
{
    const std::uint32_t slice = readUnsigned32(reader);
    if (slice >= quotaSlices)
        reader.fail("there is no slice of this number");
    return QuotaSlice(slice);
}

} // namespace

std::size_t quotaGroupOf(const WorkspaceName& workspace)
{
    return XXH3_64bits(workspace.value().data(), workspace.value().size()) % quotaGroups;
}

void appendFields(nlohmann::json& fields, const QuotaRequestMessage& message)
{
    fields.push_back(message.slice.value());
    fields.push_back(message.node.value());
    fields.push_back(message.incarnation.value());
    fields.push_back(message.clock);
    fields.push_back(message.tenure);
    nlohmann::json list = nlohmann::json::array();
    for (const QuotaNeed& need : message.needs) {
        list.push_back(need.workspace.value());
        list.push_back(need.wanted);
        list.push_back(need.demand);
        list.push_back(need.refunded);
        nlohmann::json reports = nlohmann::json::array();
        for (const QuotaNeed::Report& report : need.reports) {
            // Grants are older than the request that reports on them; the difference takes fewer bytes.
            reports.push_back(message.clock - report.grant);
            reports.push_back(report.used);
            reports.push_back(report.returned);
        }
        list.push_back(std::move(reports));
    }
    fields.push_back(std::move(list));
}

void readFields(FieldReader& reader, QuotaRequestMessage& message)
{
    message.slice = readSlice(reader);
    message.node = NodeId(reader.text());
    message.incarnation = Incarnation(reader.unsignedInteger());
    message.clock = reader.unsignedInteger();
    message.tenure = reader.unsignedInteger();
    const nlohmann::json& list = reader.array();
    if (list.size() > maximumQuotaFields)
        return reader.fail("too many workspaces");
    FieldReader needs(list);
    while (!reader.failed() && !needs.failed() && needs.remaining() > 0) {
        QuotaNeed need;
        need.workspace = WorkspaceName(needs.text());
        need.wanted = readUnsigned32(needs);
        need.demand = readUnsigned32(needs);
        need.refunded = readUnsigned32(needs);
        FieldReader reports(needs.array());
        while (!reports.failed() && reports.remaining() > 0) {
            const std::uint64_t age = reports.unsignedInteger();
            const std::uint64_t used = readUnsigned32(reports);
            const std::uint64_t returned = readUnsigned32(reports);
            if (age > message.clock)
                reports.fail("a grant is younger than the report on it");
            need.reports.push_back({ message.clock - age, used, returned });
        }
        if (reports.failed())
            needs.fail("malformed report on a grant");
        message.needs.push_back(std::move(need));
    }
    if (needs.failed())
        reader.fail("malformed need of credit");
}

void appendFields(nlohmann::json& fields, const QuotaGrantMessage& message)
{
    fields.push_back(message.slice.value());
    fields.push_back(message.node.value());
    fields.push_back(message.incarnation.value());
    fields.push_back(message.clock);
    fields.push_back(message.tenure);
    nlohmann::json list = nlohmann::json::array();
    for (const QuotaGrantMessage::Grant& grant : message.grants) {
        list.push_back(grant.workspace.value());
        list.push_back(grant.credit);
        list.push_back(grant.wait.count());
    }
    fields.push_back(std::move(list));
}

void readFields(FieldReader& reader, QuotaGrantMessage& message)
{
    message.slice = readSlice(reader);
    message.node = NodeId(reader.text());
    message.incarnation = Incarnation(reader.unsignedInteger());
    message.clock = reader.unsignedInteger();
    message.tenure = reader.unsignedInteger();
    const nlohmann::json& list = reader.array();
    if (list.size() > maximumQuotaFields)
        return reader.fail("too many workspaces");
    FieldReader grants(list);
    while (!reader.failed() && !grants.failed() && grants.remaining() > 0) {
        QuotaGrantMessage::Grant grant;
        grant.workspace = WorkspaceName(grants.text());
        grant.credit = readUnsigned32(grants);
        grant.wait = grants.duration();
        message.grants.push_back(std::move(grant));
    }
    if (grants.failed())
        reader.fail("malformed grant of credit");
}

} // namespace Knapweedquay
