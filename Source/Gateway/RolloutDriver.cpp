#include "Gateway/RolloutDriver.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>

#include "Core/Hashing.h"
#include "Core/Log.h"
#include "Core/WallClock.h"
#include "Gateway/BootClock.h"
#include "Gateway/LeaseObject.h"
#include "Gateway/Pause.h"
#include "Gateway/RestartingTask.h"
#include "platform/Orders.h"
#include "platform/ServerWire.h"

namespace jacinthroad {

namespace asio = boost::asio;
using platform::OrderResponse;
using platform::StoreStatus;

namespace {

constexpr const char *LeaseName = "weights";
/// Period of the planner while servers have to load weights, and otherwise.
constexpr Duration BusyPeriod = milliseconds(50);
constexpr Duration IdlePeriod = milliseconds(200);
/// The handover time divided by these gives how long one write of the lease is valid and after
/// which time the holder renews it.
constexpr int ValidityDivisor = 2;
constexpr int RenewalDivisor = 4;
/// Added to the handover time for calls that are still in progress.
constexpr Duration HandoverMargin = milliseconds(500);
/// The validity divided by this gives the time before its end in which no order is sent.
constexpr int OrderMarginDivisor = 5;
/// Nodes spread their first requests for the lease over this time.
constexpr std::int64_t RequestSpreadMs = 400;
/// How often a node that waits for the lease reads the lease object.
constexpr Duration LeaseReadPeriod = milliseconds(1500);
constexpr Duration LeaseTimeout = milliseconds(900);
constexpr Duration OrderTimeout = milliseconds(700);
/// Longest time for which a server stays cordoned if it does not report its new weights.
constexpr Duration CordonLimit = milliseconds(3500);
/// Delay of the first poll for a finished load, period of the further ones and total time. A load
/// takes one or two seconds, and longer alongside other loads.
constexpr Duration FirstReportDelay = milliseconds(1200);
constexpr Duration ReportPollPeriod = milliseconds(150);
constexpr Duration LoadWaitLimit = std::chrono::seconds(7);
/// A server may start an order that got no response up to 12 s later, according to the platform's
/// list of known faults; until then its state is polled with this period.
constexpr Duration LateStartLimit = std::chrono::seconds(12);
constexpr Duration LateStartPollPeriod = milliseconds(400);

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

std::string_view causeName(LeaseWait::Cause cause)
{
    switch (cause) {
    case LeaseWait::Cause::OtherHolder:
        return "other_holder";
    case LeaseWait::Cause::UnreadableRecord:
        return "unreadable_record";
    case LeaseWait::Cause::LostRecord:
        break;
    }
    return "lost_record";
}

} // namespace

RolloutDriver::RolloutDriver(asio::io_context &context, StoreClient &store, Options options,
                             CordonServer cordonServer, UncordonServer uncordonServer,
                             DesiredAgesHandler desiredAgesHandler,
                             StatementHandler statementHandler)
    : context_(context)
    , store_(store)
    , options_(std::move(options))
    , cordonServer_(std::move(cordonServer))
    , uncordonServer_(std::move(uncordonServer))
    , desiredAgesHandler_(std::move(desiredAgesHandler))
    , statementHandler_(std::move(statementHandler))
    , lease_({ .holderId = holderName(options_),
               .address = options_.address,
               .validity = options_.lease / ValidityDivisor,
               .handover = options_.lease + HandoverMargin,
               .renewAfter = options_.lease / RenewalDivisor })
    , planner_({})
{ }

Duration RolloutDriver::orderMargin() const
{
    return options_.lease / ValidityDivisor / OrderMarginDivisor;
}

void RolloutDriver::applyServers(const std::vector<ListedServer> &servers)
{
    std::map<ServerId, ListedServer> listed;
    for (const ListedServer &server : servers) {
        const auto before = servers_.find(server.id);
        if (before == servers_.end() || before->second.bootedAt != server.bootedAt) {
            observedVersions_.erase(server.id);
        }
        listed[server.id] = server;
    }
    std::erase_if(observedVersions_,
                  [&](const auto &entry) { return !listed.contains(entry.first); });
    std::erase_if(inFlight_, [&](const auto &entry) { return !listed.contains(entry.first); });
    std::erase_if(withheld_, [&](const ServerId &id) { return !listed.contains(id); });
    std::erase_if(orderCounts_, [&](const auto &entry) { return !listed.contains(entry.first); });
    servers_ = std::move(listed);
}

void RolloutDriver::applyDesiredWeights(const DesiredWeights &named)
{
    WeightsVersion &version = desired_[named.model];
    version = std::max(version, named.version);
    history_.recordDesired(named, std::chrono::steady_clock::now());
}

void RolloutDriver::mergeDesiredAges(std::span<const DesiredWeightsAge> ages)
{
    history_.mergeAges(ages, std::chrono::steady_clock::now());
}

std::vector<DesiredWeightsAge> RolloutDriver::desiredAges() const
{
    return history_.ages(std::chrono::steady_clock::now());
}

void RolloutDriver::noteVersion(const ServerId &id, const ModelId &model, WeightsVersion version)
{
    if (servers_.contains(id)) {
        WeightsVersion &seen = observedVersions_[id][model];
        seen = std::max(seen, version);
    }
}

void RolloutDriver::noteInFlight(const ServerId &id, unsigned inFlight)
{
    if (servers_.contains(id)) {
        inFlight_[id] = inFlight;
    }
}

void RolloutDriver::notePermission(const ServerId &id, const SendPermission &permission)
{
    if (permission.allowed()) {
        withheld_.erase(id);
    } else if (servers_.contains(id)) {
        withheld_.insert(id);
    }
}

void RolloutDriver::noteStatement(const ServerInstance &server, const CallResponse &response)
{
    ServerStatement statement
        = platform::readServerStatement(response.headers, response.status, wallMilliseconds());
    // Only responses to requests surely name a limit that still holds.
    statement.rejection = true;
    statementHandler_(server, statement);
}

ServerInstance RolloutDriver::instanceOf(const ServerId &id) const
{
    const auto server = servers_.find(id);
    return server == servers_.end() ? ServerInstance() : server->second.instance();
}

std::vector<RolloutServer> RolloutDriver::plannerServers() const
{
    std::vector<RolloutServer> entries;
    for (const auto &[id, server] : servers_) {
        const auto seen = observedVersions_.find(id);
        const auto inFlight = inFlight_.find(id);
        for (const auto &[model, listed] : server.models) {
            WeightsVersion version = listed;
            if (seen != observedVersions_.end() && seen->second.contains(model)) {
                version = std::max(version, seen->second.at(model));
            }
            entries.push_back({ .id = id,
                                .model = model,
                                .version = version,
                                .bootedAt = server.bootedAt,
                                .leaving = server.leaving,
                                .inFlight = inFlight == inFlight_.end() ? 0 : inFlight->second });
        }
    }
    return entries;
}

asio::awaitable<void> RolloutDriver::run()
{
    for (;;) {
        co_await step();
        co_await pauseFor(context_, leaseWanted_ || holdsLease_ ? BusyPeriod : IdlePeriod);
    }
}

void RolloutDriver::followEra()
{
    lease_.enterEra(store_.era().value_or(0), bootNow());
}

asio::awaitable<void> RolloutDriver::step()
{
    followEra();
    const std::vector<RolloutServer> servers = plannerServers();
    const BootInstant now = bootNow();
    const bool goesOn = lease_.wasLastHolder() || lease_.followsHolder();
    const bool eligible
        = !leaseReleased_ && (holdsLease_ || (!draining_ && (candidate_ || goesOn)));
    const bool work = eligible && RolloutPlanner::hasOutdatedServers(servers, desired_);
    if (work && !leaseWanted_) {
        const auto spread = static_cast<std::int64_t>(
            hash64(options_.node) % static_cast<std::uint64_t>(RequestSpreadMs));
        requestFrom_ = now + milliseconds(spread);
    }
    leaseWanted_ = work;
    const bool requestsLease = work && (goesOn || requestFrom_ <= now);
    const bool readsLease = requestsLease && !lease_.wasLastHolder();
    if (readsLease || !leaseRead_) {
        co_await readLeaseObject();
    }
    if (requestsLease) {
        logLeaseWait(bootNow());
    }
    co_await writeLease(requestsLease);
    followEra();
    const BootInstant after = bootNow();
    const bool holds = lease_.holds(after + orderMargin());
    if (holds != holdsLease_) {
        holdsLease_ = holds;
        planner_.reset();
        logLine(LogLevel::Info, holds ? "lease_taken" : "lease_left",
                { { "lease", LeaseName }, { "token", static_cast<std::int64_t>(lease_.token()) } });
    }
    if (!holds || !work) {
        co_return;
    }
    // Servers that must not be called now keep the lease, and get no order.
    std::vector<RolloutServer> callable = servers;
    for (RolloutServer &server : callable) {
        server.leaving = server.leaving || withheld(server.id);
    }
    for (const RolloutStep &next :
         planner_.plan(callable, desired_, std::chrono::steady_clock::now())) {
        if (next.action == RolloutStep::Action::Drain) {
            cordonServer_(next.server, next.model, next.version, CordonLimit);
        } else {
            asio::co_spawn(context_, executeOrder(next),
                           [this, server = next.server](const std::exception_ptr &exception) {
                               if (exception != nullptr) {
                                   logFailure("order")(exception);
                                   planner_.noteOrderOutcome(server, OrderOutcome::Unknown,
                                                             std::chrono::steady_clock::now());
                               }
                           });
        }
    }
}

void RolloutDriver::logLeaseWait(BootInstant now)
{
    const auto wait = lease_.waitAt(now);
    const std::string holder = lease_.recordedHolder();
    const bool logged = wait.has_value() == loggedWait_.has_value()
        && (!wait.has_value() || (wait->cause == loggedWait_->cause && holder == loggedHolder_));
    loggedWait_ = wait;
    loggedHolder_ = holder;
    if (logged || !wait.has_value()) {
        return;
    }
    logLine(LogLevel::Info, "lease_waits",
            { { "lease", LeaseName },
              { "cause", causeName(wait->cause) },
              { "holder", holder },
              { "wait_ms", toMilliseconds(wait->until - now) } });
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
        applyLeaseObject({}, 0);
    } else if (reply->status == StoreStatus::Done) {
        const auto object = platform::readObject(reply->body);
        if (object.has_value()) {
            applyLeaseObject(object->spec, object->revision);
        }
    }
}

