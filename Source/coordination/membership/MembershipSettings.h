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

/// Bounds of the bytes that a control replica sends as a member, including IP and UDP headers. Members name control replicas as
/// their seeds, so when all start at once, all ask a few.
constexpr double seedGossipBytesPerSecond = 64000;
constexpr double seedGossipBurstBytes = 512000;

/// Identity of this member, and the periods, timeouts and bounds of the membership protocol.
struct MembershipSettings {
    /// Members of different deployments ignore each other.
    std::string deployment;
    NodeId node;
    /// Must increase with each start of the node, such as milliseconds since 1970.
    Incarnation incarnation;
    DataCentre dataCentre;
    /// TCP address for calls from other nodes.
    SocketAddress peerAddress;
    /// UDP address for membership datagrams.
    SocketAddress gossipAddress;
    /// Gossip addresses of some members, possibly including this one.
    std::vector<SocketAddress> seeds;

    /// Time between probes of two members, while the local health is good.
    Duration probePeriod = std::chrono::seconds(1);
    /// How long a probe waits for a direct answer before it asks other members to probe the target.
    Duration probeTimeout = std::chrono::milliseconds(300);
    /// Members asked to probe a target that did not answer directly.
    std::size_t indirectProbes = 3;
    /// Time from a suspicion to the declaration of death when enough other members confirm it.
    Duration minimumSuspicionTime = std::chrono::seconds(5);
    /// Time from a suspicion to the declaration of death when no other member confirms it.
    Duration maximumSuspicionTime = std::chrono::seconds(15);
    /// Confirmations that shorten the suspicion to its minimum time.
    std::size_t suspicionConfirmations = 3;
    /// Age of a suspicion from which on death reports of other members are accepted; a refutation has arrived by then.
    Duration refutationTime = std::chrono::seconds(3);

    /// Time between transmissions of rumors.
    Duration gossipPeriod = std::chrono::milliseconds(200);
    /// Members that receive rumors in each gossip period.
    std::size_t gossipFanout = 3;
    /// Those of them that are drawn from the own data centre, since bytes between data centres cost money.
    std::size_t localGossipFanout = 2;
    /// Transmissions of one rumor: this factor times the decimal logarithm of one more than the number of present
    /// members, which is rounded up before the multiplication.
    std::uint32_t rumorTransmissionFactor = 5;

    /// Time between digests sent to a random member, on average.
    Duration digestPeriod = std::chrono::seconds(2);
    /// One digest in this many goes to a member drawn from all data centres, the others to one in the own data centre.
    std::uint64_t digestsPerDistantDigest = 4;
    /// Number of differing members from which on the next digest follows after the repair period.
    std::size_t repairThreshold = 8;
    /// Time between digests while the last exchange found a large difference.
    Duration repairPeriod = std::chrono::milliseconds(250);
    /// Time between pings of a random dead member, on average.
    Duration reconnectPeriod = std::chrono::seconds(5);
    /// Time between digests sent to a seed that is not a present member, on average.
    Duration seedPeriod = std::chrono::seconds(10);
    /// Time between digests sent to a seed while no other member is present, on average.
    Duration joinPeriod = std::chrono::milliseconds(500);
    /// How long the records of dead members and of those that left are kept.
    Duration absentRetention = std::chrono::hours(24);
    /// A call that is later than the expected tick by more than this shows that the process was frozen.
    Duration freezeThreshold = std::chrono::seconds(2);

    /// Rate at which the budget for sent bytes is refilled, including IP and UDP headers; see GossipBudget.
    double bytesPerSecond = 8000;
    /// Size of that budget, which bounds the bytes of a burst, including IP and UDP headers.
    double burstBytes = 48000;
    /// Rate and size of a further budget, for evidence about requests that were running in crashes.
    double evidenceBytesPerSecond = 4000;
    double evidenceBurstBytes = 48000;
    /// Maximum number of records in the membership table, including those of absent members.
    std::size_t maximumMembers = 4096;
};

} // namespace Knapweedquay
