#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "Core/Error.h"
#include "Core/Log.h"
#include "Core/Schema.h"
#include "Core/Time.h"

namespace jacinthroad {

/// The settings of one node, read from its settings file.
struct NodeSettings
{
    std::string name;
    std::string zone;

    std::string address = "127.0.0.1";
    std::uint16_t callerPort = 0;
    std::uint16_t operatorPort = 0;
    std::uint16_t peerPort = 0;

    std::string platformUrl;
    Duration platformTimeout = std::chrono::seconds(2);
    Duration vmPoll = std::chrono::seconds(1);

    /// `IP:port` of the peers to contact first.
    std::vector<std::string> peers;
    std::string peerKey;
    Duration peerInterval = milliseconds(200);
    std::uint32_t peerBytesPerSecond = 8000;
    /// One in this many cached block keys is sent to peers; 0 sends none.
    std::uint32_t sampleOneIn = 16;

    std::string operatorKeySha256;

    unsigned trafficThreads = 1;
    std::size_t maximumBodyBytes = 4 * 1024 * 1024;
    std::size_t maximumHeaderBytes = 32 * 1024;
    std::size_t streamBufferBytes = 64 * 1024;
    /// Memory that requests and responses may take together until they are passed on.
    std::size_t responseMemoryBytes = 128 * 1024 * 1024;
    unsigned maximumConnections = 4096;
    unsigned idleTimeoutSeconds = 30;

    std::string policy = "default";
    Duration tick = milliseconds(10);
    Duration stallMinimum = std::chrono::seconds(2);
    Duration hedgeMinimum = milliseconds(400);
    Duration drainLag = std::chrono::seconds(3);

    LogOptions log;

    /// Initial configuration, written when the platform has none; null to write none.
    Json::Value configuration;
};

/// The schema of a settings file.
[[nodiscard]] const ObjectSchema &nodeSettingsSchema();

/// Every error in the text of a settings file, each as one line `FILE:LINE: field 'PATH': ...`.
[[nodiscard]] std::vector<std::string> checkNodeSettings(std::string_view text,
                                                         std::string_view fileName);

/// Parses the text of a settings file; the error joins the lines of checkNodeSettings().
[[nodiscard]] Result<NodeSettings> readNodeSettings(std::string_view text,
                                                    std::string_view fileName);

} // namespace jacinthroad
