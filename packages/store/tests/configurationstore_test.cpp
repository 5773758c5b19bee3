#include "bilberry/store/configurationstore.h"
#include "bilberry/store/httpobjectstore.h"
#include "support/platformstandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <optional>

using namespace bilberry;
using namespace bilberry::store;

namespace {

/// Fault of one write of the head object.
enum class HeadWriteFault {
    None,
    RequestLost,       ///< no effect, no response
    ResponseLost,      ///< takes effect, no response
    RequestDelayed,    ///< takes effect after the next write's response, no response
    OtherChangeBefore, ///< another operator's change takes effect first; response arrives
    OtherChangeAfter,  ///< takes effect, no response; another change follows immediately
};

/// Forwards calls to a store and injects faults into the writes of the head object.
class FaultInjectingStore : public ObjectStore
{
public:
    explicit FaultInjectingStore(ObjectStore &store) : m_store(store) {}

    void injectFaults(std::deque<HeadWriteFault> script) { m_faults = std::move(script); }
    void setConcurrentChange(std::function<Awaitable<void>()> change)
    {
        m_concurrentChange = std::move(change);
    }

    Awaitable<Result<Object>> get(std::string name) override { return m_store.get(name); }
    Awaitable<Result<std::vector<Object>>> list(std::string prefix) override
    {
        return m_store.list(prefix);
    }
    Awaitable<Status> remove(std::string name, ObjectVersion expected) override
    {
        return m_store.remove(name, expected);
    }
    Awaitable<Result<Object>> watch(std::string name, ObjectVersion known, Duration limit) override
    {
        return m_store.watch(name, known, limit);
    }
    Awaitable<Result<std::vector<Vm>>> vms() override { return m_store.vms(); }
    Awaitable<Result<ObjectVersion>> create(std::string name, std::string value) override
    {
        return write(name, 0, value);
    }
    Awaitable<Result<ObjectVersion>> update(std::string name, ObjectVersion expected,
                                            std::string value) override
    {
        return write(name, expected, value);
    }

private:
    Awaitable<Result<ObjectVersion>> forward(std::string name, ObjectVersion expected,
                                             std::string value)
    {
        if (expected == 0)
            return m_store.create(name, value);
        return m_store.update(name, expected, value);
    }

    Awaitable<Result<ObjectVersion>> write(std::string name, ObjectVersion expected,
                                           std::string value)
    {
        if (name != headObjectName || m_faults.empty())
            co_return co_await forward(name, expected, value);
        const HeadWriteFault fault = m_faults.front();
        m_faults.pop_front();
        if (fault == HeadWriteFault::OtherChangeBefore)
            co_await m_concurrentChange();
        Result<ObjectVersion> response = StoreErrc::OutcomeUnknown;
        if (fault == HeadWriteFault::RequestDelayed)
            m_delayedWrite = [=, this] { return forward(name, expected, value); };
        else if (fault != HeadWriteFault::RequestLost)
            response = co_await forward(name, expected, value);
        if (fault == HeadWriteFault::OtherChangeAfter)
            co_await m_concurrentChange();
        if (fault != HeadWriteFault::RequestDelayed && m_delayedWrite) {
            const auto delayedWrite = std::exchange(m_delayedWrite, nullptr);
            const auto ignored = co_await delayedWrite();
            static_cast<void>(ignored);
        }
        if (fault == HeadWriteFault::None || fault == HeadWriteFault::OtherChangeBefore)
            co_return response;
        co_return StoreErrc::OutcomeUnknown;
    }

    ObjectStore &m_store;
    std::deque<HeadWriteFault> m_faults;
    std::function<Awaitable<void>()> m_concurrentChange;
    std::function<Awaitable<Result<ObjectVersion>>()> m_delayedWrite;
};

ConfigurationParts partsWith(const std::string &zone)
{
    ConfigurationParts parts;
    parts.zones[ZoneId(zone)] = {ZoneId(zone), true};
    return parts;
}

bool sameRevision(const AcceptedConfiguration &left, const AcceptedConfiguration &right)
{
    return left.version == right.version && *left.configuration == *right.configuration;
}

/// A store with one accepted revision, and a change to be accepted on top of it.
struct ConfigurationStoreFixture
{
    template <typename T>
    T wait(Awaitable<T> operation)
    {
        std::optional<T> result;
        boost::asio::co_spawn(
                context,
                [&]() -> Awaitable<void> { result.emplace(co_await std::move(operation)); },
                boost::asio::detached);
        context.restart();
        context.run();
        return std::move(*result);
    }

