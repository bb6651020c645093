#include "protocol/Cbor.h"
#include "state/ControlState.h"
#include "state/DocumentRegister.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace Knapweedquay;

namespace {

DocumentEdit edit(const std::string& service, std::uint64_t expected, const std::string& change, const std::string& text = "text")
{
    return { ServiceName(service), DocumentVersion(expected), ChangeId(change), text, "author", "team", WallTime(1) };
}

/// Reference implementation that keeps all edits and searches them linearly.
class ReferenceRegister {
public:
    EditResult apply(const DocumentEdit& newEdit)
    {
        const std::uint64_t current = version(newEdit.service);
        if (newEdit.authenticatedTeam != "team")
            return { ResultCode::NotAuthorized, DocumentVersion(current), {}, {} };
        for (const auto& [earlier, result] : m_results) {
            if (earlier.service != newEdit.service || earlier.change != newEdit.change)
                continue;
            const bool isSame = earlier.expected == newEdit.expected && earlier.text == newEdit.text;
            return isSame ? result : EditResult { ResultCode::ChangeIdReused, DocumentVersion(current), earlier.change, earlier.author };
        }
        EditResult result { ResultCode::Ok, DocumentVersion(current + 1), {}, {} };
        if (newEdit.expected.value() != current) {
            result = { ResultCode::VersionConflict, DocumentVersion(current), {}, {} };
            for (const auto& [earlier, earlierResult] : m_results)
                if (earlier.service == newEdit.service && earlier.expected == newEdit.expected && earlierResult.code == ResultCode::Ok)
                    result.winner = earlier.change, result.winnerAuthor = earlier.author;
        }
        m_results.emplace_back(newEdit, result);
        return result;
    }

private:
    std::uint64_t version(const ServiceName& service) const
    {
        std::uint64_t accepted = 0;
        for (const auto& [earlier, result] : m_results)
            accepted += earlier.service == service && result.code == ResultCode::Ok ? 1 : 0;
        return accepted;
    }

    std::vector<std::pair<DocumentEdit, EditResult>> m_results;
};

RC_GTEST_PROP(DocumentRegisterTest, RandomEdits_AppliedAndReloaded_EqualReferenceRegister, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    ReferenceRegister reference;
    ControlState state;
    for (int i = 0; i < 60; ++i) {
        DocumentEdit newEdit = edit("service-" + std::to_string(random() % 2), random() % 6, "change-" + std::to_string(random() % 20), "text-" + std::to_string(random() % 2));
        if (random() % 10 == 0)
            newEdit.authenticatedTeam = random() % 2 == 0 ? "" : "other team";
        const bool isFirstOfOther = newEdit.authenticatedTeam == "other team" && !state.documents().find(newEdit.service);
        if (isFirstOfOther)
            continue;
        const auto result = state.apply(encodeCommand(newEdit));
        RC_ASSERT(result.has_value());
        RC_ASSERT(std::get<EditResult>(result.value()) == reference.apply(newEdit));
        if (random() % 10 == 0) {
            auto reloaded = ControlState::load(state.save());
            RC_ASSERT(reloaded.has_value());
            RC_ASSERT(reloaded.value().save() == state.save());
            state = std::move(reloaded.value());
        }
    }
}

TEST(DocumentRegisterTest, UnauthorizedFlood_Applied_KeepsFirstResultsAndStaysBounded)
{
    DocumentRegister documents;
    const EditResult first = documents.apply(edit("dispatch", 0, "mine"));
    for (std::size_t i = 0; i < 3 * DocumentRegister::maximumUnauthorizedEdits; ++i) {
        DocumentEdit wrong = edit("dispatch", 1, "wrong-" + std::to_string(i));
        wrong.authenticatedTeam.clear();
        EXPECT_EQ(ResultCode::NotAuthorized, documents.apply(wrong).code);
    }
    EXPECT_EQ(first, documents.apply(edit("dispatch", 0, "mine")));
    EXPECT_EQ(DocumentRegister::maximumUnauthorizedEdits + 1, documents.audit(ServiceName("dispatch"), 1000000).size());
}

TEST(DocumentRegisterTest, ManyEdits_Applied_KeepsBoundedTrailAndTexts)
{
    DocumentRegister documents;
    const std::size_t edits = DocumentRegister::maximumChangesPerService + 100;
    for (std::size_t i = 0; i < edits; ++i)
        ASSERT_EQ(ResultCode::Ok, documents.apply(edit("dispatch", i, std::to_string(i), "text " + std::to_string(i))).code);
    const auto trail = documents.audit(ServiceName("dispatch"), 1000000);
    ASSERT_EQ(DocumentRegister::maximumChangesPerService, trail.size());
    EXPECT_EQ(std::to_string(edits - 1), trail.front().change.value());
    EXPECT_EQ("author", trail.front().author);
    EXPECT_EQ(DocumentVersion(edits - 1), trail.front().fromVersion);
    ASSERT_NE(nullptr, documents.textOf(ServiceName("dispatch"), DocumentVersion(edits - 1)));
    EXPECT_EQ("text " + std::to_string(edits - 2), *documents.textOf(ServiceName("dispatch"), DocumentVersion(edits - 1)));
    EXPECT_EQ(nullptr, documents.textOf(ServiceName("dispatch"), DocumentVersion(edits - DocumentRegister::maximumTextsPerService)));
}

TEST(DocumentRegisterTest, OversizedOrUnnamedEdit_Validated_IsRefused)
{
    EXPECT_EQ(ResultCode::RequestTooLarge, DocumentRegister::validate(edit("a", 0, "b", std::string(DocumentRegister::maximumDocumentBytes + 1, 'x'))).error().code);
    EXPECT_EQ(ResultCode::MalformedRequest, DocumentRegister::validate(edit("a", 0, "")).error().code);
}

} // namespace
