#include "Gateway/RolloutDriver.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Core/Hashing.h"
#include "Core/Log.h"
#include "Gateway/BootClock.h"
#include "Gateway/LeaseObject.h"
#include "Gateway/Pause.h"
#include "platform/Orders.h"

namespace jacinthroad {

namespace asio = boost::asio;
using platform::OrderResponse;
using platform::StoreStatus;

namespace {

constexpr const char *LeaseName = "weights";
/// Period of the planner while there is work, and while there is none.
constexpr Duration BusyPeriod = milliseconds(50);
constexpr Duration IdlePeriod = milliseconds(200);
/// Part of the time between holders that one write of the lease is good for, and after which it is
/// renewed.
constexpr int ValidityPart = 2;
constexpr int RenewPart = 4;
/// Added to the time between holders for calls that are under way.
constexpr Duration HandoverMargin = milliseconds(500);
/// Part of the validity before its end in which no order leaves any more.
constexpr int OrderMarginPart = 5;
/// Nodes spread their first try for the lease over this time.
constexpr std::int64_t AskSpreadMs = 400;
/// How often a node that waits for the lease looks at it.
constexpr Duration LeaseReadPeriod = milliseconds(1500);
constexpr Duration LeaseTimeout = milliseconds(900);
constexpr Duration OrderTimeout = milliseconds(700);
/// New work stays off a server for this long at most, unless it tells of its new weights before.
constexpr Duration CloseLimit = milliseconds(3500);
/// When a load is asked after first, how often then, and for how long: a load takes one or two
/// seconds, more beside others.
constexpr Duration FirstReport = milliseconds(1200);
constexpr Duration ReportPeriod = milliseconds(150);
constexpr Duration ReportLimit = std::chrono::seconds(7);
/// An order that got no answer may be carried out this much later (the platform's list of troubles
/// says 12 s); its server is asked this often whether it has begun.
constexpr Duration UnansweredLimit = std::chrono::seconds(12);
constexpr Duration UnansweredPeriod = milliseconds(400);

std::string holderName(const RolloutDriver::Options &options)
{
    return options.node + "/" + std::to_string(options.boot);
}

OrderOutcome outcomeOf(OrderResponse answer)
{
    switch (answer) {
    case OrderResponse::Accepted:
        return OrderOutcome::Accepted;
    case OrderResponse::AlreadyAtVersion:
        return OrderOutcome::AlreadyLoaded;
    case OrderResponse::Failed:
        return OrderOutcome::Unknown;
    default:
        return OrderOutcome::Rejected;
    }
}

std::string_view outcomeName(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::AlreadyLoaded:
        return "already_holds";
    case OrderOutcome::Rejected:
        return "refused";
    case OrderOutcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

RolloutDriver::RolloutDriver(asio::io_context &context, StoreClient &store, Options options,
                             CloseServer closeServer, OpenServer openServer,
                             TakeNamedAges takeNamedAges)
    : context_(context)
    , store_(store)
    , options_(std::move(options))
    , closeServer_(std::move(closeServer))
    , openServer_(std::move(openServer))
    , takeNamedAges_(std::move(takeNamedAges))
    , lease_({ .holderId = holderName(options_),
               .validity = options_.lease / ValidityPart,
               .handover = options_.lease + HandoverMargin,
               .renewAfter = options_.lease / RenewPart })
    , planner_({})
{ }

Duration RolloutDriver::orderMargin() const
{
    return options_.lease / ValidityPart / OrderMarginPart;
}

void RolloutDriver::applyServers(const std::vector<ListedServer> &servers)
{
    std::map<ServerId, ListedServer> listed;
    for (const ListedServer &server : servers) {
        const auto before = servers_.find(server.id);
        if (before == servers_.end() || before->second.bootedAt != server.bootedAt) {
            seen_.erase(server.id);
        }
        listed[server.id] = server;
    }
    std::erase_if(seen_, [&](const auto &entry) { return !listed.contains(entry.first); });
    std::erase_if(inFlight_, [&](const auto &entry) { return !listed.contains(entry.first); });
    std::erase_if(orders_, [&](const auto &entry) { return !listed.contains(entry.first); });
    servers_ = std::move(listed);
}

void RolloutDriver::applyNamedWeights(const NamedWeights &named)
{
    WeightsVersion &version = named_[named.model];
    version = std::max(version, named.version);
    history_.take(named, std::chrono::steady_clock::now());
}

void RolloutDriver::noteServer(const ServerId &id, const ModelId &model, WeightsVersion version)
{
    if (servers_.contains(id)) {
        WeightsVersion &seen = seen_[id][model];
        seen = std::max(seen, version);
    }
}

void RolloutDriver::noteInFlight(const ServerId &id, unsigned inFlight)
{
    if (servers_.contains(id)) {
        inFlight_[id] = inFlight;
    }
}

std::vector<RolloutServer> RolloutDriver::view() const
{
    std::vector<RolloutServer> view;
    for (const auto &[id, server] : servers_) {
        const auto seen = seen_.find(id);
        const auto inFlight = inFlight_.find(id);
        for (const auto &[model, listed] : server.models) {
            WeightsVersion version = listed;
            if (seen != seen_.end() && seen->second.contains(model)) {
                version = std::max(version, seen->second.at(model));
            }
            view.push_back({ .id = id,
                             .model = model,
                             .version = version,
                             .bootedAt = server.bootedAt,
                             .leaving = server.leaving,
                             .inFlight = inFlight == inFlight_.end() ? 0 : inFlight->second });
        }
    }
    return view;
}

asio::awaitable<void> RolloutDriver::run()
{
    for (;;) {
        co_await step();
        co_await pauseFor(context_, wanted_ || held_ ? BusyPeriod : IdlePeriod);
    }
}

asio::awaitable<void> RolloutDriver::step()
{
    const std::vector<RolloutServer> servers = view();
    const BootInstant now = bootNow();
    const bool mayHold = !finished_ && (held_ || (!stopping_ && candidate_));
    const bool work = mayHold && RolloutPlanner::hasOutdatedServers(servers, named_);
    if (work && !wanted_) {
        const auto spread = static_cast<std::int64_t>(hash64(options_.node)
                                                      % static_cast<std::uint64_t>(AskSpreadMs));
        askFrom_ = now + (lease_.wasLastHolder() ? Duration::zero() : milliseconds(spread));
    }
    wanted_ = work;
    const bool asks = work && askFrom_ <= now;
    const bool watches = asks && !lease_.wasLastHolder();
    if (watches || !leaseRead_) {
        co_await readLeaseObject();
    }
    co_await writeLease(asks);
    const BootInstant after = bootNow();
    const bool holds = lease_.holds(after + orderMargin());
    if (holds != held_) {
        held_ = holds;
        planner_.reset();
        logLine(LogLevel::Info, holds ? "lease_taken" : "lease_left",
                { { "lease", LeaseName }, { "token", static_cast<std::int64_t>(lease_.token()) } });
    }
    if (!holds || !work) {
        co_return;
    }
    for (const RolloutStep &next :
         planner_.plan(servers, named_, std::chrono::steady_clock::now())) {
        if (next.action == RolloutStep::Action::Drain) {
            closeServer_(next.server, next.model, next.version, CloseLimit);
        } else {
            asio::co_spawn(context_, order(next), asio::detached);
        }
    }
}

asio::awaitable<void> RolloutDriver::readLeaseObject()
{
    const BootInstant now = bootNow();
    if (leaseReadAt_.has_value() && now - *leaseReadAt_ < LeaseReadPeriod) {
        co_return;
    }
    leaseReadAt_ = now;
    const auto reply = co_await store_.call(
        platform::readCall(platform::ObjectKind::Leases, LeaseName), LeaseTimeout);
    if (!reply.has_value()) {
        co_return;
    }
    if (reply->status == StoreStatus::Missing) {
        observe(std::nullopt, 0);
    } else if (reply->status == StoreStatus::Done) {
        const auto object = platform::readObject(reply->body);
        if (object.has_value()) {
            observe(readLease(object->spec), object->revision);
        }
    }
}

void RolloutDriver::observe(const std::optional<LeaseRecord> &record, std::uint64_t revision)
{
    leaseRead_ = true;
    lease_.observe(record, revision, bootNow());
    if (record.has_value() && !record->desiredWeightsAges.empty()) {
        history_.takeAges(record->desiredWeightsAges, std::chrono::steady_clock::now());
        takeNamedAges_(record->desiredWeightsAges);
    }
}

asio::awaitable<void> RolloutDriver::writeLease(bool wanted)
{
    const auto write = lease_.nextWrite(wanted, bootNow());
    if (!write.has_value()) {
        co_return;
    }
    LeaseRecord record = std::visit([](const auto &one) { return one.record; }, *write);
    record.desiredWeightsAges = history_.ages(std::chrono::steady_clock::now());
    const Json::Value spec = leaseSpec(record);
    const auto *replace = std::get_if<ReplaceLease>(&*write);
    platform::Call call = replace == nullptr
        ? platform::createCall(platform::ObjectKind::Leases, LeaseName, spec)
        : platform::replaceCall(platform::ObjectKind::Leases, LeaseName, replace->revision, spec);
    const auto reply = co_await store_.call(std::move(call), LeaseTimeout);
    if (!reply.has_value()
        || (reply->status != StoreStatus::Done && reply->status != StoreStatus::Conflict)) {
        co_return;
    }
    const auto object = platform::readObject(reply->body);
    if (!object.has_value()) {
        co_return;
    }
    if (reply->status == StoreStatus::Done) {
        lease_.noteWritten(record, object->revision, reply->sentAt);
    } else {
        observe(readLease(object->spec), object->revision);
    }
}

asio::awaitable<Result<platform::ServerReport>> RolloutDriver::report(HttpCaller &caller)
{
    const auto reply = co_await caller.call(platform::reportCall(), {}, OrderTimeout);
    if (!reply.has_value()) {
        co_return tl::make_unexpected(reply.error());
    }
    co_return platform::readReport(reply->body);
}

asio::awaitable<void> RolloutDriver::order(RolloutStep step)
{
    const auto server = servers_.find(step.server);
    if (server == servers_.end()) {
        co_return;
    }
    closeServer_(step.server, step.model, step.version, CloseLimit);
    HttpCaller caller(context_, server->second.address);
    const unsigned number = ++orders_[step.server];
    OrderOutcome outcome = OrderOutcome::Unknown;
    const auto state = co_await report(caller);
    if (state.has_value()) {
        outcome = co_await give(caller, step, *state);
    }
    planner_.noteOrderOutcome(step.server, outcome, std::chrono::steady_clock::now());
    if (outcome == OrderOutcome::Accepted) {
        co_await awaitLoad(caller, step);
        co_return;
    }
    closeServer_(step.server, step.model, step.version, Duration::zero());
    if (outcome == OrderOutcome::Unknown) {
        co_await awaitLateStart(caller, step, number);
    }
}

asio::awaitable<OrderOutcome> RolloutDriver::give(HttpCaller &caller, const RolloutStep &step,
                                                  platform::ServerReport state)
{
    const auto loaded = state.models.find(step.model);
    if (loaded != state.models.end()) {
        noteServer(step.server, step.model, loaded->second);
        if (loaded->second >= step.version) {
            co_return OrderOutcome::AlreadyLoaded;
        }
    }
    if (state.busy) {
        // It carries out an order that got no answer, or another holder's.
        co_return OrderOutcome::Accepted;
    }
    if (!lease_.holds(bootNow() + orderMargin())) {
        co_return OrderOutcome::Rejected;
    }
    const platform::LoadOrder order { .server = step.server,
                                      .model = step.model,
                                      .version = step.version,
                                      .mode = platform::LoadMode::Keep,
                                      .holder = options_.node,
                                      .token = lease_.token(),
                                      .acceptedOrders = state.acceptedOrders };
    boost::beast::http::fields headers;
    platform::setOrderHeaders(headers, order);
    const auto reply
        = co_await caller.call(platform::orderCall(order), std::move(headers), OrderTimeout);
    const OrderOutcome outcome = reply.has_value()
        ? outcomeOf(platform::readOrderResponse(reply->status))
        : OrderOutcome::Unknown;
    if (outcome == OrderOutcome::AlreadyLoaded) {
        noteServer(step.server, step.model, step.version);
    }
    logLine(LogLevel::Info, "order",
            { { "server", step.server.text() },
              { "model", step.model.text() },
              { "version", std::int64_t { step.version } },
              { "token", static_cast<std::int64_t>(order.token) },
              { "accepted_orders", static_cast<std::int64_t>(state.acceptedOrders) },
              { "outcome", outcomeName(outcome) },
              { "status", reply.has_value() ? std::int64_t { reply->status } : 0 } });
    co_return outcome;
}

std::optional<WeightsVersion> RolloutDriver::takeLoaded(const platform::ServerReport &report,
                                                        const RolloutStep &step)
{
    const auto loaded = report.models.find(step.model);
    if (loaded == report.models.end() || loaded->second < step.version) {
        return std::nullopt;
    }
    noteServer(step.server, step.model, loaded->second);
    openServer_(step.server, step.model, loaded->second);
    return loaded->second;
}

asio::awaitable<void> RolloutDriver::awaitLoad(HttpCaller &caller, const RolloutStep &step)
{
    const Instant began = std::chrono::steady_clock::now();
    Duration wait = FirstReport;
    while (std::chrono::steady_clock::now() - began < ReportLimit) {
        co_await pauseFor(context_, wait);
        wait = ReportPeriod;
        const auto state = co_await report(caller);
        if (!state.has_value()) {
            continue;
        }
        const auto loaded = takeLoaded(*state, step);
        if (loaded.has_value()) {
            logLine(LogLevel::Info, "loaded",
                    { { "server", step.server.text() },
                      { "version", std::int64_t { *loaded } },
                      { "after_ms", toMilliseconds(std::chrono::steady_clock::now() - began) } });
            co_return;
        }
        if (!state->busy) {
            // It has started again with its old weights, or has loaded others.
            planner_.noteOrderOutcome(step.server, OrderOutcome::Rejected,
                                      std::chrono::steady_clock::now());
            closeServer_(step.server, step.model, step.version, Duration::zero());
            co_return;
        }
    }
}

asio::awaitable<void> RolloutDriver::awaitLateStart(HttpCaller &caller, const RolloutStep &step,
                                                    unsigned number)
{
    const Instant began = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - began < UnansweredLimit) {
        co_await pauseFor(context_, UnansweredPeriod);
        const auto state = co_await report(caller);
        if (orders_[step.server] != number) {
            co_return;
        }
        if (!state.has_value()) {
            continue;
        }
        if (takeLoaded(*state, step).has_value()) {
            co_return;
        }
        if (state->busy) {
            logLine(LogLevel::Info, "late_load",
                    { { "server", step.server.text() },
                      { "after_ms", toMilliseconds(std::chrono::steady_clock::now() - began) } });
            planner_.noteOrderOutcome(step.server, OrderOutcome::Accepted,
                                      std::chrono::steady_clock::now());
            closeServer_(step.server, step.model, step.version, CloseLimit);
            co_await awaitLoad(caller, step);
            co_return;
        }
    }
}

} // namespace jacinthroad