    tests::PlatformStandin platform;
    boost::asio::io_context context;
    std::unique_ptr<ObjectStore> store = makeHttpObjectStore(
            context, {"127.0.0.1", platform.port(), std::chrono::seconds(2), 1000.0},
            [](const char *) {});
    FaultInjectingStore faultyStore{*store};
    ConfigurationStore configurationStore{faultyStore};
    ConfigurationStore otherStore{*store};
};

struct Case
{
    const char *name;
    std::deque<HeadWriteFault> script;
    std::error_code error;  ///< result of the change
    Revision revision = 0;  ///< final revision
    const char *zone = "m"; ///< in the final configuration
};

} // namespace

SCENARIO("a change is accepted at most once when writes of the head object fail")
{
    using enum HeadWriteFault;
    const std::error_code noError;
    const std::error_code conflict = StoreErrc::Conflict;
    const std::error_code unknown = StoreErrc::OutcomeUnknown;
    const auto testCase = GENERATE_COPY(values<Case>({
            {"no fault", {None}, noError, 2},
            {"a lost response", {ResponseLost}, noError, 2},
            {"a lost write", {RequestLost}, noError, 2},
            {"two lost writes", {RequestLost, RequestLost, None}, noError, 2},
            {"two lost responses", {ResponseLost, ResponseLost}, noError, 2},
            {"a delayed write", {RequestDelayed, RequestLost, None}, noError, 2},
            {"another change before the write", {OtherChangeBefore}, conflict, 2, "o"},
            {"a lost write and another change before the next one",
             {RequestLost, OtherChangeBefore},
             conflict,
             2,
             "o"},
            {"a lost response and another change after the write",
             {OtherChangeAfter},
             unknown,
             3,
             "o"},
            {"20 lost writes", std::deque<HeadWriteFault>(20, RequestLost), unknown, 1, "first"},
    }));
    GIVEN("an accepted configuration, and " << testCase.name)
    {
        ConfigurationStoreFixture fixture;
        const AcceptedConfiguration initial
                = fixture.wait(fixture.configurationStore.load()).value();
        const auto first = fixture.wait(
                fixture.configurationStore.accept(initial, partsWith("first"), "token-1"));
        REQUIRE(first.ok());
        fixture.faultyStore.setConcurrentChange([&]() -> Awaitable<void> {
            const auto base = co_await fixture.otherStore.load();
            const auto accepted = co_await fixture.otherStore.accept(base.value(), partsWith("o"),
                                                                     "token-other");
            REQUIRE(accepted.ok());
        });
        fixture.faultyStore.injectFaults(testCase.script);
        WHEN("an operator makes a change")
        {
            const auto changed = fixture.wait(
                    fixture.configurationStore.accept(first.value(), partsWith("m"), "token-2"));
            const auto current = fixture.wait(fixture.otherStore.load());
            THEN("the result of the change agrees with the head object")
            {
                CHECK(changed.error() == testCase.error);
                REQUIRE(current.ok());
                CHECK(current.value().configuration->revision() == testCase.revision);
                CHECK(current.value().configuration->parts() == partsWith(testCase.zone));
                if (changed)
                    CHECK(sameRevision(changed.value(), current.value()));
            }
        }
    }
}

SCENARIO("the first configuration is accepted despite a fault")
{
    const HeadWriteFault fault
            = GENERATE(HeadWriteFault::RequestLost, HeadWriteFault::ResponseLost);
    GIVEN("an empty platform that loses the first write or its response")
    {
        ConfigurationStoreFixture fixture;
        fixture.faultyStore.injectFaults({fault});
        WHEN("an operator makes the first change")
        {
            const AcceptedConfiguration initial
                    = fixture.wait(fixture.configurationStore.load()).value();
            const auto first = fixture.wait(
                    fixture.configurationStore.accept(initial, partsWith("first"), "token"));
            THEN("it is accepted once")
            {
                REQUIRE(first.ok());
                CHECK(sameRevision(first.value(), fixture.wait(fixture.otherStore.load()).value()));
            }
        }
    }
}
