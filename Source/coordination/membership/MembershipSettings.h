#pragma once

#include "protocol/Ids.h"
#include "protocol/SocketAddress.h"
#include "protocol/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Knapweedquay {

/// Identity of a member and the times and bounds of the membership protocol.
struct MembershipSettings {
    /// Members of deployments with other names ignore each other.
    std::string deployment;
    NodeId node;
    /// Must be greater at each start of the node, such as milliseconds since 1970.
    Incarnation incarnation;
    DataCentre dataCentre;
    SocketAddress peerAddress;
    SocketAddress gossipAddress;
    /// Gossip addresses of some members; the own one may be among them.
    std::vector<SocketAddress> seeds;

    Duration probePeriod = std::chrono::seconds(1);
    /// Wait for a direct answer before other members are asked to probe.
    Duration probeTimeout = std::chrono::milliseconds(300);
    std::size_t indirectProbes = 3;
    Duration minimumSuspicionTime = std::chrono::seconds(5);
    Duration maximumSuspicionTime = std::chrono::seconds(15);
    std::size_t suspicionConfirmations = 3;
    /// Age of a suspicion at which reports of death by others are believed.
    Duration refutationTime = std::chrono::seconds(3);

    Duration gossipPeriod = std::chrono::milliseconds(200);
    /// Members told per gossip period.
    std::size_t gossipFanout = 3;
    /// Transmissions of one piece of news: this times the decimal logarithm of the number of members, rounded up.
    std::uint32_t rumorTransmissionFactor = 5;

    Duration digestPeriod = std::chrono::seconds(2);
    /// Members that differ from which on digests follow in the repair period.
    std::size_t repairThreshold = 8;
    /// Between digests while the last one showed a large difference.
    Duration repairPeriod = std::chrono::milliseconds(250);
    /// Between attempts to reach one of the members that are held to be dead.
    Duration reconnectPeriod = std::chrono::seconds(5);
    /// Between attempts to reach a seed that is not a present member.
    Duration seedPeriod = std::chrono::seconds(10);
    /// Between attempts to reach a seed while no other member is known.
    Duration joinPeriod = std::chrono::milliseconds(500);
    /// Dead members are remembered this long.
    Duration absentRetention = std::chrono::hours(24);
    /// A tick that comes later than this shows that the process was frozen.
    Duration freezeThreshold = std::chrono::seconds(2);

    /// Bytes per second, and in a burst, that may be sent; IP and UDP headers count.
    double bytesPerSecond = 8000;
    double burstBytes = 16000;
    std::size_t maximumMembers = 4096;
};

} // namespace Knapweedquay
