#include "coordination/placing/EmptiedDataCentres.h"

#include <gtest/gtest.h>

using namespace Knapweedquay;
using namespace std::chrono_literals;

TEST(EmptiedDataCentresTest, DataCentre_TakenBack_EndpointsCountAsNew)
{
    const DataCentre north("north");
    const DataCentre south("south");
    const TimePoint start(100s);
    EmptiedDataCentres emptied;
    EXPECT_EQ(start, emptied.availableSince(north, start));
    EXPECT_EQ((std::set<DataCentre> { north, south }), emptied.apply({ { north, south } }, start + 1s));
    EXPECT_TRUE(emptied.contains(north));
    EXPECT_TRUE(emptied.apply({ { north, south } }, start + 2s).empty());
    EXPECT_EQ((std::set<DataCentre> { north }), emptied.apply({ { south } }, start + 3s));
    EXPECT_FALSE(emptied.contains(north));
    EXPECT_TRUE(emptied.contains(south));
    EXPECT_EQ(start + 3s, emptied.availableSince(north, start));
    EXPECT_EQ(start + 4s, emptied.availableSince(north, start + 4s)) << "its backend server started later";
}
