#include "Node/NodeMetrics.h"

#include <map>

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace jacinthroad {

NodeMetrics::NodeMetrics()
    : registry_(std::make_shared<prometheus::Registry>())
{ }

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::set(const std::string &name, const std::string &help, double value)
{
    prometheus::BuildGauge()
        .Name("jacinthroad_" + name)
        .Help(help)
        .Register(*registry_)
        .Add({})
        .Set(value);
}

void NodeMetrics::renderLedger(const Ledger &ledger)
{
    std::map<ModelId, LedgerLine> byModel;
    for (const auto &[key, line] : ledger.lines()) {
        byModel[key.second] += line;
    }
    auto &prompt = prometheus::BuildGauge()
                       .Name("jacinthroad_prompt_tokens_total")
                       .Help("Prompt tokens by where they came from")
                       .Register(*registry_);
    auto &output = prometheus::BuildGauge()
                       .Name("jacinthroad_output_tokens_total")
                       .Help("Output tokens delivered")
                       .Register(*registry_);
    for (const auto &[model, line] : byModel) {
        const std::string &name = model.text();
        const auto setSource = [&](const std::string &source, std::uint64_t tokens) {
            prompt.Add({ { "model", name }, { "source", source } })
                .Set(static_cast<double>(tokens));
        };
        setSource("reused", line.reused);
        setSource("first_time", line.firstTime);
        for (std::size_t index = 0; index < RecomputeReasonCount; ++index) {
            const auto reason = static_cast<RecomputeReason>(index);
            setSource("recomputed_" + std::string(recomputeReasonName(reason)),
                      line.recomputed[index]);
        }
        output.Add({ { "model", name } }).Set(static_cast<double>(line.decoded));
    }
}

std::string NodeMetrics::render(const Dispatcher &dispatcher, const NodeGauges &gauges)
{
    const DispatcherCounters &counters = dispatcher.counters();
    const auto number = [](auto value) { return static_cast<double>(value); };
    set("requests_arrived_total", "Requests for models that arrived", number(counters.arrived));
    set("requests_finished_total", "Requests answered whole", number(counters.finished));
    set("requests_refused_total", "Requests refused", number(counters.refused));
    set("retries_total", "Second and later attempts after a failure", number(counters.retries));
    set("hedges_total", "Second attempts beside a slow first one", number(counters.hedges));
    set("stalled_streams_total", "Streams taken for dead", number(counters.stalls));
    set("crossed_streams_total", "Streams ended for a foreign event", number(counters.crossed));
    set("demotions_total", "Jobs found longer than expected", number(counters.demotions));
    set("requests_open", "Requests under way or waiting", number(dispatcher.openRequests()));
    set("requests_waiting", "Requests waiting in this node", number(dispatcher.queuedRequests()));
    set("prefix_index_blocks", "Block keys held", number(dispatcher.index().size()));
    set("prefix_index_bytes", "Memory of the prefix index",
        number(dispatcher.index().memoryBytes()));
    set("configuration_version", "Version in force", number(gauges.configurationVersion));
    set("platform_calls_total", "Calls to the platform", number(gauges.platformCalls));
    set("platform_up", "1 while the platform answers", gauges.platformUp ? 1 : 0);
    set("peer_bytes_total", "Bytes sent to peers", number(gauges.peerBytes));
    set("peers_alive", "Nodes that serve, this one included", number(gauges.peersAlive));
    set("claims_unwritten", "Claims and results not yet written", number(gauges.unwrittenClaims));
    set("received_bytes", "Memory of the data that was received and not yet passed on",
        number(gauges.receivedBytes));
    set("received_bytes_limit", "Memory that received data may take",
        number(gauges.receivedBytesLimit));
    set("control_cpu_seconds_total", "Processor time of the control thread",
        gauges.controlCpuSeconds);
    renderLedger(dispatcher.ledger());
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace jacinthroad