void RolloutDriver::applyLeaseObject(const Json::Value &spec, std::uint64_t revision)
{
    const std::optional<LeaseRecord> record = readLease(spec);
    storedLease_ = record.has_value() ? spec : Json::Value();
    leaseRead_ = true;
    followEra();
    lease_.observe(record, revision, bootNow());
    if (record.has_value() && !record->desiredWeightsAges.empty()) {
        desiredAgesHandler_(record->desiredWeightsAges);
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
    const auto *replace = std::get_if<ReplaceLease>(&*write);
    const Json::Value spec = leaseSpec(record, replace == nullptr ? Json::Value() : storedLease_);
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
    followEra();
    if (reply->status == StoreStatus::Done) {
        storedLease_ = spec;
        lease_.noteWritten(record, object->revision, reply->sentAt);
    } else {
        applyLeaseObject(object->spec, object->revision);
    }
}

asio::awaitable<Result<platform::ServerReport>> RolloutDriver::fetchReport(ControlClient &caller,
                                                                           ServerInstance server)
{
    const auto reply = co_await caller.call(platform::reportCall(), {}, OrderTimeout);
    if (!reply.has_value()) {
        co_return tl::make_unexpected(reply.error());
    }
    noteStatement(server, *reply);
    co_return platform::readReport(reply->body);
}

asio::awaitable<void> RolloutDriver::executeOrder(RolloutStep step)
{
    const auto server = servers_.find(step.server);
    if (server == servers_.end()) {
        co_return;
    }
    cordonServer_(step.server, step.model, step.version, CordonLimit);
    ControlClient caller(context_, server->second.address, ConnectionUse::OnePerCall,
                         store_.memory(), BodyKind::Response, MaxServerResponseBytes);
    const unsigned number = ++orderCounts_[step.server];
    OrderOutcome outcome = withheld(step.server) ? OrderOutcome::Rejected : OrderOutcome::Unknown;
    if (outcome == OrderOutcome::Unknown) {
        const auto state = co_await fetchReport(caller, server->second.instance());
        if (state.has_value()) {
            outcome = co_await sendOrder(caller, step, *state);
        }
    }
    planner_.noteOrderOutcome(step.server, outcome, std::chrono::steady_clock::now());
    if (outcome == OrderOutcome::Accepted) {
        co_await awaitLoad(caller, step);
        co_return;
    }
    cordonServer_(step.server, step.model, step.version, Duration::zero());
    if (outcome == OrderOutcome::Unknown) {
        co_await awaitLateStart(caller, step, number);
    }
}

asio::awaitable<OrderOutcome> RolloutDriver::sendOrder(ControlClient &caller,
                                                       const RolloutStep &step,
                                                       platform::ServerReport state)
{
    const auto loaded = state.models.find(step.model);
    if (loaded != state.models.end()) {
        noteVersion(step.server, step.model, loaded->second);
        if (loaded->second >= step.version) {
            co_return OrderOutcome::AlreadyLoaded;
        }
    }
    if (state.busy) {
        // It is executing an earlier order that got no response, or one of another holder.
        co_return OrderOutcome::Accepted;
    }
    followEra();
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
    if (reply.has_value()) {
        noteStatement(instanceOf(step.server), *reply);
    }
    const OrderOutcome outcome = reply.has_value()
        ? outcomeOf(platform::readOrderResponse(reply->status))
        : OrderOutcome::Unknown;
    if (outcome == OrderOutcome::AlreadyLoaded) {
        noteVersion(step.server, step.model, step.version);
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

std::optional<WeightsVersion> RolloutDriver::uncordonIfLoaded(const platform::ServerReport &report,
                                                              const RolloutStep &step)
{
    const auto loaded = report.models.find(step.model);
    if (loaded == report.models.end() || loaded->second < step.version) {
        return std::nullopt;
    }
    noteVersion(step.server, step.model, loaded->second);
    uncordonServer_(step.server, step.model, loaded->second);
    return loaded->second;
}

asio::awaitable<void> RolloutDriver::awaitLoad(ControlClient &caller, const RolloutStep &step)
{
    const Instant began = std::chrono::steady_clock::now();
    Duration wait = FirstReportDelay;
    while (std::chrono::steady_clock::now() - began < LoadWaitLimit) {
        co_await pauseFor(context_, wait);
        wait = ReportPollPeriod;
        if (withheld(step.server)) {
            continue;
        }
        const auto state = co_await fetchReport(caller, instanceOf(step.server));
        if (!state.has_value()) {
            continue;
        }
        const auto loaded = uncordonIfLoaded(*state, step);
        if (loaded.has_value()) {
            logLine(LogLevel::Info, "loaded",
                    { { "server", step.server.text() },
                      { "version", std::int64_t { *loaded } },
                      { "after_ms", toMilliseconds(std::chrono::steady_clock::now() - began) } });
            co_return;
        }
        if (!state->busy) {
            // It has restarted with its old weights or has loaded other ones.
            planner_.noteOrderOutcome(step.server, OrderOutcome::Rejected,
                                      std::chrono::steady_clock::now());
            cordonServer_(step.server, step.model, step.version, Duration::zero());
            co_return;
        }
    }
}

asio::awaitable<void> RolloutDriver::awaitLateStart(ControlClient &caller, const RolloutStep &step,
                                                    unsigned number)
{
    const Instant began = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - began < LateStartLimit) {
        co_await pauseFor(context_, LateStartPollPeriod);
        if (withheld(step.server)) {
            continue;
        }
        const auto state = co_await fetchReport(caller, instanceOf(step.server));
        if (orderCounts_[step.server] != number) {
            co_return;
        }
        if (!state.has_value()) {
            continue;
        }
        if (uncordonIfLoaded(*state, step).has_value()) {
            co_return;
        }
        if (state->busy) {
            logLine(LogLevel::Info, "late_load",
                    { { "server", step.server.text() },
                      { "after_ms", toMilliseconds(std::chrono::steady_clock::now() - began) } });
            planner_.noteOrderOutcome(step.server, OrderOutcome::Accepted,
                                      std::chrono::steady_clock::now());
            cordonServer_(step.server, step.model, step.version, CordonLimit);
            co_await awaitLoad(caller, step);
            co_return;
        }
    }
}

} // namespace jacinthroad
