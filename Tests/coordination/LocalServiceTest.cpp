#include "coordination/presence/LocalService.h"

#include <gtest/gtest.h>

#include <vector>

using namespace Knapweedquay;

namespace {

const ServiceName dispatch("dispatch");
const ServiceName inventory("inventory");

/// What tells of a service, in the order of its arrival.
struct News {
    enum class Source { Settings,
        Announcement };

    Source source;
    ServiceName service;
};

constexpr auto settings = News::Source::Settings;
constexpr auto announcement = News::Source::Announcement;

} // namespace

// Requests named the former service of their machine for as long as its node ran.
TEST(LocalServiceTest, AddressGoesToAnotherService_InAnyOrderOfNews_ItIsNamed)
{
    struct Case {
        const char* what;
        std::vector<News> news;
        ServiceName expected;
    };
    const std::vector<Case> cases {
        { "only the settings at the start", {}, dispatch },
        { "settings first", { { announcement, dispatch }, { settings, inventory } }, inventory },
        { "settings, then the new backend server", { { announcement, dispatch }, { settings, inventory }, { announcement, inventory } }, inventory },
        { "announcement first", { { announcement, dispatch }, { announcement, inventory } }, inventory },
        { "settings that lag are read again", { { announcement, inventory }, { settings, dispatch } }, inventory },
        { "announcement, then the settings", { { announcement, inventory }, { settings, dispatch }, { settings, inventory } }, inventory },
        { "late announcement of the former backend server", { { announcement, dispatch }, { settings, inventory }, { announcement, dispatch } }, inventory },
        { "and back again", { { announcement, dispatch }, { announcement, inventory }, { announcement, dispatch } }, dispatch },
        { "settings without a service", { { announcement, dispatch }, { settings, ServiceName() } }, dispatch },
    };
    for (const Case& each : cases) {
        LocalService service(dispatch);
        for (const News& news : each.news) {
            const ServiceName before = service.name();
            const bool isChanged = news.source == settings ? service.configure(news.service) : service.announced(news.service);
            EXPECT_EQ(isChanged, service.name() != before) << each.what;
        }
        EXPECT_EQ(each.expected, service.name()) << each.what;
    }
}

TEST(LocalServiceTest, NoServiceConfigured_NoneIsNamed)
{
    LocalService service { ServiceName() };
    EXPECT_FALSE(service.announced(inventory));
    EXPECT_TRUE(service.name().value().empty());
    EXPECT_TRUE(service.configure(dispatch));
    EXPECT_EQ(dispatch, service.name());
}
