#include "PeerLink/PeerMessage.h"

#include <array>
#include <exception>
#include <tuple>
#include <utility>

#include <msgpack.hpp>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "Core/Hashing.h"

namespace jacinthroad {

namespace {

constexpr std::size_t AuthenticationTagBytes = 16;
constexpr std::uint32_t FormatVersion = 1;
constexpr std::size_t MaximumArrayEntries = 512;

using AuthenticationTag = std::array<unsigned char, AuthenticationTagBytes>;

// The order of the members defines the wire format; new members are appended.
using WireQuarantine = std::tuple<std::uint64_t, std::uint8_t, std::uint8_t>;
using WireLoad = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t>;
using WireTeam = std::tuple<std::uint32_t, std::uint32_t>;
using WireStored = std::tuple<std::uint32_t, std::vector<std::uint64_t>>;
using WireIdentity = std::tuple<std::string, std::string, std::uint64_t, std::string, std::string,
                                std::uint64_t, bool>;
using WireMessage
    = std::tuple<std::uint32_t, WireIdentity, std::uint64_t, std::vector<WireQuarantine>,
                 std::vector<WireLoad>, std::vector<WireTeam>, std::vector<WireStored>>;

AuthenticationTag computeTag(std::string_view bytes, std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data(),
         &length);
    AuthenticationTag tag {};
    std::copy_n(digest.begin(), AuthenticationTagBytes, tag.begin());
    return tag;
}

WireMessage toWire(const PeerMessage &message)
{
    const PeerIdentity &self = message.identity;
    std::vector<WireQuarantine> quarantine;
    for (const QuarantineRecord &record : message.quarantine) {
        quarantine.emplace_back(record.fingerprint, record.crashes, record.exclusiveCrashes);
    }
    std::vector<WireLoad> loads;
    for (const PeerServerLoad &load : message.loads) {
        loads.emplace_back(load.server, load.inFlight, load.longJobs, load.waitingPrefill);
    }
    std::vector<WireTeam> teams;
    for (const PeerTeamLoad &team : message.teams) {
        teams.emplace_back(team.team, team.inFlight);
    }
    std::vector<WireStored> stored;
    for (const PeerStoredBlocks &entry : message.stored) {
        stored.emplace_back(entry.server, entry.keys);
    }
    return { FormatVersion,
             { self.node.text(), self.zone.text(), self.incarnation, self.address, self.operatorUrl,
               self.configurationVersion, self.leaving },
             message.sequence,
             quarantine,
             loads,
             teams,
             stored };
}

PeerMessage fromWire(const WireMessage &wire)
{
    PeerMessage message;
    const auto &[format, identity, sequence, quarantine, loads, teams, stored] = wire;
    message.identity = { .node = NodeId(std::get<0>(identity)),
                         .zone = ZoneId(std::get<1>(identity)),
                         .incarnation = std::get<2>(identity),
                         .address = std::get<3>(identity),
                         .operatorUrl = std::get<4>(identity),
                         .configurationVersion = std::get<5>(identity),
                         .leaving = std::get<6>(identity) };
    message.sequence = sequence;
    for (const auto &[fingerprint, crashes, alone] : quarantine) {
        message.quarantine.push_back(
            { .fingerprint = fingerprint, .crashes = crashes, .exclusiveCrashes = alone });
    }
    for (const auto &[server, inFlight, longJobs, waitingTokens] : loads) {
        message.loads.push_back({ .server = server,
                                  .inFlight = inFlight,
                                  .longJobs = longJobs,
                                  .waitingPrefill = waitingTokens });
    }
    for (const auto &[team, inFlight] : teams) {
        message.teams.push_back({ .team = team, .inFlight = inFlight });
    }
    for (const auto &[server, keys] : stored) {
        message.stored.push_back({ .server = server, .keys = keys });
    }
    return message;
}

std::string pack(const PeerMessage &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, toWire(message));
    return { buffer.data(), buffer.size() };
}

/// Removes some of the least important entries. Returns false if none are left to remove.
bool trimMessage(PeerMessage &message)
{
    if (!message.stored.empty()) {
        message.stored.pop_back();
        return true;
    }
    if (!message.teams.empty()) {
        message.teams.resize(message.teams.size() / 2);
        return true;
    }
    if (!message.loads.empty()) {
        message.loads.resize(message.loads.size() / 2);
        return true;
    }
    if (!message.quarantine.empty()) {
        message.quarantine.resize(message.quarantine.size() / 2);
        return true;
    }
    return false;
}

tl::unexpected<Error> datagramError(const std::string &problem)
{
    return makeError(ErrorKind::InvalidRequest, "peer datagram " + problem,
                     "Check that all nodes have the same peer key and version.");
}

} // namespace

ServerTag32 serverTag(const ServerId &server)
{
    return static_cast<ServerTag32>(hash64(server.text()));
}

std::string encodePeerMessage(PeerMessage message, std::string_view key)
{
    std::string body = pack(message);
    while (body.size() + AuthenticationTagBytes > MaximumDatagramBytes && trimMessage(message)) {
        body = pack(message);
    }
    const AuthenticationTag tag = computeTag(body, key);
    body.append(reinterpret_cast<const char *>(tag.data()), tag.size());
    return body;
}

Result<PeerMessage> decodePeerMessage(std::string_view datagram, std::string_view key)
{
    if (datagram.size() <= AuthenticationTagBytes || datagram.size() > MaximumDatagramBytes) {
        return datagramError("has " + std::to_string(datagram.size()) + " bytes");
    }
    const std::string_view body = datagram.substr(0, datagram.size() - AuthenticationTagBytes);
    const AuthenticationTag tag = computeTag(body, key);
    const std::string_view expected(reinterpret_cast<const char *>(tag.data()), tag.size());
    if (!equalConstantTime(datagram.substr(body.size()), expected)) {
        return datagramError("has an invalid authentication tag");
    }
    try {
        const auto limit = msgpack::unpack_limit(MaximumArrayEntries, 0, MaximumDatagramBytes,
                                                 MaximumDatagramBytes, MaximumDatagramBytes);
        std::size_t offset = 0;
        const msgpack::object_handle handle
            = msgpack::unpack(body.data(), body.size(), offset, nullptr, nullptr, limit);
        const auto wire = handle.get().as<WireMessage>();
        if (std::get<0>(wire) != FormatVersion || offset != body.size()) {
            return datagramError("has trailing bytes or an unsupported format version: "
                                 + std::to_string(std::get<0>(wire)));
        }
        return fromWire(wire);
    } catch (const std::exception &error) {
        return datagramError(std::string("cannot be decoded: ") + error.what());
    }
}

} // namespace jacinthroad
