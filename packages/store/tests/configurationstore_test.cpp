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

/// What happens to one write of the head.
enum class HeadWrite {
    Passes,
    IsLost,       ///< no effect, no answer
    LosesAnswer,  ///< takes effect, no answer
    ArrivesLate,  ///< takes effect after the next write's answer, no answer
    IsOvertaken,  ///< another operator's change takes effect first; the answer comes
    IsBuriedDeep, ///< takes effect, no answer, and another change follows at once
};

/// Passes calls on to a store and disturbs the writes of the head.
class DisturbedStore : public ObjectStore
{
public:
    explicit DisturbedStore(ObjectStore &store) : m_store(store) {}

    void disturb(std::deque<HeadWrite> script) { m_script = std::move(script); }
    void otherChange(std::function<Awaitable<void>()> change) { m_otherChange = std::move(change); }

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
    Awaitable<Result<ObjectVersion>> pass(std::string name, ObjectVersion expected,
                                          std::string value)
    {
        if (expected == 0)
            return m_store.create(name, value);
        return m_store.update(name, expected, value);
    }

    Awaitable<Result<ObjectVersion>> write(std::string name, ObjectVersion expected,
                                           std::string value)
    {
        if (name != headObjectName || m_script.empty())
            co_return co_await pass(name, expected, value);
        const HeadWrite fate = m_script.front();
        m_script.pop_front();
        if (fate == HeadWrite::IsOvertaken)
            co_await m_otherChange();
        Result<ObjectVersion> answer = StoreErrc::OutcomeUnknown;
        if (fate == HeadWrite::ArrivesLate)
            m_late = [=, this] { return pass(name, expected, value); };
        else if (fate != HeadWrite::IsLost)
            answer = co_await pass(name, expected, value);
        if (fate == HeadWrite::IsBuriedDeep)
            co_await m_otherChange();
        if (fate != HeadWrite::ArrivesLate && m_late) {
            const auto late = std::exchange(m_late, nullptr);
            const auto ignored = co_await late();
            static_cast<void>(ignored);
        }
        if (fate == HeadWrite::Passes || fate == HeadWrite::IsOvertaken)
            co_return answer;
        co_return StoreErrc::OutcomeUnknown;
    }

    ObjectStore &m_store;
    std::deque<HeadWrite> m_script;
    std::function<Awaitable<void>()> m_otherChange;
    std::function<Awaitable<Result<ObjectVersion>>()> m_late;
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

/// A store with one accepted revision, and a change to be made on top of it.
struct Bench
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

    tests::PlatformStandin standin;
    boost::asio::io_context context;
    std::unique_ptr<ObjectStore> store = makeHttpObjectStore(
            context, {"127.0.0.1", standin.port(), std::chrono::seconds(2), 1000.0},
            [](const char *) {});
    DisturbedStore disturbed{*store};
    ConfigurationStore mine{disturbed};
    ConfigurationStore other{*store};
};

struct Case
{
    const char *name;
    std::deque<HeadWrite> script;
    std::error_code error;  ///< of the change
    Revision revision = 0;  ///< in the end
    const char *zone = "m"; ///< that the accepted configuration names in the end
};

} // namespace

SCENARIO("a change is accepted once or not at all, whatever happens to the write of the head")
{
    using enum HeadWrite;
    const std::error_code won;
    const std::error_code lost = StoreErrc::Conflict;
    const std::error_code unknown = StoreErrc::OutcomeUnknown;
    const auto table = GENERATE_COPY(values<Case>({
            {"nothing", {Passes}, won, 2},
            {"the answer is lost", {LosesAnswer}, won, 2},
            {"the write is lost", {IsLost}, won, 2},
            {"several writes are lost", {IsLost, IsLost, Passes}, won, 2},
            {"two answers are lost", {LosesAnswer, LosesAnswer}, won, 2},
            {"the write arrives late", {ArrivesLate, IsLost, Passes}, won, 2},
            {"another change wins", {IsOvertaken}, lost, 2, "o"},
            {"another change wins after a loss", {IsLost, IsOvertaken}, lost, 2, "o"},
            {"another change follows the lost answer", {IsBuriedDeep}, unknown, 3, "o"},
            {"all writes are lost", std::deque<HeadWrite>(20, IsLost), unknown, 1, "first"},
    }));
    GIVEN("an accepted configuration, and " << table.name)
    {
        Bench bench;
        const AcceptedConfiguration none = bench.wait(bench.mine.load()).value();
        const auto first = bench.wait(bench.mine.accept(none, partsWith("first"), "token-1"));
        REQUIRE(first.ok());
        bench.disturbed.otherChange([&]() -> Awaitable<void> {
            const auto base = co_await bench.other.load();
            const auto made
                    = co_await bench.other.accept(base.value(), partsWith("o"), "token-other");
            REQUIRE(made.ok());
        });
        bench.disturbed.disturb(table.script);
        WHEN("an operator makes a change")
        {
            const auto changed
                    = bench.wait(bench.mine.accept(first.value(), partsWith("m"), "token-2"));
            const auto present = bench.wait(bench.other.load());
            THEN("the operator's answer agrees with the head")
            {
                CHECK(changed.error() == table.error);
                REQUIRE(present.ok());
                CHECK(present.value().configuration->revision() == table.revision);
                CHECK(present.value().configuration->parts() == partsWith(table.zone));
                if (changed)
                    CHECK(sameRevision(changed.value(), present.value()));
            }
        }
    }
}

SCENARIO("the first configuration is settled like any other")
{
    const HeadWrite fate = GENERATE(HeadWrite::IsLost, HeadWrite::LosesAnswer);
    GIVEN("an empty platform that loses the first write or its answer")
    {
        Bench bench;
        bench.disturbed.disturb({fate});
        WHEN("an operator makes the first change")
        {
            const AcceptedConfiguration none = bench.wait(bench.mine.load()).value();
            const auto first = bench.wait(bench.mine.accept(none, partsWith("first"), "token"));
            THEN("it is accepted once")
            {
                REQUIRE(first.ok());
                CHECK(sameRevision(first.value(), bench.wait(bench.other.load()).value()));
            }
        }
    }
}
